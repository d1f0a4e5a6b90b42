"""Time in milliseconds."""

import threading
import time


class Clock:
    """Read the monotonic and the wall clock in milliseconds."""

    def now_ms(self) -> int:
        """Return monotonic time, suspended time included."""
        # CLOCK_MONOTONIC stands still while a host is suspended, so what
        # expired meanwhile would seem valid to a process that wakes up.
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def wall_ms(self) -> int:
        """Return wall time in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """Hold a time that only moves when it is told to."""

    def __init__(self, start_ms: int = 0) -> None:
        self._now_ms = start_ms

    def now_ms(self) -> int:
        """Return the time that was set, in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the time that was set, in milliseconds."""
        return self._now_ms

    def advance(self, step_ms: int) -> None:
        """Move the time forward by `step_ms` milliseconds."""
        self._now_ms += step_ms


def wait_ms(event: threading.Event, timeout_ms: int) -> bool:
    """Wait for `event` for at most `timeout_ms` milliseconds."""
    return event.wait(timeout_ms / 1000)
