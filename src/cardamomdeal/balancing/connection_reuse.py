"""Limits the idle time of connections reused for non-idempotent requests."""

# Servers usually keep idle connections for at least ten seconds. Those that
# close them earlier, and links that drop them, are noticed within seconds.
DEFAULT_IDLE_LIMIT_MS = 3_000
# A lost connection lowers the limit to half of its idle time. A limit below
# this disables reuse, which would save too little to be worth the risk.
MIN_IDLE_LIMIT_MS = 400
# Faults of a server or link last about this long.
REDUCTION_DURATION_MS = 20_000


class ReuseLimit:
    """Limit on idle time that is lowered after a connection was lost.

    Covers servers and links that silently drop idle connections: a request
    sent on such a connection gets no response and cannot be retried.
    """

    def __init__(self) -> None:
        self._limit_ms = DEFAULT_IDLE_LIMIT_MS
        self._reduced_until_ms = 0

    def limit_ms(self, now_ms: int) -> int:
        """Return the longest idle time of a connection to be reused."""
        return (
            self._limit_ms
            if now_ms < self._reduced_until_ms
            else DEFAULT_IDLE_LIMIT_MS
        )

    def record_loss(self, idle_ms: int, now_ms: int) -> None:
        """Lower the limit after a reused connection gave no response."""
        limit_ms = min(self.limit_ms(now_ms), idle_ms // 2)
        self._limit_ms = limit_ms if limit_ms >= MIN_IDLE_LIMIT_MS else 0
        self._reduced_until_ms = now_ms + REDUCTION_DURATION_MS
