"""HTTP server with threads only for requests that were received whole."""

import logging
import queue
import selectors
import threading
from typing import Any

from cheroot import connections
from cheroot import wsgi

from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.internal import closing_connection
from cardamomdeal.internal import closing_task
from cardamomdeal.internal import http_server
from cardamomdeal.internal import memory_budget
from cardamomdeal.internal import polled_connection
from cardamomdeal.internal import request_intake
from cardamomdeal.internal import slow_clients
from cardamomdeal.internal import thread_pool

# A stopping server waits this long for the first request of connections that
# it has just accepted, and so long for those that arrive one after the other.
PENDING_TIMEOUT_S = 0.02
MAX_PENDING_MS = 100
# Connections that it accepts before it closes the listening socket.
MAX_PENDING_CONNECTIONS = 64
# Pause after an unexpected exception, or a lack of file descriptors, that
# would be raised again at once.
POLL_RETRY_MS = 50
# Limits of requests for readiness, addresses and metrics.
DEFAULT_LIMITS = request_intake.Limits(
    max_head_bytes=16 * 1024, max_body_bytes=64 * 1024
)
DEFAULT_MEMORY_BYTES = 1024**2
DEFAULT_RESERVE_BYTES = 1024**2
# Share of the memory for bodies that clients without progress may hold.
SLOW_CLIENTS_SHARE = 0.5
DEFAULT_HEADER_TIMEOUT_S = 10.0

log = logging.getLogger(__name__)


class _Connections(connections.ConnectionManager):
    """Connections that wait for their clients, and the listening socket."""

    def __init__(self, server: 'PolledServer') -> None:
        super().__init__(server)
        self._time = clock.Clock()
        self._expired_at_ms = self._time.now_ms()
        # While no connection can be accepted, the listening socket is not
        # polled: it stays readable.
        self._accepts_again_at_ms: int | None = None

    def put(self, connection: polled_connection.PolledConnection) -> None:
        """Wait for the client, or serve what was received already."""
        connection.begin_wait()
        connection.ask_for_body()
        if connection.has_unsent:
            events = selectors.EVENT_WRITE
        elif connection.is_request_ready:
            self.server.process_conn(connection)
            return
        else:
            events = selectors.EVENT_READ
        self._selector.register(
            connection.socket.fileno(), events, data=connection
        )

    def _run(self, expiration_interval: float) -> None:
        """Poll until a stop is requested."""
        # The loop of the library checks time limits by the time of day.
        interval_ms = round(expiration_interval * 1_000)
        while not self._stop_requested:
            try:
                ready = self._selector.select(
                    timeout=self._poll_timeout_s(expiration_interval)
                )
            except OSError:
                self._remove_invalid_sockets()
                continue
            for socket_fd, connection in ready:
                self._go_on(socket_fd, connection)
            now_ms = self._time.now_ms()
            if now_ms - self._expired_at_ms > interval_ms:
                self._expired_at_ms = now_ms
                self._expire_clients(now_ms)
            self._accept_again(now_ms)

    def _poll_timeout_s(self, interval_s: float) -> float:
        if self._accepts_again_at_ms is None:
            return interval_s
        return min(interval_s, POLL_RETRY_MS / 1_000)

    def _accept_again(self, now_ms: int) -> None:
        """Poll the listening socket again after the pause."""
        if (
            self._accepts_again_at_ms is None
            or now_ms < self._accepts_again_at_ms
        ):
            return
        self._accepts_again_at_ms = None
        self._selector.register(
            self.server.socket.fileno(),
            selectors.EVENT_READ,
            data=self.server,
        )

    def _accept(self) -> polled_connection.PolledConnection | None:
        """Accept a connection, if that is possible."""
        try:
            return self._from_server_socket(self.server.socket)
        except OSError as error:
            log.warning(
                'connection not accepted', extra={'reason': str(error)}
            )
            self._selector.unregister(self.server.socket.fileno())
            self._accepts_again_at_ms = self._time.now_ms() + POLL_RETRY_MS
            return None

    def _go_on(
        self,
        socket_fd: int,
        connection: 'polled_connection.PolledConnection | PolledServer',
    ) -> None:
        """Go on with a socket that is ready."""
        if connection is not self.server:
            self._selector.unregister(socket_fd)
            self.server.process_conn(connection)
            return
        accepted = self._accept()
        if accepted is not None:
            self.server.process_conn(accepted)

    def _expire_clients(self, now_ms: int) -> None:
        for socket_fd, connection in self.waiting():
            step = connection.expire(now_ms)
            if step is not polled_connection.Step.WAIT:
                self._selector.unregister(socket_fd)
                self.server.take_step(connection, step)
        self._give_up_slow_clients(now_ms)

    def _give_up_slow_clients(self, now_ms: int) -> None:
        budget = self.server.budget
        max_held_bytes = round(SLOW_CLIENTS_SHARE * budget.limit_bytes)
        # What they hold is a part of it.
        if budget.held_bytes <= max_held_bytes:
            return
        waiting = self.waiting()
        clients = [connection.slowness(now_ms) for _, connection in waiting]
        for position in slow_clients.choose_given_up(clients, max_held_bytes):
            socket_fd, connection = waiting[position]
            self._selector.unregister(socket_fd)
            self.server.take_step(connection, connection.give_up())

    def waiting(
        self,
    ) -> list[tuple[int, polled_connection.PolledConnection]]:
        """Return the connections that wait, with their descriptors."""
        return [
            (socket_fd, connection)
            for socket_fd, connection in self._selector.connections
            if connection is not self.server
        ]

    def take_unfinished(self) -> list[polled_connection.PolledConnection]:
        """Return the connections within a request or a response."""
        unfinished = []
        for socket_fd, connection in self.waiting():
            if connection.has_unsent or connection.has_partial_request:
                self._selector.unregister(socket_fd)
                unfinished.append(connection)
        return unfinished

    def stop_listening(self) -> None:
        """Accept the connections that wait, and close the socket.

        Closing it resets the connections in its queue.
        """
        if self._accepts_again_at_ms is not None:
            self._accept_again(self._accepts_again_at_ms)
        for _ in range(MAX_PENDING_CONNECTIONS):
            if not self.refuse_ready(0):
                break
        if self._accepts_again_at_ms is None:
            self._selector.unregister(self.server.socket.fileno())
        self.server.socket.close()
        self.server.socket = None

    def refuse_ready(self, timeout_s: float) -> bool:
        """Accept connections and refuse requests; return if there were any."""
        ready = list(self._selector.select(timeout=timeout_s))
        for socket_fd, connection in ready:
            if connection is self.server:
                accepted = self._accept()
                if accepted is not None:
                    self.server.put_conn(accepted)
            else:
                self._selector.unregister(socket_fd)
                self.server.finish(connection)
        return bool(ready)


