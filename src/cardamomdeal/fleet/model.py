"""Immutable data classes: configuration, backend servers, entry hosts."""

import dataclasses
import enum

from cardamomdeal.internal import address
from cardamomdeal.workspaces import model as workspace_model


@dataclasses.dataclass(frozen=True, slots=True)
class Idempotent:
    """Requests that may run more than once."""


@dataclasses.dataclass(frozen=True, slots=True)
class NonIdempotent:
    """Requests that must run at most once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Upload:
    """Requests with a large body that must run at most once."""


WorkKind = Idempotent | NonIdempotent | Upload


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in a traffic split."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Target and limits of requests with one hostname and path prefix."""

    name: str
    hostname: str
    prefix: str
    kind: WorkKind
    # None if only the caller's deadline limits the request.
    timeout_ms: int | None
    target_latency_ms: int | None
    priority: int
    max_attempts: int
    # Requests are split between several services by weight; most routes have
    # one.
    targets: tuple[WeightedService, ...]
    # Whether requests need no key where the configuration has workspaces.
    is_public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size and the timing of a caller's request."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that backend servers offer."""

    name: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration that operators maintain."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits
    # None if requests need no key.
    workspaces: tuple[workspace_model.Workspace, ...] | None = None


# Server ID and start time (`born_ms`): unique for each start of a server.
Incarnation = tuple[str, int]


class ServerState(enum.Enum):
    """Whether a backend server accepts new requests."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One incarnation of a backend server."""

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
        """Return the key that changes whenever the server restarts."""
        return (self.server_id, self.born_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHost:
    """An entry host as its peers see it."""

    name: str
    started_ms: int
    region: str
    data_centre: str
    callers: address.Address
    peers: address.Address
    # Bandwidth of its link; 0 if unknown.
    link_mbps: float
