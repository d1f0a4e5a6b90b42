"""State that a gateway keeps about each backend server."""

import dataclasses

from cardamomdeal.backend import header_fields
from cardamomdeal.document import model

LOAD_VALID_MS = 1_000
DRAINING_SIGNAL_VALID_MS = 60_000
CONNECT_FAILURE_COOLDOWN_MS = 1_000
# A failing server keeps at least this share of its traffic, so that its
# recovery is detected.
MIN_HEALTH_FACTOR = 0.02
FAILURE_MULTIPLIER = 0.3
SUCCESS_MULTIPLIER = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class ServerStatus:
    """Status of a backend server as reported by the agent."""

    ejected: bool = False
    leaving: bool = False
    weight: float = 1.0


DEFAULT_STATUS = ServerStatus()


@dataclasses.dataclass(slots=True)
class ServerView:
    """Load, availability and health of one backend server."""

    server: model.BackendServer
    in_flight: int = 0
    load: header_fields.Load | None = None
    load_at_ms: int = 0
    other_gateways_slots: int = 0
    draining_until_ms: int = 0
    unreachable_until_ms: int = 0
    health_factor: float = 1.0

    def record_reported_state(
        self, reported_state: header_fields.ReportedState, now_ms: int
    ) -> None:
        """Apply the load and draining state that a response reports."""
        if reported_state.draining:
            self.draining_until_ms = now_ms + DRAINING_SIGNAL_VALID_MS
        if reported_state.load is not None:
            self.load = reported_state.load
            self.load_at_ms = now_ms
            # The reported load includes this gateway's own requests.
            self.other_gateways_slots = max(
                0, reported_state.load.used_slots - self.in_flight
            )

    def record_connect_failure(self, now_ms: int) -> None:
        """Mark the server unreachable after a failed connection attempt."""
        self.unreachable_until_ms = now_ms + CONNECT_FAILURE_COOLDOWN_MS

    def record_result(self, succeeded: bool) -> None:
        """Adjust the health factor after a response or a broken exchange."""
        multiplier = SUCCESS_MULTIPLIER if succeeded else FAILURE_MULTIPLIER
        self.health_factor = min(
            1.0, max(MIN_HEALTH_FACTOR, self.health_factor * multiplier)
        )

    def used_slots(self, now_ms: int) -> int:
        """Return an estimate of the slots in use."""
        if now_ms - self.load_at_ms > LOAD_VALID_MS:
            return self.in_flight
        return self.in_flight + self.other_gateways_slots

    def is_draining(self, now_ms: int) -> bool:
        """Return whether the server recently signalled that it is draining."""
        return now_ms < self.draining_until_ms

    def is_unreachable(self, now_ms: int) -> bool:
        """Return whether a connection attempt recently failed."""
        return now_ms < self.unreachable_until_ms
