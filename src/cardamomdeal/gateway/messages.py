"""Messages between the tasks of a gateway."""

import dataclasses

from cardamomdeal.backend import connection
from cardamomdeal.document import model
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.routing import outcomes
from cardamomdeal.routing import servers


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Request for a backend server to forward a new request to."""

    method: str
    path: str
    tenant: str
    body_bytes: int | None
    valid_until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assigned:
    """Assignment of a backend server; the receiver owns the connection."""

    admission_id: int
    kind: model.WorkKind
    server: model.BackendServer
    connection: connection.BackendConnection | None
    deadline_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Rejection of a request that was not sent to any backend server."""

    status: int
    reason: str
    retry_after_ms: int | None = None
    allowed_methods: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Result of a failed attempt and request for another backend server."""

    admission_id: int
    result: outcomes.AttemptResult
    body_replayable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """Reply that the failed attempt is not retried."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """End of a request, returning the connection if it can be reused."""

    admission_id: int
    result: outcomes.AttemptResult
    connection: connection.BackendConnection | None


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentUpdate:
    """New version of the configuration document."""

    version: int
    document: model.Document


@dataclasses.dataclass(frozen=True, slots=True)
class ServerStatusUpdate:
    """Statuses of the backend servers.

    Their ejections are ignored from `expires_at_ms` on.
    """

    statuses: dict[str, servers.ServerStatus]
    expires_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TakeIntervalReport:
    """Request for the interval report; starts the next interval."""


@dataclasses.dataclass(frozen=True, slots=True)
class IntervalReport:
    """Evidence, draining servers and load of one report interval."""

    evidence: tuple[protocol.ServerEvidence, ...]
    draining_servers: tuple[str, ...]
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class TakeHistograms:
    """Request for the encoded latency histograms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Event: one report interval has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class PrepareStop:
    """Command to report that the gateway is about to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnections:
    """Command to close all idle connections."""


AdmissionResult = Assigned | Rejected
