"""Connections that are closed once their clients have the last response.

Closing a socket with unread data resets the connection, and its client may
lose a response that it has not read. So what the client still sends is
discarded first.
"""

import dataclasses
import logging
import selectors
import socket

# A client that sends nothing for this long is taken to have nothing to send.
MAX_SILENCE_MS = 100
# A client that goes on sending, or does not read, is cut off.
MAX_TOTAL_MS = 2_000
RECEIVE_BYTES = 64 * 1024
# Parts received in a row before other connections have their turn.
MAX_RECEIVES = 8

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitRequest:
    """Send the response when a request arrives, and not before."""

    response: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send the rest of the last response."""

    unsent: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Discard:
    """Discard what arrives after the last response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """Close the connection."""


Step = AwaitRequest | Send | Discard | Close


class ClosingConnection:
    """Socket with one response at most left to be sent.

    It has one owner at a time: who ends the connection, then a closing task.
    """

    def __init__(
        self, client_socket: socket.socket, step: Step, now_ms: int
    ) -> None:
        client_socket.setblocking(False)
        self.socket = client_socket
        self.step = step
        self._received_at_ms = now_ms
        self._ends_at_ms = now_ms + MAX_TOTAL_MS

    @property
    def events(self) -> int:
        """Return the events of the socket that the next step waits for."""
        match self.step:
            case Send():
                return selectors.EVENT_WRITE
            case _:
                return selectors.EVENT_READ

    def advance(self, now_ms: int) -> None:
        """Do what is possible without waiting for the client."""
        try:
            match self.step:
                case AwaitRequest(response):
                    if self._receive(now_ms):
                        self._send(response)
                case Send(unsent):
                    self._send(unsent)
                case Discard():
                    self._discard(now_ms)
        except BlockingIOError:
            return
        except OSError as error:
            log.info('connection lost', extra={'reason': str(error)})
            self.step = Close()

    def expire(self, now_ms: int) -> None:
        """Give up a client that has been silent or slow for too long."""
        is_silent = now_ms - self._received_at_ms >= MAX_SILENCE_MS
        match self.step:
            case AwaitRequest() | Discard() if is_silent:
                self.step = Close()
            case _ if now_ms >= self._ends_at_ms:
                self.step = Close()

    def _receive(self, now_ms: int) -> int:
        """Return the number of bytes received, 0 if the client has left."""
        received = self.socket.recv(RECEIVE_BYTES)
        self._received_at_ms = now_ms
        if not received:
            self.step = Close()
        return len(received)

    def _send(self, response: bytes) -> None:
        self.step = Send(response)
        sent_bytes = self.socket.send(response)
        if sent_bytes < len(response):
            self.step = Send(response[sent_bytes:])
            return
        self.socket.shutdown(socket.SHUT_WR)
        self.step = Discard()

    def _discard(self, now_ms: int) -> None:
        for _ in range(MAX_RECEIVES):
            if self._receive(now_ms) < RECEIVE_BYTES:
                return
