"""How an attempt at a backend server ended."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Hold the load that a backend server reported."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """Report a whole answer that the server signed."""

    status: int
    latency_ms: int
    load: Load | None


@dataclasses.dataclass(frozen=True, slots=True)
class NotConnected:
    """Report that no connection was made and nothing was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotExecuted:
    """Report the server's own word that it did not run the request."""

    status: int
    load: Load | None


@dataclasses.dataclass(frozen=True, slots=True)
class AnotherServer:
    """Report that the address belongs to another server by now."""

    found_server_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """Report an exchange that failed after the request may have run."""

    latency_ms: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """Report that no answer came in the time that the request had."""

    latency_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """Report that the caller went away; says nothing of the server."""


AttemptResult = (
    Answered
    | NotConnected
    | NotExecuted
    | AnotherServer
    | Broken
    | TimedOut
    | CallerLeft
)

SERVER_ERROR_STATUS = 500


def may_have_run(result: AttemptResult) -> bool:
    """Return whether the server may have begun to work on the request."""
    match result:
        case NotConnected() | NotExecuted() | AnotherServer():
            return False
        case Answered() | Broken() | TimedOut() | CallerLeft():
            return True


class Symptom(enum.Enum):
    """Say in which way a server failed a request."""

    ERROR = 'error'
    BROKEN = 'broken'
    SILENT = 'silent'
    # Its address answers for another server, so this one is gone.
    REPLACED = 'replaced'


def symptom(result: AttemptResult) -> Symptom | None:
    """Return what speaks against the server's health, if anything."""
    match result:
        case Answered(status) if status >= SERVER_ERROR_STATUS:
            return Symptom.ERROR
        case Broken():
            return Symptom.BROKEN
        case TimedOut():
            return Symptom.SILENT
        case AnotherServer():
            return Symptom.REPLACED
        case _:
            return None
