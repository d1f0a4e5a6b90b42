"""Concurrent serving of the pipelined requests of a connection."""

import collections
from concurrent import futures
import dataclasses
import enum
import os
import select
import socket
import threading
from typing import Any

from cheroot import server as cheroot_server

from cardamomdeal.entry import caller
from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import http_server
from cardamomdeal.internal import memory_budget

# Maximum number of requests of one connection that are in flight.
MAX_PIPELINED = 16
HEAD_END = b'\r\n\r\n'
PEEK_BYTES = 64 * 1024
REQUEST_TIMEOUT_STATUS = '408 Request Timeout'


class _UnreadData(enum.Enum):
    """What a caller has sent of its next request."""

    NOTHING = 'nothing'
    PARTIAL_HEAD = 'part of a head'
    # A complete head, or the end or an error of the connection.
    HEAD = 'head'


class _BufferedConnection:
    """Wrapper of a connection that buffers the response to one request."""

    def __init__(
        self,
        connection: http_server.Connection,
        budget: memory_budget.MemoryBudget,
    ) -> None:
        self._connection = connection
        self.wfile = body_buffer.BodyBuffer()
        self.finished = threading.Event()
        self.memory = caller.BodyMemory(budget)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection, name)


@dataclasses.dataclass(frozen=True, slots=True)
class _PipelinedRequest:
    """Request in flight and its buffered response."""

    request: cheroot_server.HTTPRequest
    buffer: _BufferedConnection
    future: futures.Future[None]


class Pipeline:
    """Serves pipelined requests concurrently and responds in order.

    Callers pipeline their lookups. Without concurrency, a slow lookup would
    block those behind it (head-of-line blocking).
    """

    def __init__(
        self,
        connection: http_server.Connection,
        workers: futures.Executor,
        budget: memory_budget.MemoryBudget,
    ) -> None:
        self._connection = connection
        self._workers = workers
        self._budget = budget
        self._in_flight: collections.deque[_PipelinedRequest] = (
            collections.deque()
        )
        self._accepts_requests = True
        self._wake_read_fd, self._wake_write_fd = os.pipe()

    def run(self) -> bool:
        """Serve the requests received; return whether to stay open."""
        try:
            return self._run()
        finally:
            # Requests in flight write to the pipe when they end, so it must
            # stay open until then.
            futures.wait([pipelined.future for pipelined in self._in_flight])
            for pipelined in self._in_flight:
                pipelined.buffer.memory.release()
            os.close(self._wake_read_fd)
            os.close(self._wake_write_fd)

    def _run(self) -> bool:
        while True:
            if self._may_read_request() and self._has_request():
                self._read_request()
            elif not self._in_flight:
                return self._accepts_requests
            else:
                self._wait_for_event()
            if not self._send_finished_responses():
                return False

    def _may_read_request(self) -> bool:
        return self._accepts_requests and len(self._in_flight) < MAX_PIPELINED

    def _has_request(self) -> bool:
        """Return whether to read the next request.

        While requests are in flight, a head is read only once it is complete:
        waiting for the rest of it would delay finished responses.
        """
        if not self._connection.has_request():
            return False
        return not self._in_flight or self._peek_unread() is _UnreadData.HEAD

    def _peek_unread(self) -> '_UnreadData':
        """Return what has been received, without reading it."""
        unread = b''
        if self._connection.rfile.has_data():
            unread = self._connection.rfile.peek(1)
        if not self._connection.is_readable():
            data = unread
        else:
            try:
                received = self._connection.socket.recv(
                    PEEK_BYTES, socket.MSG_PEEK
                )
            except OSError:
                # Reading the request will raise the same error.
                return _UnreadData.HEAD
            if not received:
                return _UnreadData.HEAD
            data = unread + received
        if HEAD_END in data:
            return _UnreadData.HEAD
        return _UnreadData.PARTIAL_HEAD if data else _UnreadData.NOTHING

    def _read_request(self) -> None:
        buffer = _BufferedConnection(self._connection, self._budget)
        request = self._connection.RequestHandlerClass(
            self._connection.server, buffer
        )
        server = self._connection.server
        self._connection.socket.settimeout(server.header_timeout_s)
        try:
            request.parse_request()
        except TimeoutError:
            if request.started_request:
                request.simple_response(REQUEST_TIMEOUT_STATUS)
        except OSError:
            # The caller has disconnected, so no response can be sent.
            pass
        # A body may arrive with longer pauses than the head timeout allows.
        self._connection.socket.settimeout(server.timeout)
        if not request.ready:
            self._accepts_requests = False
            if not buffer.wfile.is_empty:
                future: futures.Future[None] = futures.Future()
                future.set_result(None)
                buffer.finished.set()
                self._in_flight.append(
                    _PipelinedRequest(request, buffer, future)
                )
            return
        # Decided only here: callers send the requests behind a response that
        # closes the connection once more, so it must be the last one.
        if server.must_close_connections():
            request.close_connection = True
        if request.close_connection:
            self._accepts_requests = False
        future = self._workers.submit(self._serve, request, buffer)
        self._in_flight.append(_PipelinedRequest(request, buffer, future))
        if _has_body(request):
            # The next bytes on the connection are the body of this request.
            futures.wait([future])
            # A body that was refused or broke off is left unread, and the rest
            # of it would be taken for the next request.
            if request.close_connection or future.exception() is not None:
                self._accepts_requests = False

    def _serve(
        self, request: cheroot_server.HTTPRequest, buffer: _BufferedConnection
    ) -> None:
        try:
            request.respond()
        finally:
            # The future completes only after this wake-up. The event is set
            # before it, as the connection's thread would otherwise see no
            # finished response after the wake-up and wait forever.
            buffer.finished.set()
            os.write(self._wake_write_fd, b'\0')

    def _wait_for_event(self) -> None:
        """Wait until a response is finished or a request can be read."""
        poller = select.poll()
        poller.register(self._wake_read_fd, select.POLLIN)
        # An incomplete head stays unread until a response has been sent.
        if (
            self._may_read_request()
            and self._peek_unread() is not _UnreadData.PARTIAL_HEAD
        ):
            poller.register(self._connection.socket, select.POLLIN)
        for readable_fd, _ in poller.poll():
            if readable_fd == self._wake_read_fd:
                os.read(self._wake_read_fd, MAX_PIPELINED)

    def _send_finished_responses(self) -> bool:
        """Send finished responses in order; return whether to stay open."""
        while self._in_flight and self._in_flight[0].buffer.finished.is_set():
            pipelined = self._in_flight[0]
            # Raises the exception of a failed request, which closes the
            # connection.
            pipelined.future.result()
            for part in pipelined.buffer.wfile.body().parts:
                self._connection.socket.sendall(part)
            pipelined.buffer.memory.release()
            self._in_flight.popleft()
            if pipelined.request.close_connection:
                return False
        return True


def _has_body(request: cheroot_server.HTTPRequest) -> bool:
    return request.chunked_read or b'Content-Length' in request.inheaders
