"""Finds the route of a request."""

import dataclasses
import random

from cardamomdeal.fleet import model


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """Index the routes of one configuration."""

    version: int
    limits: model.Limits
    _by_host: dict[str, dict[str, model.Route]]

    def find(self, hostname: str, path: str) -> model.Route | None:
        """Return the route with the longest prefix of the path."""
        prefixes = self._by_host.get(hostname.lower())
        if prefixes is None:
            return None
        # Prefixes end with a slash, so only these can match; the cost
        # grows with the depth of the path, not with the routes.
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


def build(configuration: model.Configuration) -> RouteTable:
    """Index a configuration's routes by host and prefix."""
    by_host: dict[str, dict[str, model.Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.hostname.lower(), {})[route.prefix] = route
    return RouteTable(configuration.version, configuration.limits, by_host)


def choose_service(route: model.Route, randomness: random.Random) -> str:
    """Return one of the route's services by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    chosen = randomness.choices(
        route.targets, [target.weight for target in route.targets]
    )
    return chosen[0].service
