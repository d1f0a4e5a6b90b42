"""What the tasks of a gateway tell each other."""

import dataclasses

from cardamomdeal.backend import connection
from cardamomdeal.document import model
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.routing import outcomes
from cardamomdeal.routing import servers


@dataclasses.dataclass(frozen=True, slots=True)
class Admit:
    """Ask for a backend server for a request that has just come in."""

    method: str
    path: str
    tenant: str
    body_bytes: int | None
    valid_until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Assigned:
    """Grant a backend server; a connection passes to the receiver."""

    ticket: int
    kind: model.WorkKind
    server: model.BackendServer
    connection: connection.BackendConnection | None
    deadline_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Refuse a request that was not sent to any backend server."""

    status: int
    reason: str
    retry_after_ms: int | None = None
    allowed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Retry:
    """Report a failed attempt and ask for another backend server."""

    ticket: int
    result: outcomes.AttemptResult
    body_replayable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """Say that the failed attempt is not repeated."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Report the end of a request; a clean connection passes back."""

    ticket: int
    result: outcomes.AttemptResult
    connection: connection.BackendConnection | None


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentInForce:
    """Hand over a new document."""

    version: int
    document: model.Document


@dataclasses.dataclass(frozen=True, slots=True)
class StandingsInForce:
    """Hand over the standings of backend servers until they expire."""

    standings: dict[str, servers.ServerStatus]
    expires_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TakeInterval:
    """Ask for what was seen since the last time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Interval:
    """Hold what a gateway saw in one interval."""

    evidence: tuple[protocol.ServerEvidence, ...]
    draining_servers: tuple[str, ...]
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class TakeHistograms:
    """Ask for the latency histograms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Mark the passing of one report interval."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopSoon:
    """Announce that the gateway is stopping."""


@dataclasses.dataclass(frozen=True, slots=True)
class CloseConnections:
    """Ask to close every idle connection."""


Decision = Assigned | Rejected