class _ConnectionWorkers:
    """Serves readable connections in a pool of threads.

    Takes the place of the thread pool of the HTTP server library, which
    creates all of its threads at the start.
    """

    def __init__(
        self,
        server: 'PolledServer',
        threads: thread_pool.ElasticThreadPool,
    ) -> None:
        self._server = server
        self._threads = threads

    def start(self) -> None:
        """Do nothing, as threads are started for each connection."""

    def put(self, connection: polled_connection.PolledConnection) -> None:
        """Serve what was received; raise queue.Full if too much waits."""
        self._threads.submit(self._serve, connection)

    def stop(self, timeout: float | None) -> None:
        """Wait until the requests in flight have been served."""
        self._threads.shutdown(
            timeout_ms=None if timeout is None else round(timeout * 1_000)
        )

    def _serve(self, connection: polled_connection.PolledConnection) -> None:
        keep_open = False
        try:
            if not connection.closes_when_sent:
                keep_open = connection.communicate()
            if connection.has_unsent and self._server.is_stopping:
                connection.finish_sending()
        except OSError as error:
            log.info('connection lost', extra={'reason': str(error)})
            connection.discard_unsent()
        except Exception:
            log.exception('connection closed after an unexpected exception')
            connection.discard_unsent()
        connection.closes_when_sent = not keep_open
        if keep_open or connection.has_unsent:
            self._server.put_conn(connection)
        else:
            self._server.end(connection)


