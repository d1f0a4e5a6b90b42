"""Task that answers connections for which no thread is free."""

import contextlib
import queue
import socket
import threading

from cheroot import server as cheroot_server

from cardamomdeal.gateway import caller
from cardamomdeal.routing import outcomes

MAX_WAITING = 256
READ_TIMEOUT_S = 0.1
READ_BYTES = 64 * 1024
BODY = b'no thread is free; the request was not run\n'
ANSWER = (
    'HTTP/1.1 503 Service Unavailable\r\n'
    f'Content-Length: {len(BODY)}\r\n'
    'Content-Type: text/plain\r\n'
    f'{caller.OUTCOME}: {outcomes.Outcome.NOT_RUN.value}\r\n'
    'Retry-After: 1\r\n'
    'Connection: close\r\n'
    '\r\n'
).encode() + BODY


class RefusalTask(threading.Thread):
    """Own the connections that are refused until they are closed."""

    def __init__(self) -> None:
        super().__init__(name='refusals', daemon=True)
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
                _answer(connection.socket)
            connection.close()


def _answer(connected: socket.socket) -> None:
    connected.settimeout(READ_TIMEOUT_S)
    # Closing while bytes are unread resets the connection, and the caller
    # might lose the answer that says its request was not run.
    connected.recv(READ_BYTES)
    connected.sendall(ANSWER)
    connected.shutdown(socket.SHUT_WR)
    while connected.recv(READ_BYTES):
        pass
