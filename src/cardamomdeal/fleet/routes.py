"""Looks up the route of a request and selects one of its services."""

import dataclasses
import random

from cardamomdeal.fleet import model
from cardamomdeal.workspaces import keys


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of one configuration, indexed by hostname and path prefix."""

    version: int
    limits: model.Limits
    _by_hostname: dict[str, dict[str, model.Route]]
    # None if requests need no key.
    key_index: keys.KeyIndex | None = None

    def find(self, hostname: str, path: str) -> model.Route | None:
        """Return the route with the longest matching prefix, if any."""
        prefixes = self._by_hostname.get(hostname.lower())
        if prefixes is None:
            return None
        # Prefixes end with a slash, so the path is cut after each of its
        # slashes; the cost depends on the depth of the path, not on the
        # number of routes.
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def build(
    configuration: model.Configuration, previous: RouteTable | None = None
) -> RouteTable:
    """Return the route table of a configuration.

    Workspaces that have not changed are taken from the previous table.
    """
    by_hostname: dict[str, dict[str, model.Route]] = {}
    for route in configuration.routes:
        by_hostname.setdefault(route.hostname.lower(), {})[route.prefix] = (
            route
        )
    return RouteTable(
        configuration.version,
        configuration.limits,
        by_hostname,
        None
        if configuration.workspaces is None
        else keys.build(
            configuration.workspaces, previous and previous.key_index
        ),
    )


def choose_service(route: model.Route, rng: random.Random) -> str:
    """Return one of the route's services, at random by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    chosen = rng.choices(
        route.targets, [target.weight for target in route.targets]
    )
    return chosen[0].service
