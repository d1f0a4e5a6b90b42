"""Serves the pipelined requests of a connection concurrently."""

import collections
from concurrent import futures
import dataclasses
import enum
import io
import os
import select
import socket
import threading
from typing import Any

from cheroot import server as cheroot_server

# Requests of one connection that are served concurrently.
MAX_PIPELINED = 16
HEAD_END = b'\r\n\r\n'
PEEK_SIZE_BYTES = 64 * 1024
REQUEST_TIMEOUT_STATUS = '408 Request Timeout'


class _Arrived(enum.Enum):
    """What a caller has sent after the requests that were already read."""

    NOTHING = 'nothing'
    PARTIAL_HEAD = 'part of a head'
    # A complete head, or the end of the connection.
    HEAD = 'head'


class _BufferedConnection:
    """Connection proxy that buffers the response to one request."""

    def __init__(self, connection: cheroot_server.HTTPConnection) -> None:
        self._connection = connection
        self.wfile = io.BytesIO()
        self.finished = threading.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection, name)


@dataclasses.dataclass(frozen=True, slots=True)
class _PipelinedRequest:
    """A request in service and its buffered response."""

    request: cheroot_server.HTTPRequest
    buffer: _BufferedConnection
    future: futures.Future[None]


class Pipeline:
    """Reads requests while earlier ones are served; responds in order.

    Callers pipeline their lookups. Without concurrency a slow lookup would
    delay the start of all those behind it.
    """

    def __init__(
        self,
        connection: cheroot_server.HTTPConnection,
        workers: futures.Executor,
    ) -> None:
        self._connection = connection
        self._workers = workers
        self._in_service: collections.deque[_PipelinedRequest] = (
            collections.deque()
        )
        self._accepts_requests = True
        self._wake_read_fd, self._wake_write_fd = os.pipe()

    def run(self) -> bool:
        """Serve what has arrived; return whether the connection stays open."""
        try:
            return self._run()
        finally:
            # Requests in service write to the pipe when they end, so it must
            # stay open until then.
            futures.wait([pipelined.future for pipelined in self._in_service])
            os.close(self._wake_read_fd)
            os.close(self._wake_write_fd)

    def _run(self) -> bool:
        while True:
            if self._may_read_request() and self._has_request():
                self._read_request()
            elif not self._in_service:
                return self._accepts_requests
            else:
                self._wait()
            if not self._send_finished():
                return False

    def _may_read_request(self) -> bool:
        return self._accepts_requests and len(self._in_service) < MAX_PIPELINED

    def _has_request(self) -> bool:
        """Return whether to read the next request.

        While requests are in service, a head is read only once it is
        complete: waiting for the rest of it would delay finished responses.
        """
        if self._in_service:
            return self._peek() is _Arrived.HEAD
        if self._connection.rfile.has_data():
            return True
        return self._is_readable()

    def _peek(self) -> '_Arrived':
        """Return what kind of data has arrived, without consuming it."""
        unread = b''
        if self._connection.rfile.has_data():
            unread = self._connection.rfile.peek(1)
        if not self._is_readable():
            data = unread
        else:
            try:
                received = self._connection.socket.recv(
                    PEEK_SIZE_BYTES, socket.MSG_PEEK
                )
            except OSError:
                # Reading will raise the error of the connection.
                return _Arrived.HEAD
            if not received:
                return _Arrived.HEAD
            data = unread + received
        if HEAD_END in data:
            return _Arrived.HEAD
        return _Arrived.PARTIAL_HEAD if data else _Arrived.NOTHING

    def _is_readable(self) -> bool:
        poller = select.poll()
        poller.register(self._connection.socket, select.POLLIN)
        return bool(poller.poll(0))

    def _read_request(self) -> None:
        buffer = _BufferedConnection(self._connection)
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
        # Pauses within a body may be longer than the time limit of a head.
        self._connection.socket.settimeout(server.timeout)
        if not request.ready:
            self._accepts_requests = False
            if buffer.wfile.tell():
                future: futures.Future[None] = futures.Future()
                future.set_result(None)
                buffer.finished.set()
                self._in_service.append(
                    _PipelinedRequest(request, buffer, future)
                )
            return
        if self._connection.server.draining.is_set():
            # The response to this request closes the connection.
            self._accepts_requests = False
        future = self._workers.submit(self._serve, request, buffer)
        self._in_service.append(_PipelinedRequest(request, buffer, future))
        if _has_body(request):
            # The next bytes on the connection are the body of this request.
            futures.wait([future])

    def _serve(
        self, request: cheroot_server.HTTPRequest, buffer: _BufferedConnection
    ) -> None:
        try:
            request.respond()
        finally:
            # The future completes only after the wake-up, so the event is
            # set before it: a reader that woke without seeing a finished
            # response would wait forever.
            buffer.finished.set()
            os.write(self._wake_write_fd, b'\0')

    def _wait(self) -> None:
        """Wait until a response is finished or a request arrives."""
        poller = select.poll()
        poller.register(self._wake_read_fd, select.POLLIN)
        # An incomplete head is left unread until a response is sent.
        if (
            self._may_read_request()
            and self._peek() is not _Arrived.PARTIAL_HEAD
        ):
            poller.register(self._connection.socket, select.POLLIN)
        for ready, _ in poller.poll():
            if ready == self._wake_read_fd:
                os.read(self._wake_read_fd, MAX_PIPELINED)

    def _send_finished(self) -> bool:
        """Send finished responses in order; return False to close."""
        while (
            self._in_service and self._in_service[0].buffer.finished.is_set()
        ):
            pipelined = self._in_service.popleft()
            # Raises the error of the request; the connection is then closed.
            pipelined.future.result()
            self._connection.wfile.write(pipelined.buffer.wfile.getvalue())
            if pipelined.request.close_connection:
                return False
        return True


def _has_body(request: cheroot_server.HTTPRequest) -> bool:
    return request.chunked_read or b'Content-Length' in request.inheaders
