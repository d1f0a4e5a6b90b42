"""Decides how long an idle connection may carry work that runs once."""

# Servers keep idle connections for ten seconds and more; those that drop
# them sooner, or links that lose track of them, show within seconds.
USUAL_IDLE_MS = 3_000
# After a loss, connections are trusted for half of the idle time that the
# lost one had; below this, reuse saves too little to be worth a risk.
SHORTEST_IDLE_MS = 400
# A link or server in trouble is in it for about this long.
CAUTION_MS = 20_000


class ReuseLimit:
    """Shorten the reuse of idle connections when one was lost.

    Load it answers: servers or links that forget idle connections, while
    a request sent on one of them can neither be answered nor repeated.
    """

    def __init__(self) -> None:
        self._limit_ms = USUAL_IDLE_MS
        self._until_ms = 0

    def limit_ms(self, now_ms: int) -> int:
        """Return for how long a connection may have been idle."""
        return self._limit_ms if now_ms < self._until_ms else USUAL_IDLE_MS

    def note_lost(self, idle_ms: int, now_ms: int) -> None:
        """Take in that no answer came on a connection that was idle."""
        limit_ms = min(self.limit_ms(now_ms), idle_ms // 2)
        self._limit_ms = limit_ms if limit_ms >= SHORTEST_IDLE_MS else 0
        self._until_ms = now_ms + CAUTION_MS
