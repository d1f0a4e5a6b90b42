"""Results of an attempt to send a request to a backend server."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that a backend server reported with a response."""

    running: int
    waiting: int
    slots: int

    @property
    def is_full(self) -> bool:
        """Return whether no slot is free."""
        return self.running + self.waiting >= self.slots


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A complete response that the server signed."""

    status: int
    latency_ms: int
    load: Load | None
    # The server is about to stop.
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was established, so nothing was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotExecuted:
    """The server stated that it did not execute the request."""

    status: int
    load: Load | None
    is_leaving: bool = False
    # The server accepts no requests from this host for so long.
    retry_after_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AnotherServer:
    """Another server now uses the address of the expected one."""

    found_server_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The exchange failed after the server may have run the request."""

    latency_ms: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """No response arrived before the deadline of the request."""

    latency_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The caller disconnected; the server's health remains unknown."""


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
    """Return whether the server may have started to run the request."""
    match result:
        case NotConnected() | NotExecuted() | AnotherServer():
            return False
        case Answered() | Broken() | TimedOut() | CallerLeft():
            return True


class Symptom(enum.Enum):
    """The way in which a server failed a request."""

    ERROR = 'error'
    BROKEN = 'broken'
    SILENT = 'silent'
    # Another server responds at its address, so this one has stopped.
    REPLACED = 'replaced'


def symptom_of(result: AttemptResult) -> Symptom | None:
    """Return the symptom of failure that a result shows, if any."""
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
