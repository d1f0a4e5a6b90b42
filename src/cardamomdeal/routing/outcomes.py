"""Results of attempts and outcomes of requests."""

import dataclasses
import enum

from cardamomdeal.backend import header_fields

SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """Complete response from the backend server."""

    status: int
    latency_ms: int
    reported_state: header_fields.ReportedState


@dataclasses.dataclass(frozen=True, slots=True)
class NotConnected:
    """Connection failure before any byte was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedByServer:
    """Refusal by the backend server, which did not execute the request."""

    refusal: header_fields.Refusal
    reported_state: header_fields.ReportedState


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """Exchange that failed after the server may have received bytes."""

    latency_ms: int
    reason: str
    connection_reused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """Caller disconnect, which is no evidence about the server."""


AttemptResult = (
    Completed | NotConnected | RefusedByServer | Broken | CallerLeft
)


class Outcome(enum.Enum):
    """Whether a failed request was executed."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


def outcome_of(result: AttemptResult) -> Outcome:
    """Return whether a failed attempt may have been executed."""
    match result:
        case NotConnected() | RefusedByServer():
            return Outcome.NOT_RUN
        case Completed() | Broken() | CallerLeft():
            return Outcome.UNKNOWN
