"""Connections that hold no thread while their client is slow."""

import collections
from collections.abc import Iterable
import enum
import logging
import socket
from typing import Any

from cheroot import makefile as cheroot_makefile
from cheroot import server as cheroot_server

from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import clock
from cardamomdeal.internal import http_server
from cardamomdeal.internal import memory_budget
from cardamomdeal.internal import request_intake
from cardamomdeal.internal import slow_clients

RECEIVE_BYTES = 64 * 1024
# Parts received in a row before other connections have their turn.
MAX_RECEIVES = 8
# A body of which nothing arrives for this long holds only what was received.
STALL_MS = 1_000
REQUEST_TIMEOUT_STATUS = '408 Request Timeout'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
NO_MEMORY_STATUS = '503 Service Unavailable'
TOO_LARGE_STATUS = '413 Request Entity Too Large'

log = logging.getLogger(__name__)


class Step(enum.Enum):
    """What a connection needs next."""

    WAIT = 'wait'
    THREAD = 'thread'
    # Its last response has been sent.
    END = 'end'
    CLOSE = 'close'


class _HeaderReader(http_server.HeaderReader):
    """Reader without the expectation that was met before the body arrived.

    The library would send an interim response of its own.
    """

    def _allow_header(self, key_name: bytes) -> bool:
        return super()._allow_header(key_name) and key_name != b'Expect'


