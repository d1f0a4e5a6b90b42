"""Idle connections to backend servers."""

import collections
import dataclasses

from cardamomdeal.backend import connection

MAX_IDLE_MS = 5_000
MAX_IDLE_PER_SERVER = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    connection: connection.BackendConnection
    since_ms: int


class IdleConnections:
    """Keep clean connections for a short time, the newest first."""

    def __init__(self) -> None:
        self._idle: dict[str, collections.deque[_Idle]] = {}

    def put(
        self,
        server: str,
        returned: connection.BackendConnection,
        now_ms: int,
    ) -> None:
        """Keep a connection, or close it when there are enough."""
        kept = self._idle.setdefault(server, collections.deque())
        if not returned.reusable or len(kept) >= MAX_IDLE_PER_SERVER:
            returned.close()
            return
        kept.append(_Idle(returned, now_ms))

    def take(
        self, server: str, now_ms: int
    ) -> connection.BackendConnection | None:
        """Return a connection that was in use a moment ago, if any."""
        kept = self._idle.get(server)
        while kept:
            idle = kept.pop()
            fresh = now_ms - idle.since_ms <= MAX_IDLE_MS
            if fresh and idle.connection.is_clean():
                return idle.connection
            idle.connection.close()
        return None

    def drop(self, server: str) -> None:
        """Close the connections to one server."""
        for idle in self._idle.pop(server, ()):
            idle.connection.close()

    def drop_stale(self, now_ms: int) -> None:
        """Close every connection that was idle for too long."""
        for kept in self._idle.values():
            while kept and now_ms - kept[0].since_ms > MAX_IDLE_MS:
                kept.popleft().connection.close()

    def drop_all(self) -> None:
        """Close every connection."""
        for server in list(self._idle):
            self.drop(server)
