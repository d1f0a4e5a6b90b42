"""How attempts and requests end."""

import dataclasses
import enum

from cardamomdeal.backend import answers

SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """Report a whole answer of the backend server."""

    status: int
    latency_ms: int
    signals: answers.Signals


@dataclasses.dataclass(frozen=True, slots=True)
class NotConnected:
    """Report that no connection was made and nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedByServer:
    """Report the backend server's own word that it did not run it."""

    refusal: answers.Refusal
    signals: answers.Signals


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """Report an exchange that failed after bytes may have arrived."""

    latency_ms: int
    reason: str
    connection_reused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """Report that the caller went away; says nothing of the server."""


AttemptResult = (
    Completed | NotConnected | RefusedByServer | Broken | CallerLeft
)


class Outcome(enum.Enum):
    """Say whether a failed request was run."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


def outcome_of(result: AttemptResult) -> Outcome:
    """Return what may truthfully be said after a failed attempt."""
    match result:
        case NotConnected() | RefusedByServer():
            return Outcome.NOT_RUN
        case Completed() | Broken() | CallerLeft():
            return Outcome.UNKNOWN
