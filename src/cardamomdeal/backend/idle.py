"""Idle connections to backend servers."""

import collections
from collections.abc import Hashable
import dataclasses
from typing import Generic
from typing import TypeVar

from cardamomdeal.backend import connection

MAX_IDLE_MS = 5_000
# Servers may tell for how many seconds they keep an idle connection; this
# much earlier it is not used any more.
KEEP_ALIVE_MARGIN_MS = 1_500
MAX_IDLE_PER_SERVER = 2

Server = TypeVar('Server', bound=Hashable)


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    connection: connection.BackendConnection
    since_ms: int
    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """Hand over a connection and tell how long it was idle."""

    connection: connection.BackendConnection
    idle_ms: int


class IdleConnections(Generic[Server]):
    """Keep clean connections for a short time, the newest first."""

    def __init__(self) -> None:
        self._idle: dict[Server, collections.deque[_Idle]] = {}

    def put(
        self,
        server: Server,
        returned: connection.BackendConnection,
        now_ms: int,
    ) -> None:
        """Keep a connection, or close it when there are enough."""
        kept = self._idle.setdefault(server, collections.deque())
        keep_ms = MAX_IDLE_MS
        if returned.keep_alive_ms is not None:
            keep_ms = min(
                keep_ms, returned.keep_alive_ms - KEEP_ALIVE_MARGIN_MS
            )
        if (
            not returned.reusable
            or keep_ms < 0
            or len(kept) >= MAX_IDLE_PER_SERVER
        ):
            returned.close()
            return
        returned.probe_while_idle()
        kept.append(_Idle(returned, now_ms, now_ms + keep_ms))

    def take(
        self, server: Server, now_ms: int, max_idle_ms: int = MAX_IDLE_MS
    ) -> Kept | None:
        """Return a connection that was in use lately, if any."""
        kept = self._idle.get(server)
        while kept and now_ms - kept[-1].since_ms <= max_idle_ms:
            idle = kept.pop()
            if now_ms <= idle.until_ms and idle.connection.is_clean():
                idle.connection.stop_probing()
                return Kept(idle.connection, now_ms - idle.since_ms)
            idle.connection.close()
        return None

    def has(
        self, server: Server, now_ms: int, max_idle_ms: int = MAX_IDLE_MS
    ) -> bool:
        """Return whether `take` has a connection, if it is clean."""
        kept = self._idle.get(server)
        if not kept or now_ms > kept[-1].until_ms:
            return False
        return now_ms - kept[-1].since_ms <= max_idle_ms

    def servers(self) -> tuple[Server, ...]:
        """Return the servers to which connections are kept."""
        return tuple(self._idle)

    def drop(self, server: Server) -> None:
        """Close the connections to one server."""
        for idle in self._idle.pop(server, ()):
            idle.connection.close()

    def drop_stale(self, now_ms: int) -> None:
        """Close every connection that was idle for too long."""
        for kept in self._idle.values():
            while kept and now_ms > kept[0].until_ms:
                kept.popleft().connection.close()

    def drop_all(self) -> None:
        """Close every connection."""
        for server in list(self._idle):
            self.drop(server)
