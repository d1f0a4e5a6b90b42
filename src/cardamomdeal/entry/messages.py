"""Messages between the tasks of an entry host."""

import dataclasses
from typing import Any
from typing import Protocol

import pykka

from cardamomdeal.backend import connection
from cardamomdeal.balancing import outcomes
from cardamomdeal.fleet import model
from cardamomdeal.fleet import routes
from cardamomdeal.internal import address
from cardamomdeal.platform import store
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model as settings_model


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Request for a backend server, for a newly received HTTP request."""

    request_id: str
    hostname: str
    path: str
    # Time that the caller allows, counted from the arrival.
    deadline_ms: int | None
    arrived_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assigned:
    """Assignment of a backend server; the receiver owns the connection."""

    ticket: int
    route: model.Route
    server: model.BackendServer
    connection: connection.BackendConnection | None
    ends_at_ms: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Rejection of a request that was not sent to any backend server."""

    status: int
    reason: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Result of a failed attempt and request for another server."""

    ticket: int
    result: outcomes.AttemptResult


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """Refusal of another attempt; the request has ended."""

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """End of a request, returning the connection if it can be reused."""

    ticket: int
    result: outcomes.AttemptResult
    connection: connection.BackendConnection | None


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesUpdated:
    """Routes of a newer configuration."""

    table: routes.RouteTable


@dataclasses.dataclass(frozen=True, slots=True)
class ServersUpdated:
    """Backend servers that are present, and the number of entry hosts."""

    servers: tuple[model.BackendServer, ...]
    hosts: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReportedFailure:
    """Failure of a backend server that another host observed."""

    server: model.Incarnation
    host: str
    reason: str
    symptom: outcomes.Symptom
    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class FailureObserved:
    """Failure of a backend server, to be sent to the other hosts."""

    server: model.Incarnation
    reason: str
    symptom: outcomes.Symptom
    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReportedRecovery:
    """Recovery of a suspected server that another host observed."""

    server: model.Incarnation
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadObserved:
    """Load of a backend server, to be sent to the other hosts."""

    server: model.Incarnation
    load: outcomes.Load


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReportedLoad:
    """Load of a backend server that another host received."""

    server: model.Incarnation
    load: outcomes.Load


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryObserved:
    """Recovery of a suspected server, to be sent to the other hosts."""

    server: model.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class FollowStore:
    """Whether to watch the store, and the pause after a failed call."""

    follow: bool
    retry_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Trigger of the next store call, sent by the follower to itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Complete content of the store at a revision."""

    items: tuple[store.Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanged:
    """Changes since a revision; if there are none, the view is current."""

    after_revision: int
    events: tuple[store.Event, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """Failed call to the store."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetRevision:
    """Store revision that this host has already applied."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Register:
    """Request to publish this host in the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unregister:
    """Request to remove this host from the store, as it is stopping."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegistrationLost:
    """Removal of this host's entry from the store."""


class CallerSide(Protocol):
    """Server of callers, which enforces the configured limits."""

    def use_limits(self, limits: model.Limits) -> None:
        """Apply the limits to requests received from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class TasksStarted:
    """References to the tasks that the core sends messages to."""

    dispatcher: pykka.ActorRef[Any]
    follower: pykka.ActorRef[Any]
    registrar: pykka.ActorRef[Any]
    callers: 'CallerSide'


@dataclasses.dataclass(frozen=True, slots=True)
class FindAddresses:
    """Query for the addresses that callers in a data centre may use."""

    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses for callers, and the time they may keep them."""

    addresses: tuple[address.Address, ...]
    keep_for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class IsReady:
    """Query whether this host can serve requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """Notice that the process is stopping."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadSettings:
    """Request to read the settings file again, even if unchanged."""


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsUpdated:
    """Settings after a reload."""

    settings: settings_model.EntrySettings


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic trigger from a ticker."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetMetrics:
    """Query for counters and histograms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Metrics:
    """Counters, and latency histograms by service and route."""

    counters: dict[str, int]
    histograms: tuple[protocol.LatencyHistogram, ...]


Decision = Assigned | Rejected
RetryDecision = Assigned | NoRetry
