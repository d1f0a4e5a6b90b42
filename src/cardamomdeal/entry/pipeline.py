"""Concurrent serving of the pipelined requests of a connection."""

import collections
from concurrent import futures
import dataclasses
import http
import logging
import os
import queue
import select
import threading

from cheroot import server as cheroot_server

from cardamomdeal.entry import caller
from cardamomdeal.internal import memory_budget
from cardamomdeal.internal import polled_connection
from cardamomdeal.internal import request_intake
from cardamomdeal.platform import wire

# Maximum number of requests of one connection that are in flight.
MAX_PIPELINED = 16
NO_THREAD_RETRY_AFTER_MS = 500

log = logging.getLogger(__name__)


class _BufferedConnection(polled_connection.BufferedConnection):
    """Connection with one of its requests, served beside others."""

    def __init__(
        self,
        connection: polled_connection.PolledConnection,
        received: request_intake.ReceivedRequest,
        budget: memory_budget.MemoryBudget,
    ) -> None:
        super().__init__(connection, received)
        self.finished = threading.Event()
        self.memory = caller.BodyMemory(budget)
        self.memory.request = received.reservation


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
        connection: polled_connection.PolledConnection,
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
        # Request with a body that is being served. Its response closes the
        # connection if the body is refused, and nothing may be read behind it
        # then.
        self._barrier: _PipelinedRequest | None = None
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
            self._pass_barrier()
            if self._may_read_request() and self._connection.has_request():
                self._read_request()
            elif not self._in_flight:
                return (
                    self._accepts_requests and not self._connection.has_ended
                )
            else:
                self._wait_for_event()
            if not self._send_finished_responses():
                return False

    def _may_read_request(self) -> bool:
        # Responses that a caller does not read bound what it may send.
        return (
            self._accepts_requests
            and self._barrier is None
            and not self._connection.has_unsent
            and len(self._in_flight) < MAX_PIPELINED
        )

    def _read_request(self) -> None:
        received = self._connection.take_request()
        buffer = _BufferedConnection(self._connection, received, self._budget)
        try:
            self._start(buffer)
        except Exception:
            buffer.memory.release()
            raise

    def _start(self, buffer: _BufferedConnection) -> None:
        """Serve a request, or reject it if its head is malformed."""
        request = self._connection.parse(buffer)
        if not request.ready:
            self._reject(request, buffer)
            return
        # Decided only here: callers send the requests behind a response that
        # closes the connection once more, so it must be the last one.
        if self._connection.server.must_close_connections():
            request.close_connection = True
        if request.close_connection or not buffer.rfile.is_whole:
            self._accepts_requests = False
        try:
            future = self._workers.submit(self._serve, request, buffer)
        except (queue.Full, RuntimeError) as error:
            _refuse(request, repr(error))
            self._reject(request, buffer)
            return
        pipelined = _PipelinedRequest(request, buffer, future)
        self._in_flight.append(pipelined)
        if _has_body(request):
            self._barrier = pipelined

    def _pass_barrier(self) -> None:
        """Read on behind a body once it has not closed the connection."""
        if self._barrier is None or not self._barrier.buffer.finished.is_set():
            return
        if self._barrier.request.close_connection:
            self._accepts_requests = False
        self._barrier = None

    def _reject(
        self, request: cheroot_server.HTTPRequest, buffer: _BufferedConnection
    ) -> None:
        """Send the response that was written as the last one."""
        self._accepts_requests = False
        future: futures.Future[None] = futures.Future()
        future.set_result(None)
        buffer.finished.set()
        self._in_flight.append(_PipelinedRequest(request, buffer, future))

    def _serve(
        self, request: cheroot_server.HTTPRequest, buffer: _BufferedConnection
    ) -> None:
        try:
            request.respond()
        except BaseException:
            request.close_connection = True
            raise
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
        events = 0
        if self._connection.has_unsent:
            events = select.POLLOUT
        elif self._may_read_request() and not self._connection.has_ended:
            events = select.POLLIN
        if events:
            poller.register(self._connection.socket, events)
        for readable_fd, _ in poller.poll():
            if readable_fd == self._wake_read_fd:
                os.read(self._wake_read_fd, MAX_PIPELINED)

    def _send_finished_responses(self) -> bool:
        """Send finished responses in order; return whether to stay open."""
        self._connection.flush()
        while self._in_flight and self._in_flight[0].buffer.finished.is_set():
            pipelined = self._in_flight[0]
            # Raises the exception of a failed request, which closes the
            # connection.
            pipelined.future.result()
            memory = pipelined.buffer.memory
            memory.request.reduce_to(0)
            # The connection holds the response until the caller has read it.
            self._in_flight.popleft()
            self._connection.send(
                pipelined.buffer.wfile.body().parts, memory.response
            )
            if pipelined.request.close_connection:
                return False
        return True


def _refuse(request: cheroot_server.HTTPRequest, reason: str) -> None:
    """Write that a request was not run for lack of a thread."""
    name = wire.REQUEST_ID.title().encode()
    request_id = request.inheaders.get(name, b'').decode('latin-1')
    log.warning(
        'request refused',
        extra={
            'request_id': request_id,
            'reason': f'no thread is free: {reason}',
        },
    )
    response = caller.error_response(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'no thread is free; the request was not run',
        request_id,
        NO_THREAD_RETRY_AFTER_MS,
    )
    request.close_connection = True
    request.status = response.status_line.encode()
    request.outheaders = [
        (name.encode(), value.encode('latin-1'))
        for name, value in response.headers
    ]
    request.ensure_headers_sent()
    for part in response.body.parts:
        request.write(part)


def _has_body(request: cheroot_server.HTTPRequest) -> bool:
    length = int(request.inheaders.get(b'Content-Length', 0))
    return request.chunked_read or length != 0
