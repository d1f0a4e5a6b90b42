"""HTTP server with threads only for connections that can be read."""

import logging
import queue
import select
import socket
import threading
from typing import Any

from cheroot import connections
from cheroot import server as cheroot_server
from cheroot import wsgi

from cardamomdeal.internal import address
from cardamomdeal.internal import chunked_body
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
# After the last response, a connection is read until its client closes it, has
# sent nothing for this long, or has sent for this long in all.
DISCARD_TIMEOUT_S = 0.1
MAX_DISCARD_MS = 2_000
DISCARD_BYTES = 16 * 1024

log = logging.getLogger(__name__)


class _HeaderReader(cheroot_server.HeaderReader):
    """Reader that tells which headers came on more than one line.

    The library keeps only the last line of most headers.
    """

    def __init__(self) -> None:
        self.repeated: set[bytes] = set()
        self._read: set[bytes] = set()

    def _allow_header(self, key_name: bytes) -> bool:
        """Record a line, also one that continues the line before."""
        if key_name in self._read:
            self.repeated.add(key_name)
        self._read.add(key_name)
        return super()._allow_header(key_name)


class Request(cheroot_server.HTTPRequest):
    """Request that closes its connection if its body is not read."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.header_reader = _HeaderReader()

    def is_repeated(self, header: str) -> bool:
        """Return whether a header came on more than one line."""
        return header.title().encode() in self.header_reader.repeated

    def send_headers(self) -> None:
        """Send the head of the response."""
        # The library reads the rest of a body into memory, but not if it is
        # sent in chunks; that rest would be taken for the next request.
        if self._has_unread_body():
            self.close_connection = True
        super().send_headers()

    def _has_unread_body(self) -> bool:
        match self.rfile:
            case cheroot_server.KnownLengthRFile(remaining=remaining):
                return remaining > 0
            case cheroot_server.ChunkedRFile(closed=is_read):
                return not is_read
            case _:
                return False


class Gateway(wsgi.Gateway_10):
    """WSGI gateway that reads chunked bodies to their end."""

    def get_environ(self) -> dict[str, Any]:
        """Return the environ of the request."""
        if self.req.chunked_read:
            self.req.rfile = chunked_body.ChunkedBody(self.req.conn.rfile)
        return super().get_environ()


class Connection(cheroot_server.HTTPConnection):
    """Connection of a client."""

    RequestHandlerClass = Request
    # Whether the server has polled the connection for its first request.
    was_polled = False

    def communicate(self) -> bool:
        """Serve one request; return whether to keep the connection open."""
        if not self.has_request():
            return True
        return super().communicate()

    def has_request(self) -> bool:
        """Discard empty lines; return whether anything is left to be read.

        Some clients send an empty line after a body (RFC 9112, 2.2). Taken for
        a part of the next request, it would occupy a thread.
        """
        while self.rfile.has_data() or self.is_readable():
            # Blocks only if nothing has been received.
            if not self.rfile.peek(1).startswith(cheroot_server.CRLF):
                return True
            self.rfile.read(len(cheroot_server.CRLF))
        return False

    def is_readable(self) -> bool:
        """Return whether bytes or the end of the connection have arrived."""
        poller = select.poll()
        poller.register(self.socket, select.POLLIN)
        return bool(poller.poll(0))

    def close_after_response(self) -> None:
        """Close the connection when the client has received the response.

        Closing a socket with unread data resets the connection, and the client
        may lose a response that it has not read.
        """
        discard_received(self.socket, MAX_DISCARD_MS)
        self.close()


def discard_received(client_socket: socket.socket, max_ms: int) -> None:
    """End a connection's responses and discard what is still received."""
    time = clock.Clock()
    end_ms = time.now_ms() + max_ms
    received = bytearray(DISCARD_BYTES)
    try:
        client_socket.shutdown(socket.SHUT_WR)
        client_socket.settimeout(DISCARD_TIMEOUT_S)
        while client_socket.recv_into(received) and time.now_ms() < end_ms:
            pass
    except OSError:
        # The client has left, or sends nothing more.
        return


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

    def _serve(self, connection: Connection) -> None:
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
                connection.close_after_response()


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
        self.gateway = Gateway
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
