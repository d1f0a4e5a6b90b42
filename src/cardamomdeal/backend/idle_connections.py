"""Pool of idle connections to backend servers."""

import collections
from collections.abc import Hashable
import dataclasses
from typing import Generic
from typing import TypeVar

from cardamomdeal.backend import connection

MAX_IDLE_MS = 5_000
# Reuse ends this long before the idle timeout in the server's Keep-Alive
# header, so that the server does not close the connection meanwhile.
KEEP_ALIVE_MARGIN_MS = 1_500
MAX_IDLE_PER_SERVER = 2

Server = TypeVar('Server', bound=Hashable)


@dataclasses.dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: connection.BackendConnection
    idle_since_ms: int
    expires_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReusedConnection:
    """Connection taken from the pool and the time that it was idle."""

    connection: connection.BackendConnection
    idle_ms: int


class IdleConnections(Generic[Server]):
    """Pool of idle connections; the one used last is reused first."""

    def __init__(self) -> None:
        self._idle: dict[Server, collections.deque[_IdleConnection]] = {}

    def put(
        self,
        server: Server,
        released: connection.BackendConnection,
        now_ms: int,
    ) -> None:
        """Add a connection, or close it if unusable or the pool is full."""
        idle_connections = self._idle.setdefault(server, collections.deque())
        reuse_for_ms = MAX_IDLE_MS
        if released.keep_alive_ms is not None:
            reuse_for_ms = min(
                reuse_for_ms, released.keep_alive_ms - KEEP_ALIVE_MARGIN_MS
            )
        if (
            not released.reusable
            or reuse_for_ms < 0
            or len(idle_connections) >= MAX_IDLE_PER_SERVER
        ):
            released.close()
            return
        released.enable_keepalive_probes()
        idle_connections.append(
            _IdleConnection(released, now_ms, now_ms + reuse_for_ms)
        )

    def take(
        self, server: Server, now_ms: int, max_idle_ms: int = MAX_IDLE_MS
    ) -> ReusedConnection | None:
        """Take the usable connection that was used last, if there is one."""
        idle_connections = self._idle.get(server)
        while (
            idle_connections
            and now_ms - idle_connections[-1].idle_since_ms <= max_idle_ms
        ):
            idle = idle_connections.pop()
            if now_ms <= idle.expires_at_ms and idle.connection.is_usable():
                idle.connection.disable_keepalive_probes()
                return ReusedConnection(
                    idle.connection, now_ms - idle.idle_since_ms
                )
            idle.connection.close()
        return None

    def has(
        self, server: Server, now_ms: int, max_idle_ms: int = MAX_IDLE_MS
    ) -> bool:
        """Return whether `take` finds a connection, if it is still open."""
        idle_connections = self._idle.get(server)
        if not idle_connections or now_ms > idle_connections[-1].expires_at_ms:
            return False
        return now_ms - idle_connections[-1].idle_since_ms <= max_idle_ms

    def servers(self) -> tuple[Server, ...]:
        """Return the servers that may have idle connections."""
        return tuple(self._idle)

    def close_connections(self, server: Server) -> None:
        """Close the idle connections to one server."""
        for idle in self._idle.pop(server, ()):
            idle.connection.close()

    def close_expired(self, now_ms: int) -> None:
        """Close the connections that have been idle for too long."""
        for idle_connections in self._idle.values():
            while (
                idle_connections and now_ms > idle_connections[0].expires_at_ms
            ):
                idle_connections.popleft().connection.close()

    def close_all(self) -> None:
        """Close all idle connections."""
        for server in list(self._idle):
            self.close_connections(server)
