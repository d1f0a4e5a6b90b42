"""Clocks and waiting, in milliseconds."""

import threading
import time


class Clock:
    """Monotonic and wall clock of the system."""

    def now_ms(self) -> int:
        """Return monotonic time in milliseconds, including suspended time."""
        # CLOCK_MONOTONIC does not advance while the host is suspended, so
        # data that expired meanwhile would appear valid after resuming.
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return wall time in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """Clock for tests; its time changes only through `advance`."""

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the current manual time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the current manual time in milliseconds."""
        return self._now_ms

    def advance(self, step_ms: int) -> None:
        """Advance the time by `step_ms` milliseconds."""
        self._now_ms += step_ms


def wait_ms(event: threading.Event, timeout_ms: int) -> bool:
    """Wait up to `timeout_ms` for `event`; return whether it is set."""
    return event.wait(timeout_ms / 1000)
