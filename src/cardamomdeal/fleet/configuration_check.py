"""Finds probable mistakes in a valid configuration, and what it changes."""

from collections.abc import Iterator
import dataclasses

from cardamomdeal.fleet import model
from cardamomdeal.workspaces import model as workspace_model


@dataclasses.dataclass(frozen=True, slots=True)
class HiddenRoute:
    """A route that never matches: a later one has its hostname and prefix."""

    row: int
    later: model.Route


@dataclasses.dataclass(frozen=True, slots=True)
class UnmatchableRoute:
    """A route that no request can match."""

    row: int
    field: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class WeightlessRoute:
    """A route to which no service may be chosen."""

    row: int


@dataclasses.dataclass(frozen=True, slots=True)
class WeightlessService:
    """A service that a split never chooses."""

    row: int
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnlistedService:
    """A service that a route names and the configuration does not."""

    row: int
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnusedService:
    """A service that no route names."""

    row: int
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class TargetOverTimeout:
    """A route whose requests end before they are late."""

    row: int
    target_latency_ms: int
    timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NeedlesslyPublic:
    """A public route, although no route needs a key."""

    row: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeylessWorkspace:
    """A workspace without keys."""

    row: int
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class TooSmallQuota:
    """A workspace whose quota never allows one whole request."""

    row: int
    quota: workspace_model.Quota


@dataclasses.dataclass(frozen=True, slots=True)
class StaleVersion:
    """A version that hosts ignore, as it is not above that in force."""

    version: int
    in_force: int


Finding = (
    HiddenRoute
    | UnmatchableRoute
    | WeightlessRoute
    | WeightlessService
    | UnlistedService
    | UnusedService
    | TargetOverTimeout
    | NeedlesslyPublic
    | KeylessWorkspace
    | TooSmallQuota
    | StaleVersion
)


@dataclasses.dataclass(frozen=True, slots=True)
class Added:
    """An entry that is not in force."""

    table: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """An entry that is in force and is not in the new configuration."""

    table: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Changed:
    """A field of an entry with its values in force and to be sent."""

    table: str
    name: str
    field: str
    before: object
    after: object


Difference = Added | Removed | Changed
_Entries = dict[str, model.Route | model.Service | workspace_model.Workspace]


def find(
    configuration: model.Configuration,
    in_force: model.Configuration | None = None,
) -> Iterator[Finding]:
    """Return what is probably a mistake."""
    if in_force is not None and configuration.version <= in_force.version:
        yield StaleVersion(configuration.version, in_force.version)
    yield from _find_unreachable(configuration)
    listed = {service.name for service in configuration.services}
    used: set[str] = set()
    for row, route in enumerate(configuration.routes):
        yield from _find_in_route(row, route, listed)
        used.update(target.service for target in route.targets)
        if route.is_public and configuration.workspaces is None:
            yield NeedlesslyPublic(row)
    for row, service in enumerate(configuration.services):
        if service.name not in used:
            yield UnusedService(row, service.name)
    for row, workspace in enumerate(configuration.workspaces or ()):
        if not workspace.key_digests:
            yield KeylessWorkspace(row, workspace.name)
        quota = workspace.quota
        if quota is not None and quota.burst < 1 and quota.rate_per_s < 1:
            yield TooSmallQuota(row, quota)


def compare(
    in_force: model.Configuration, new: model.Configuration
) -> Iterator[Difference]:
    """Return what differs; routes that go to other services come first."""
    routes = list(_compare_routes(in_force, new))
    yield from sorted(routes, key=lambda difference: not _moves(difference))
    yield from _compare_tables(
        'services',
        {service.name: service for service in in_force.services},
        {service.name: service for service in new.services},
    )
    yield from _compare_tables(
        'workspaces',
        {entry.name: entry for entry in in_force.workspaces or ()},
        {entry.name: entry for entry in new.workspaces or ()},
    )
    if (in_force.workspaces is None) != (new.workspaces is None):
        needs_key = new.workspaces is not None
        yield Changed('workspaces', '', 'is needed', not needs_key, needs_key)
    yield from _compare_entries('limits', '', in_force.limits, new.limits)


def _find_unreachable(configuration: model.Configuration) -> Iterator[Finding]:
    last_rows = {
        (route.hostname.lower(), route.prefix): row
        for row, route in enumerate(configuration.routes)
    }
    for row, route in enumerate(configuration.routes):
        last_row = last_rows[route.hostname.lower(), route.prefix]
        if last_row != row:
            yield HiddenRoute(row, configuration.routes[last_row])
        # Requests are matched without the port and without the query.
        if not route.hostname or ':' in route.hostname:
            yield UnmatchableRoute(row, 'hostname', route.hostname)
        if '?' in route.prefix or '#' in route.prefix:
            yield UnmatchableRoute(row, 'prefix', route.prefix)


def _find_in_route(
    row: int, route: model.Route, listed: set[str]
) -> Iterator[Finding]:
    if not any(target.weight for target in route.targets):
        yield WeightlessRoute(row)
    for target in route.targets:
        if not target.weight:
            yield WeightlessService(row, target.service)
        if target.service not in listed:
            yield UnlistedService(row, target.service)
    target_ms, timeout_ms = route.target_latency_ms, route.timeout_ms
    if target_ms and timeout_ms is not None and target_ms > timeout_ms:
        yield TargetOverTimeout(row, target_ms, timeout_ms)


def _compare_routes(
    in_force: model.Configuration, new: model.Configuration
) -> Iterator[Difference]:
    return _compare_tables(
        'routes',
        {route.name: route for route in in_force.routes},
        {route.name: route for route in new.routes},
    )


def _moves(difference: Difference) -> bool:
    match difference:
        case Changed('routes', _, 'targets'):
            return True
        case _:
            return False


def _compare_tables(
    table: str, in_force: _Entries, new: _Entries
) -> Iterator[Difference]:
    for name in in_force.keys() - new.keys():
        yield Removed(table, name)
    for name, entry in new.items():
        if name not in in_force:
            yield Added(table, name)
        elif entry != in_force[name]:
            yield from _compare_entries(table, name, in_force[name], entry)


def _compare_entries(
    table: str, name: str, before: object, after: object
) -> Iterator[Difference]:
    for field in dataclasses.fields(after):  # type: ignore[arg-type]
        values = getattr(before, field.name), getattr(after, field.name)
        if values[0] != values[1]:
            yield Changed(table, name, field.name, *values)
