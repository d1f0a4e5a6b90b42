"""Configuration, backend servers and entry hosts as immutable data."""

import dataclasses
import enum

from cardamomdeal.internal import address


@dataclasses.dataclass(frozen=True, slots=True)
class Idempotent:
    """Mark work that may run more than once."""


@dataclasses.dataclass(frozen=True, slots=True)
class NonIdempotent:
    """Mark work that runs at most once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Upload:
    """Mark work with a large body that runs at most once."""


WorkKind = Idempotent | NonIdempotent | Upload


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """Name one part of a traffic split."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Say where requests of one host and path prefix go."""

    name: str
    hostname: str
    prefix: str
    kind: WorkKind
    # None: only the caller's own deadline bounds the request.
    timeout_ms: int | None
    target_latency_ms: int | None
    priority: int
    max_attempts: int
    # Several services share the route by weight; most routes have one.
    targets: tuple[WeightedService, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Describe a service."""

    name: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits


# Name and start of one life of a backend server.
Incarnation = tuple[str, int]


class ServerState(enum.Enum):
    """Say whether a backend server takes new work."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe one incarnation of a backend server."""

    server_id: str
    born_ms: int
    service: str
    address: address.Address
    data_centre: str
    slots: int
    state: ServerState
    slow_start_ms: int

    @property
    def incarnation(self) -> Incarnation:
        """Return what tells this life of the server from others."""
        return (self.server_id, self.born_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """Describe one entry host to its peers."""

    name: str
    started_ms: int
    region: str
    data_centre: str
    callers: address.Address
    peers: address.Address
