"""HTTP server with threads only for connections that can be read."""

import logging
import queue
import threading
from typing import Any

from cheroot import connections
from cheroot import server as cheroot_server
from cheroot import wsgi

from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.internal import thread_pool

# A stopping server waits this long for the first request of connections that
# it has just accepted, and so long for those that arrive one after the other.
PENDING_TIMEOUT_S = 0.02
MAX_PENDING_MS = 100
# Connections that it accepts before it closes the listening socket.
MAX_PENDING_CONNECTIONS = 64
# Pause after an unexpected exception, such as a lack of file descriptors,
# that would be raised again at once.
POLL_RETRY_MS = 50

log = logging.getLogger(__name__)


class Connection(cheroot_server.HTTPConnection):
    """Connection of a client."""

    # Whether the server has polled the connection for its first request.
    was_polled = False


class _Connections(connections.ConnectionManager):
    """Connections without a request in progress, and the listening socket."""

    def stop_listening(self) -> None:
        """Accept the connections that wait, and close the socket.

        Closing it resets the connections in its queue.
        """
        for _ in range(MAX_PENDING_CONNECTIONS):
            if not self.refuse_ready(0):
                break
        self._selector.unregister(self.server.socket.fileno())
        self.server.socket.close()
        self.server.socket = None

    def refuse_ready(self, timeout_s: float) -> bool:
        """Accept connections and refuse requests; return if there were any."""
        ready = list(self._selector.select(timeout=timeout_s))
        for socket_fd, connection in ready:
            if connection is self.server:
                accepted = self._from_server_socket(self.server.socket)
                if accepted is not None:
                    self.server.put_conn(accepted)
            else:
                self._selector.unregister(socket_fd)
                self.server.refuse(connection)
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

    def put(self, connection: cheroot_server.HTTPConnection) -> None:
        """Serve what was received; raise queue.Full if too much waits."""
        self._threads.submit(self._serve, connection)

    def stop(self, timeout: float | None) -> None:
        """Wait until the requests in flight have been served."""
        self._threads.shutdown(
            timeout_ms=None if timeout is None else round(timeout * 1_000)
        )

    def _serve(self, connection: cheroot_server.HTTPConnection) -> None:
        keep_open = False
        try:
            keep_open = connection.communicate()
        except OSError as error:
            log.info('connection lost', extra={'reason': str(error)})
        except Exception:
            log.exception('connection closed after an unexpected exception')
        finally:
            if keep_open:
                self._server.put_conn(connection)
            else:
                connection.close()


class PolledServer(wsgi.Server):
    """Server that assigns threads only to readable connections."""

    ConnectionClass = Connection

    def __init__(
        self,
        listen: address.Address,
        application: Any,
        threads: thread_pool.ElasticThreadPool,
        **options: Any,
    ) -> None:
        super().__init__((listen.host, listen.port), application, **options)
        self.requests = _ConnectionWorkers(self, threads)
        self._stopping = threading.Event()

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

    def process_conn(self, conn: Connection) -> None:
        """Serve a readable connection, or refuse it if too many wait."""
        if not conn.was_polled:
            # A client that connects and sends nothing would occupy a thread.
            conn.was_polled = True
            self.put_conn(conn)
            return
        if self._stopping.is_set():
            # There is not enough time left to serve the request.
            self.refuse(conn)
            return
        try:
            self.requests.put(conn)
        except (queue.Full, RuntimeError):
            self.refuse(conn)

    def refuse(self, conn: Connection) -> None:
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
        super().stop()
