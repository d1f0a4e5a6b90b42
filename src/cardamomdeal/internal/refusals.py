"""Task that answers connections for which no thread is free."""

import contextlib
import queue
import socket
import threading

from cheroot import server as cheroot_server

MAX_WAITING = 256
READ_TIMEOUT_S = 0.1
READ_BYTES = 64 * 1024
BODY = b'no thread is free; the request was not run\n'


class RefusalTask(threading.Thread):
    """Own the connections that are refused until they are closed."""

    def __init__(self, headers: tuple[tuple[str, str], ...]) -> None:
        super().__init__(name='refusals', daemon=True)
        self._answer = _build_answer(headers)
        self._refused: queue.Queue[cheroot_server.HTTPConnection | None] = (
            queue.Queue(MAX_WAITING)
        )

    def refuse(self, connection: cheroot_server.HTTPConnection) -> None:
        """Take over a connection whose request will not be run."""
        try:
            self._refused.put_nowait(connection)
        except queue.Full:
            connection.close()

    def stop(self) -> None:
        """End the task once the connections it has are answered."""
        self._refused.put(None)

    def run(self) -> None:
        """Answer connections until told to stop."""
        while (connection := self._refused.get()) is not None:
            with contextlib.suppress(OSError):
                self._send_answer(connection.socket)
            connection.close()

    def _send_answer(self, connected: socket.socket) -> None:
        connected.settimeout(READ_TIMEOUT_S)
        # Closing while bytes are unread resets the connection, and the
        # caller might lose the answer that its request was not run.
        connected.recv(READ_BYTES)
        connected.sendall(self._answer)
        connected.shutdown(socket.SHUT_WR)
        while connected.recv(READ_BYTES):
            pass


def _build_answer(headers: tuple[tuple[str, str], ...]) -> bytes:
    lines = [
        'HTTP/1.1 503 Service Unavailable',
        f'Content-Length: {len(BODY)}',
        'Content-Type: text/plain',
        *(f'{name}: {value}' for name, value in headers),
        'Connection: close',
        '',
        '',
    ]
    return '\r\n'.join(lines).encode() + BODY
