"""Messages between the tasks of an entry host."""

import dataclasses
from typing import Any
from typing import Protocol

import pykka

from cardamomdeal.backend import connection
from cardamomdeal.balancing import outcomes
from cardamomdeal.channels import datagrams
from cardamomdeal.fleet import model
from cardamomdeal.fleet import routes
from cardamomdeal.internal import address
from cardamomdeal.internal import deferred
from cardamomdeal.platform import store
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import model as workspace_model
from cardamomdeal.workspaces import proof


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Request for a backend server to forward a new request to."""

    request_id: str
    hostname: str
    path: str
    # Time limit set by the caller, counted from `arrived_at_ms`.
    deadline_ms: int | None
    arrived_at_ms: int
    credentials: workspace_model.Credentials = workspace_model.NoKey()
    # After that the reply would reach nobody; None if the asker stays.
    asked_until_ms: int | None = None
    # Held while the request waits.
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Assigned:
    """Assigned backend server; the receiver owns the connection."""

    admission_id: int
    route: model.Route
    server: model.BackendServer
    connection: connection.BackendConnection | None
    deadline_at_ms: int
    attempt_number: int
    # Name of the workspace on whose behalf the request runs, if any.
    workspace: str | None = None
    # Whether the caller's key is kept from the server.
    withholds_key: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Rejection of a request that was not sent to any backend server."""

    status: int
    reason: str
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits; its decision is delivered later."""

    admission_id: int
    decision: 'deferred.Deferred[Assigned | Rejected]'
    deadline_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """End of a request that was waiting and is not to be sent."""

    admission_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Failed attempt, with a request for another backend server."""

    admission_id: int
    result: outcomes.AttemptResult


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """Reply that the failed attempt must not be retried."""

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """End of a request; returns its connection if it is reusable."""

    admission_id: int
    result: outcomes.AttemptResult
    connection: connection.BackendConnection | None


@dataclasses.dataclass(frozen=True, slots=True)
class StopAdmitting:
    """Order to reject all further requests, as this host is stopping."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesUpdated:
    """Routes of a newer configuration."""

    table: routes.RouteTable


@dataclasses.dataclass(frozen=True, slots=True)
class ProofUpdated:
    """Newer proof that the routes sent before are of the newest version."""

    proof: proof.Proof


@dataclasses.dataclass(frozen=True, slots=True)
class ServersUpdated:
    """Backend servers that are present and the number of entry hosts."""

    servers: tuple[model.BackendServer, ...]
    host_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReportedFailure:
    """Failure of a backend server that another host observed."""

    incarnation: model.Incarnation
    host: str
    reason: str
    symptom: outcomes.Symptom
    recent_requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class FailureObserved:
    """Failure of a backend server, to be sent to the other hosts."""

    incarnation: model.Incarnation
    reason: str
    symptom: outcomes.Symptom
    recent_requests: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReportedRecovery:
    """Recovery of a suspected server that another host observed."""

    incarnation: model.Incarnation
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReportedRefusal:
    """Refusal of a server with free slots that another host observed."""

    incarnation: model.Incarnation
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalObserved:
    """Refusal of a server with free slots, to be sent to the others."""

    incarnation: model.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReportedLeaving:
    """A backend server that told another host that it is leaving."""

    incarnation: model.Incarnation
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingObserved:
    """A backend server that is leaving, to be sent to the other hosts."""

    incarnation: model.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class LoadObserved:
    """Load of a backend server, to be sent to the other hosts."""

    incarnation: model.Incarnation
    load: outcomes.Load


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReportedLoad:
    """Load of a backend server that another host received."""

    incarnation: model.Incarnation
    load: outcomes.Load


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryObserved:
    """Recovery of a suspected server, to be sent to the other hosts."""

    incarnation: model.Incarnation


Observation = (
    FailureObserved
    | RefusalObserved
    | LoadObserved
    | RecoveryObserved
    | LeavingObserved
)
PeerReport = (
    PeerReportedFailure
    | PeerReportedRefusal
    | PeerReportedLoad
    | PeerReportedRecovery
    | PeerReportedLeaving
)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReports:
    """Reports of other hosts on backend servers."""

    reports: tuple[PeerReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HostsSeen:
    """Entry hosts, and when the view that shows them was confirmed."""

    hosts: tuple[model.EntryHost, ...]
    # None if it never was.
    confirmed_at_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaDatagram:
    """Message of another host on the lending of quota tokens."""

    sender: address.Address
    message: protocol.QuotaMessage


@dataclasses.dataclass(frozen=True, slots=True)
class SendDatagrams:
    """Order to send messages to other hosts."""

    sends: tuple[datagrams.SendTo, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FlushQuotas:
    """Reminder to send the questions of a moment together."""


@dataclasses.dataclass(frozen=True, slots=True)
class WakeQuotas:
    """Reminder that a token or an answer is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeRequests:
    """Reminder to go on with requests whose quotas were decided on."""


