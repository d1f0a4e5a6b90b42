"""What a gateway knows about each backend server."""

import dataclasses

from cardamomdeal.backend import answers
from cardamomdeal.document import model

LOAD_VALID_MS = 1_000
DRAIN_MARK_MS = 60_000
CONNECT_FAILURE_MARK_MS = 1_000
# A server whose answers fail keeps this share of its work at the least, so
# that its recovery shows.
MIN_TRUST = 0.02
TRUST_AFTER_FAILURE = 0.3
TRUST_AFTER_SUCCESS = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """Hold what the agent says about a backend server."""

    ejected: bool = False
    leaving: bool = False
    weight: float = 1.0


NORMAL = Standing()


@dataclasses.dataclass(slots=True)
class ServerView:
    """Track the work and the signals of one backend server."""

    server: model.BackendServer
    in_flight: int = 0
    load: answers.Load | None = None
    load_at_ms: int = 0
    others_slots: int = 0
    draining_until_ms: int = 0
    unreachable_until_ms: int = 0
    trust: float = 1.0

    def note_signals(self, signals: answers.Signals, now_ms: int) -> None:
        """Take in what an answer of the server said."""
        if signals.draining:
            self.draining_until_ms = now_ms + DRAIN_MARK_MS
        if signals.load is not None:
            self.load = signals.load
            self.load_at_ms = now_ms
            # The report counts this gateway's requests too.
            self.others_slots = max(
                0, signals.load.used_slots - self.in_flight
            )

    def note_unreachable(self, now_ms: int) -> None:
        """Take in that no connection could be made."""
        self.unreachable_until_ms = now_ms + CONNECT_FAILURE_MARK_MS

    def note_result(self, succeeded: bool) -> None:
        """Trust the server more or less after an answer."""
        factor = TRUST_AFTER_SUCCESS if succeeded else TRUST_AFTER_FAILURE
        self.trust = min(1.0, max(MIN_TRUST, self.trust * factor))

    def used_slots(self, now_ms: int) -> int:
        """Return the slots in use, as far as this gateway can tell."""
        if now_ms - self.load_at_ms > LOAD_VALID_MS:
            return self.in_flight
        return self.in_flight + self.others_slots

    def is_draining(self, now_ms: int) -> bool:
        """Return whether the server lately said that it is leaving."""
        return now_ms < self.draining_until_ms

    def is_unreachable(self, now_ms: int) -> bool:
        """Return whether connecting lately failed."""
        return now_ms < self.unreachable_until_ms