class _Request(http_server.Request):
    """Request that was received whole."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.header_reader = _HeaderReader()


class BufferedConnection:
    """Wrapper of a connection with one request and its response."""

    def __init__(
        self,
        connection: 'PolledConnection',
        received: request_intake.ReceivedRequest,
    ) -> None:
        self._connection = connection
        self.rfile = received
        self.wfile = body_buffer.BodyBuffer()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection, name)


class PolledConnection(http_server.Connection):
    """Connection that is read and written without waiting.

    It has one owner at a time: the poller, or the thread that serves the
    requests that were received whole.
    """

    RequestHandlerClass = _Request
    # Whether the server has polled the connection for its first request.
    was_polled = False

    def __init__(
        self,
        server: Any,
        sock: socket.socket,
        makefile: Any = cheroot_makefile.MakeFile,
    ) -> None:
        super().__init__(server, sock, makefile)
        # The library's caches refer back to the connection, so that it would
        # keep what it holds until the garbage collector runs.
        del self.resolve_peer_creds
        del self.get_peer_creds
        sock.setblocking(False)
        self._time = clock.Clock()
        self._intake = request_intake.RequestIntake(server.budget)
        # Parts of responses, each with the memory to release behind it.
        self._unsent: collections.deque[
            tuple[memoryview, memory_budget.Reservation | None]
        ] = collections.deque()
        # Closed as soon as all responses have been sent.
        self.closes_when_sent = False
        # When the client began to be idle, or to read the part that is sent.
        self._waits_since_ms = self._time.now_ms()

    @property
    def has_unsent(self) -> bool:
        """Return whether a part of a response could not be sent yet."""
        return bool(self._unsent)

    @property
    def has_ended(self) -> bool:
        """Return whether the client sends nothing more."""
        return self._intake.has_ended

    @property
    def has_received(self) -> bool:
        """Return whether a request was received, if only in part."""
        return self.is_request_ready or self.has_partial_request

    @property
    def has_partial_request(self) -> bool:
        """Return whether a request was received in part."""
        return isinstance(
            self._intake.progress,
            request_intake.PartOfHead | request_intake.PartOfBody,
        )

    @property
    def is_request_ready(self) -> bool:
        """Return whether a request can be served."""
        return self._intake.is_ready

    def begin_wait(self) -> None:
        """Record that the client is idle, unless it has to read."""
        if not self._unsent:
            self._waits_since_ms = self._time.now_ms()

    def ask_for_body(self) -> None:
        """Send the interim response that the client waits for, if any.

        No request before it may be in flight: its response comes first.
        """
        if self._unsent or not self._intake.awaits_continue:
            return
        self._intake.end_expectation()
        try:
            self.send((CONTINUE,))
        except OSError as error:
            # The loss is found when the connection is read.
            log.info('connection lost', extra={'reason': str(error)})
            self.discard_unsent()

    def receive(self) -> request_intake.Progress:
        """Receive what has arrived; return what there is of a request."""
        for _ in range(MAX_RECEIVES):
            if self._intake.is_ready or self._intake.has_ended:
                break
            try:
                data = self.socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                break
            except OSError:
                data = b''
            if not data:
                self._intake.end()
                break
            self._intake.add(
                data, self._time.now_ms(), self.server.intake_limits
            )
            if len(data) < RECEIVE_BYTES:
                break
        return self._intake.progress

    def has_request(self) -> bool:
        """Return whether a request can be served."""
        self.receive()
        return self._intake.is_ready

    def advance(self) -> Step:
        """Send and receive what is possible; return what is needed next."""
        if self._unsent:
            self.flush()
            if self._unsent:
                return Step.WAIT
            if self.closes_when_sent:
                return Step.END
        if self.has_request():
            return Step.THREAD
        return Step.CLOSE if self._intake.has_ended else Step.WAIT

    def expire(self, now_ms: int) -> Step:
        """Give up what the client has not sent or read in time."""
        idle_ms = round(self.server.timeout * 1_000)
        if self._unsent:
            is_overdue = now_ms - self._waits_since_ms > idle_ms
            return Step.CLOSE if is_overdue else Step.WAIT
        match self._intake.progress:
            case request_intake.PartOfHead(since_ms):
                limit_ms = round(self.server.header_timeout_s * 1_000)
            case request_intake.PartOfBody(since_ms):
                limit_ms = idle_ms
                if now_ms - since_ms > STALL_MS:
                    self._intake.release_unreceived()
            case _:
                is_idle = now_ms - self._waits_since_ms > idle_ms
                return Step.CLOSE if is_idle else Step.WAIT
        if now_ms - since_ms <= limit_ms:
            return Step.WAIT
        # The rest may have arrived while this process did not run.
        if not self.has_request():
            self._intake.give_up(request_intake.TimedOut())
        return Step.THREAD

    def slowness(self, now_ms: int) -> slow_clients.SlowClient:
        """Return what is held for the client, and since when it waits."""
        held_bytes = self._intake.held_bytes + sum(
            reservation.held_bytes
            for _, reservation in self._unsent
            if reservation is not None
        )
        match self._intake.progress:
            case request_intake.PartOfBody(since_ms) if not self._unsent:
                pass
            case request_intake.PartOfHead(since_ms) if not self._unsent:
                pass
            case _:
                since_ms = self._waits_since_ms
        return slow_clients.SlowClient(held_bytes, now_ms - since_ms)

    def give_up(self) -> Step:
        """Release the memory held for the client, as others need it."""
        log.info(
            'slow caller given up',
            extra={
                'held_bytes': self.slowness(self._time.now_ms()).held_bytes,
                'sends': not self._unsent,
            },
        )
        if self._unsent:
            return Step.CLOSE
        self._intake.give_up(
            request_intake.NoMemory('too much is held for slow callers')
        )
        return Step.THREAD

    def take_request(self) -> request_intake.ReceivedRequest:
        """Return the request that was received."""
        return self._intake.take(
            self._time.now_ms(), self.server.intake_limits
        )

    def parse(
        self, buffered: BufferedConnection
    ) -> cheroot_server.HTTPRequest:
        """Parse the head of a request; it is not ready if it is rejected."""
        request = self.RequestHandlerClass(self.server, buffered)
        received = buffered.rfile
        match received.cut_reason:
            case request_intake.TimedOut() if not received.has_whole_head:
                request.simple_response(REQUEST_TIMEOUT_STATUS)
            case request_intake.NoMemory() if not received.has_whole_head:
                request.simple_response(NO_MEMORY_STATUS)
            case _:
                request.parse_request()
        return request

    def send(
        self,
        parts: Iterable[bytes],
        reservation: memory_budget.Reservation | None = None,
    ) -> None:
        """Send what the client takes, and keep the rest for later."""
        self.begin_wait()
        for part in parts:
            if part:
                self._unsent.append((memoryview(part), None))
        if reservation is not None:
            # Released with the last part.
            self._unsent.append((memoryview(b''), reservation))
        self.flush()

    def flush(self) -> None:
        """Send what the client takes of the responses."""
        while self._unsent:
            part, reservation = self._unsent[0]
            try:
                sent_bytes = self.socket.send(part) if part else 0
            except BlockingIOError:
                return
            if sent_bytes < len(part):
                self._unsent[0] = (part[sent_bytes:], reservation)
                continue
            self._unsent.popleft()
            self._waits_since_ms = self._time.now_ms()
            if reservation is not None:
                reservation.reduce_to(0)

    def finish_sending(self) -> None:
        """Send the rest of the responses and wait for the client."""
        self.socket.settimeout(self.server.timeout)
        for part, _ in self._unsent:
            self.socket.sendall(part)
        self.discard_unsent()

    def discard_unsent(self) -> None:
        """Give up what could not be sent, and release its memory."""
        for _, reservation in self._unsent:
            if reservation is not None:
                reservation.reduce_to(0)
        self._unsent.clear()

    def communicate(self) -> bool:
        """Serve the requests received; return whether to stay open."""
        while not self._unsent and self.has_request():
            if not self._serve_request():
                return False
        return not self._intake.has_ended

    def _serve_request(self) -> bool:
        received = self.take_request()
        buffered = BufferedConnection(self, received)
        try:
            request = self.parse(buffered)
            if request.ready:
                request.respond()
        except request_intake.RequestCut as cut:
            if not request.sent_headers:
                request.simple_response(_cut_status(cut.reason))
        finally:
            received.reservation.reduce_to(0)
        self.send(buffered.wfile.body().parts)
        return (
            request.ready
            and received.is_whole
            and not request.close_connection
        )

    def close(self) -> None:
        """Close the connection and release its memory."""
        self._intake.release()
        self.discard_unsent()
        super().close()


def _cut_status(reason: request_intake.CutReason) -> str:
    match reason:
        case request_intake.TooLarge():
            return TOO_LARGE_STATUS
        case request_intake.NoMemory():
            return NO_MEMORY_STATUS
        case _:
            return REQUEST_TIMEOUT_STATUS