QuotaEvent = (
    HostsSeen | QuotaDatagram | FlushQuotas | WakeQuotas | ResumeRequests
)


@dataclasses.dataclass(frozen=True, slots=True)
class FlushReports:
    """Reminder to pass on the reports of other hosts."""


@dataclasses.dataclass(frozen=True, slots=True)
class FollowStore:
    """Whether to watch the store and how long to wait between calls."""

    follow: bool
    # After a failed call; doubled with each further one.
    retry_delay_ms: int
    # Minimum time between the starts of two calls.
    call_interval_ms: int
    max_retry_delay_ms: int = 0
    # Whether to get an answer soon rather than to save calls.
    is_urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PollStore:
    """Trigger of the next store call, which the follower sends to itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Complete content of the store at a revision."""

    items: tuple[store.Item, ...]
    revision: int
    # When the store was asked, by this host's clock.
    asked_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreChanged:
    """Changes since a revision; if there are none, the view is current."""

    after_revision: int
    events: tuple[store.Event, ...]
    revision: int
    # When the store was asked, by this host's clock.
    asked_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """Failed call to the store."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetRevision:
    """Store revision up to which this host has applied the changes."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Register:
    """Request to register this host in the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unregister:
    """Request to remove this host from the store before it stops."""


@dataclasses.dataclass(frozen=True, slots=True)
class RegistrationLost:
    """Notice that this host's entry was removed from the store."""


class LimitEnforcer(Protocol):
    """Enforces the configured limits on callers' requests."""

    def set_limits(self, limits: model.Limits) -> None:
        """Apply new limits to callers' requests and connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class TasksStarted:
    """References to the tasks that the fleet synchronizer updates."""

    dispatcher: pykka.ActorRef[Any]
    follower: pykka.ActorRef[Any]
    registrar: pykka.ActorRef[Any]
    limit_enforcer: 'LimitEnforcer'


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitAddresses:
    """Deliver addresses as soon as any are known."""

    data_centre: str
    addresses: deferred.Deferred['Addresses']


@dataclasses.dataclass(frozen=True, slots=True)
class FindAddresses:
    """Query for the addresses that callers in a data centre may use."""

    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses for callers and how long they may use them."""

    addresses: tuple[address.Address, ...]
    keep_for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class IsReady:
    """Query whether this host can serve requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareStop:
    """Notice that the process is about to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadSettings:
    """Request to read the settings file again, even if unchanged."""


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsUpdated:
    """Settings that were read again from the file."""

    settings: settings_model.EntrySettings


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic trigger from the scheduler."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseDue:
    """Reminder to look whether waiting requests have room."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetMetrics:
    """Query for counters and histograms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Metrics:
    """Counters, and latency histograms by service and route."""

    counters: dict[str, int]
    histograms: tuple[protocol.LatencyHistogram, ...]


Decision = Assigned | Rejected | Waiting
RetryDecision = Assigned | NoRetry | Waiting