class PolledServer(wsgi.Server):
    """Server that assigns threads only to readable connections."""

    ConnectionClass = polled_connection.PolledConnection
    # Time within which the head of a request must arrive.
    header_timeout_s = DEFAULT_HEADER_TIMEOUT_S
    intake_limits = DEFAULT_LIMITS

    def __init__(
        self,
        listen: address.Address,
        application: Any,
        threads: thread_pool.ElasticThreadPool,
        **options: Any,
    ) -> None:
        super().__init__((listen.host, listen.port), application, **options)
        self.gateway = http_server.Gateway
        self.max_request_header_size = self.intake_limits.max_head_bytes
        self.budget = memory_budget.MemoryBudget(
            DEFAULT_MEMORY_BYTES, DEFAULT_RESERVE_BYTES
        )
        self.requests = _ConnectionWorkers(self, threads)
        self._stopping = threading.Event()
        self.closing = closing_task.ClosingTask()

    def prepare(self) -> None:
        """Open the listening socket."""
        super().prepare()
        self._connections.close()
        self._connections = _Connections(self)

    def serve(self) -> None:
        """Poll the connections until the server is stopped."""
        # The loop of the library starts a poll that was stopped again for as
        # long as `ready` is set, without a pause, and `stop` waits for a
        # moment in which no poll runs.
        while not self._stopping.is_set():
            try:
                self._connections.run(self.expiration_interval)
            except Exception:
                log.exception('polling of connections failed')
                clock.wait_ms(self._stopping, POLL_RETRY_MS)

    @property
    def is_stopping(self) -> bool:
        """Return whether new requests are refused."""
        return self._stopping.is_set()

    def process_conn(self, conn: polled_connection.PolledConnection) -> None:
        """Let a connection go on, and serve a request that is whole."""
        if not conn.was_polled:
            # Most clients have not sent their request yet.
            conn.was_polled = True
            self.take_step(conn, polled_connection.Step.WAIT)
            return
        if self.is_stopping:
            self.finish(conn)
            return
        try:
            step = conn.advance()
        except OSError as error:
            log.info('connection lost', extra={'reason': str(error)})
            step = polled_connection.Step.CLOSE
        except Exception:
            log.exception('connection closed after an unexpected exception')
            step = polled_connection.Step.CLOSE
        self.take_step(conn, step)

    def take_step(
        self,
        conn: polled_connection.PolledConnection,
        step: polled_connection.Step,
    ) -> None:
        """Do with a connection what it needs next; close it on errors."""
        try:
            self._take_step(conn, step)
        except Exception:
            # The other connections are polled by the same thread.
            log.exception('connection closed after an unexpected exception')
            conn.close()

    def _take_step(
        self,
        conn: polled_connection.PolledConnection,
        step: polled_connection.Step,
    ) -> None:
        match step:
            case polled_connection.Step.WAIT:
                self.put_conn(conn)
            case polled_connection.Step.END:
                self.end(conn)
            case polled_connection.Step.CLOSE:
                conn.close()
            case polled_connection.Step.THREAD:
                try:
                    self.requests.put(conn)
                except (queue.Full, RuntimeError):
                    self._refuse_or_close(conn)

    def _refuse_or_close(
        self, conn: polled_connection.PolledConnection
    ) -> None:
        if conn.closes_when_sent:
            conn.close()
        else:
            self.refuse(conn)

    def finish(self, conn: polled_connection.PolledConnection) -> None:
        """Deliver a response, or refuse a request for lack of time."""
        if not conn.has_unsent:
            self.refuse(conn)
            return
        conn.closes_when_sent = True
        self.take_step(conn, polled_connection.Step.THREAD)

    def end(self, conn: polled_connection.PolledConnection) -> None:
        """Close a connection behind its last response."""
        # Nothing is left to be sent but the end of the connection.
        self.closing.end(conn, closing_connection.Send(b''))

    def refuse(self, conn: polled_connection.PolledConnection) -> None:
        """Close a connection for which there is no thread."""
        conn.close()

    def stop(self) -> None:
        """Stop listening, and refuse the requests that arrive meanwhile."""
        if not self.ready:
            return
        self._stopping.set()
        # Returns up to half a second later.
        self._connections.stop()
        self._connections.stop_listening()
        time = clock.Clock()
        end_ms = time.now_ms() + MAX_PENDING_MS
        while time.now_ms() < end_ms:
            if not self._connections.refuse_ready(PENDING_TIMEOUT_S):
                break
        for connection in self._connections.take_unfinished():
            self.finish(connection)
        super().stop()
        self.closing.stop()
