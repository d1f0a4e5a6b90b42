"""Task that responds 503 on connections for which no thread is free."""

import contextlib
import logging
import queue
import socket
import threading

from cheroot import server as cheroot_server

from cardamomdeal.internal import http_server

MAX_QUEUED_CONNECTIONS = 256
SOCKET_TIMEOUT_S = 0.1
STOP_TIMEOUT_S = 1.0
# The other connections wait for one whose client goes on sending.
MAX_DISCARD_MS = 200
READ_SIZE_BYTES = 64 * 1024
RESPONSE_BODY = b'no thread is free; the request was not run\n'

log = logging.getLogger(__name__)


class RefusalTask(threading.Thread):
    """Task that owns the refused connections until they are closed."""

    def __init__(self, headers: tuple[tuple[str, str], ...]) -> None:
        super().__init__(name='refusals', daemon=True)
        self._response = _build_response(headers)
        self._queue: queue.Queue[cheroot_server.HTTPConnection | None] = (
            queue.Queue(MAX_QUEUED_CONNECTIONS)
        )
        self._start_lock = threading.Lock()

    def refuse(self, connection: cheroot_server.HTTPConnection) -> None:
        """Take ownership of a connection and refuse its request."""
        try:
            self._ensure_started()
            self._queue.put_nowait(connection)
        except (RuntimeError, queue.Full) as error:
            # The machine may have no room for a thread now, and later on.
            log.warning(
                'connection closed without a refusal',
                extra={'reason': repr(error)},
            )
            connection.close()

    def stop(self) -> None:
        """Stop the task once it has refused the connections in its queue."""
        self._queue.put(None)
        if self.ident is not None:
            self.join(STOP_TIMEOUT_S)

    def _ensure_started(self) -> None:
        # Most hosts never refuse a connection for want of a thread.
        with self._start_lock:
            if self.ident is None:
                self.start()

    def run(self) -> None:
        """Refuse queued connections until `stop` is called."""
        while (connection := self._queue.get()) is not None:
            with contextlib.suppress(OSError):
                self._send_response(connection)
            connection.close()

    def _send_response(
        self, connection: cheroot_server.HTTPConnection
    ) -> None:
        client_socket: socket.socket = connection.socket
        client_socket.settimeout(SOCKET_TIMEOUT_S)
        # Closing a socket with unread data resets the connection, and the
        # caller could lose the response saying that its request was not run.
        if not getattr(connection, 'has_received', False):
            client_socket.recv(READ_SIZE_BYTES)
        client_socket.sendall(self._response)
        http_server.discard_received(client_socket, MAX_DISCARD_MS)


def _build_response(headers: tuple[tuple[str, str], ...]) -> bytes:
    lines = [
        'HTTP/1.1 503 Service Unavailable',
        f'Content-Length: {len(RESPONSE_BODY)}',
        'Content-Type: text/plain',
        *(f'{name}: {value}' for name, value in headers),
        'Connection: close',
        '',
        '',
    ]
    return '\r\n'.join(lines).encode() + RESPONSE_BODY
