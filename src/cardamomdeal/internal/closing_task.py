"""Task that closes any number of connections, whoever of them is slow."""

import contextlib
import logging
import selectors
import socket
import threading

from cheroot import server as cheroot_server

from cardamomdeal.internal import clock
from cardamomdeal.internal import closing_connection

# Above this the connection that was first is closed at once: new connections
# need file descriptors more.
MAX_CONNECTIONS = 256
CHECK_INTERVAL_MS = 20
# The thread ends when it had no connection for this long.
IDLE_TIMEOUT_MS = 5_000
STOP_TIMEOUT_S = 1.0
WAKE = b'\0'
WAKES_BYTES = 4096

log = logging.getLogger(__name__)


class ClosingTask:
    """Task that owns connections until they are closed.

    Its thread runs only while it is needed, as on most hosts it rarely is.
    """

    def __init__(self) -> None:
        self._time = clock.Clock()
        self._lock = threading.Lock()
        self._thread: _ClosingThread | None = None

    def end(
        self,
        connection: cheroot_server.HTTPConnection,
        step: closing_connection.Step,
    ) -> None:
        """Own a connection from its last response on until it is closed.

        The first step is taken at once. What its requests held is released.
        """
        # Its socket stays open.
        connection.linger = True
        connection.close()
        closing = closing_connection.ClosingConnection(
            connection.socket, step, self._time.now_ms()
        )
        closing.advance(self._time.now_ms())
        if closing.step == closing_connection.Close():
            closing.socket.close()
            return
        try:
            self._hand_over(closing)
        except (OSError, RuntimeError) as error:
            # The machine may have no room for a thread now, and later on.
            log.warning(
                'connection closed without waiting for its client',
                extra={'reason': repr(error)},
            )
            closing.socket.close()

    def stop(self) -> None:
        """Wait until the connections have been closed."""
        with self._lock:
            thread = self._thread
        if thread is not None:
            thread.stop()

    def _hand_over(
        self, connection: closing_connection.ClosingConnection
    ) -> None:
        with self._lock:
            if self._thread is None or not self._thread.try_add(connection):
                thread = _ClosingThread(self._time, connection)
                thread.start()
                self._thread = thread


class _ClosingThread(threading.Thread):
    """Thread that waits for all clients at the same time."""

    def __init__(
        self,
        time: clock.Clock,
        first: closing_connection.ClosingConnection,
    ) -> None:
        super().__init__(name='closing', daemon=True)
        self._time = time
        # By file descriptor, in the order in which they came.
        self._connections: dict[int, closing_connection.ClosingConnection] = {}
        self._checked_at_ms = self._used_at_ms = time.now_ms()
        self._selector = selectors.DefaultSelector()
        self._waker, self._wakes = socket.socketpair()
        for end in (self._waker, self._wakes):
            end.setblocking(False)
        self._selector.register(self._wakes, selectors.EVENT_READ)
        self._lock = threading.Lock()
        # Guarded by the lock.
        self._added = [first]
        self._is_stopping = False
        self._has_ended = False

    def try_add(
        self, connection: closing_connection.ClosingConnection
    ) -> bool:
        """Take a connection; return False if the thread has ended."""
        with self._lock:
            if self._has_ended:
                return False
            self._added.append(connection)
            self._wake()
            return True

    def stop(self) -> None:
        """Wait until all connections have been closed, or too long."""
        with self._lock:
            self._is_stopping = True
            if not self._has_ended:
                self._wake()
        self.join(STOP_TIMEOUT_S)

    def run(self) -> None:
        """Close connections until there were none for a while."""
        try:
            while not self._try_end():
                self._poll()
        except Exception:
            # Another thread takes over what is added from now on.
            log.exception('closing of connections failed')
            self._abort()
        finally:
            self._selector.close()
            self._waker.close()
            self._wakes.close()

    def _try_end(self) -> bool:
        """End, unless there is a connection or was one a short time ago."""
        is_idle = self._time.now_ms() - self._used_at_ms >= IDLE_TIMEOUT_MS
        with self._lock:
            self._has_ended = (
                not self._connections
                and not self._added
                and (is_idle or self._is_stopping)
            )
            return self._has_ended

    def _abort(self) -> None:
        """Close all connections without waiting for their clients."""
        with self._lock:
            self._has_ended = True
        for connection in (*self._connections.values(), *self._added):
            connection.socket.close()

    def _wake(self) -> None:
        # It wakes up anyway if there is no room for another byte.
        with contextlib.suppress(BlockingIOError):
            self._waker.send(WAKE)

    def _poll(self) -> None:
        """Go on with the connections that were added or are ready."""
        self._begin_added()
        timeout_ms = (
            CHECK_INTERVAL_MS if self._connections else IDLE_TIMEOUT_MS
        )
        for key, _ in self._selector.select(timeout_ms / 1_000):
            if key.data is None:
                self._wakes.recv(WAKES_BYTES)
            else:
                self._advance(key.data)
        self._expire()

    def _begin_added(self) -> None:
        with self._lock:
            added, self._added = self._added, []
        for connection in added:
            self._used_at_ms = self._time.now_ms()
            self._connections[connection.socket.fileno()] = connection
            self._selector.register(
                connection.socket, connection.events, connection
            )
        while len(self._connections) > MAX_CONNECTIONS:
            self._close(next(iter(self._connections.values())))

    def _advance(
        self, connection: closing_connection.ClosingConnection
    ) -> None:
        connection.advance(self._time.now_ms())
        self._selector.modify(connection.socket, connection.events, connection)
        self._close_if_done(connection)

    def _expire(self) -> None:
        now_ms = self._time.now_ms()
        if now_ms - self._checked_at_ms < CHECK_INTERVAL_MS:
            return
        self._checked_at_ms = now_ms
        for connection in list(self._connections.values()):
            connection.expire(now_ms)
            self._close_if_done(connection)

    def _close_if_done(
        self, connection: closing_connection.ClosingConnection
    ) -> None:
        if connection.step == closing_connection.Close():
            self._close(connection)

    def _close(self, connection: closing_connection.ClosingConnection) -> None:
        del self._connections[connection.socket.fileno()]
        self._selector.unregister(connection.socket)
        connection.socket.close()
