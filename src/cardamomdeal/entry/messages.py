"""What the tasks of an entry host tell each other."""

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
    """Ask for a backend server for a request that has just come in."""

    request_id: str
    hostname: str
    path: str
    # Time that the caller gives the request, counted from its arrival.
    deadline_ms: int | None
    arrived_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assigned:
    """Grant a backend server; a connection passes to the receiver."""

    ticket: int
    route: model.Route
    server: model.BackendServer
    connection: connection.BackendConnection | None
    ends_at_ms: int
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Refuse a request that was not sent to any backend server."""

    status: int
    reason: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Report a failed attempt and ask for another backend server."""

    ticket: int
    result: outcomes.AttemptResult


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """Say that the attempt is the last; the request has ended."""

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Report the end of a request; a clean connection passes back."""

    ticket: int
    result: outcomes.AttemptResult
    connection: connection.BackendConnection | None


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesInForce:
    """Hand over the routes of a newer configuration."""

    table: routes.RouteTable


@dataclasses.dataclass(frozen=True, slots=True)
class ServersInForce:
    """Hand over the backend servers that are present."""

    servers: tuple[model.BackendServer, ...]
    hosts: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSawFailure:
    """Pass on that another host saw a backend server fail."""

    server: model.Incarnation
    host: str
    reason: str
    symptom: outcomes.Symptom
    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class SawFailure:
    """Report a failure of a backend server, for the other hosts."""

    server: model.Incarnation
    reason: str
    symptom: outcomes.Symptom
    requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSawRecovery:
    """Pass on that a suspected backend server served another host."""

    server: model.Incarnation
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class SawLoad:
    """Report a server's load, for the hosts of this data centre."""

    server: model.Incarnation
    load: outcomes.Load


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSawLoad:
    """Pass on a server's load that another host was told."""

    server: model.Incarnation
    load: outcomes.Load


@dataclasses.dataclass(frozen=True, slots=True)
class SawRecovery:
    """Report that a suspected server works, for the other hosts."""

    server: model.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class FollowStore:
    """Say whether to watch the store, and how long to pause on errors."""

    follow: bool
    retry_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Poll:
    """Go on with the next step of a task's own work."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRead:
    """Hand over a whole reading of the store."""

    items: tuple[store.Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanged:
    """Hand over what changed since a revision; nothing is news too."""

    after_revision: int
    events: tuple[store.Event, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """Report a call to the store that failed."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetRevision:
    """Tell the follower how far this host knows the store already."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Register:
    """Ask to publish this host."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unregister:
    """Ask to withdraw this host, since it stops."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegistrationLost:
    """Tell the registrar that this host's entry is gone from the store."""


class CallerSide(Protocol):
    """Serve callers within the operators' limits."""

    def use_limits(self, limits: model.Limits) -> None:
        """Bound what callers send from now on."""


@dataclasses.dataclass(frozen=True, slots=True)
class TasksStarted:
    """Introduce the tasks that the core talks to."""

    dispatcher: pykka.ActorRef[Any]
    follower: pykka.ActorRef[Any]
    registrar: pykka.ActorRef[Any]
    callers: 'CallerSide'


@dataclasses.dataclass(frozen=True, slots=True)
class FindAddresses:
    """Ask which addresses callers in a data centre are to use."""

    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Name addresses for callers and how long they may keep them."""

    addresses: tuple[address.Address, ...]
    keep_for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class IsReady:
    """Ask whether this host can serve."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopSoon:
    """Announce that the process is stopping."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadSettings:
    """Ask to read the settings file again, changed or not."""


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsInForce:
    """Hand over settings that were read again."""

    settings: settings_model.EntrySettings


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Mark the passing of one interval."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeMetrics:
    """Ask for counters and histograms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Metrics:
    """Hand out counters, and latencies by service and route."""

    counters: dict[str, int]
    histograms: tuple[protocol.LatencyHistogram, ...]


Decision = Assigned | Rejected
RetryDecision = Assigned | NoRetry
