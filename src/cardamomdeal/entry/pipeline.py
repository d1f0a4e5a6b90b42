"""Serves the requests of one connection side by side."""

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

# Requests of one connection that are in service at once.
MAX_PIPELINED = 16
HEAD_END = b'\r\n\r\n'
PEEKED_BYTES = 64 * 1024
TIMED_OUT_STATUS = '408 Request Timeout'


class _Arrived(enum.Enum):
    """Say what a caller has sent beyond the requests that were read."""

    NOTHING = 'nothing'
    PART = 'part of a head'
    # A whole head, or the end of the connection.
    HEAD = 'head'


class _Answering:
    """Stand in for a connection; collect the answer of one request."""

    def __init__(self, connection: cheroot_server.HTTPConnection) -> None:
        self._connection = connection
        self.wfile = io.BytesIO()
        self.finished = threading.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection, name)


@dataclasses.dataclass(frozen=True, slots=True)
class _Begun:
    """Hold a request in service and the answer as it is written."""

    request: cheroot_server.HTTPRequest
    answering: _Answering
    done: futures.Future[None]


class Pipeline:
    """Read requests while earlier ones are served; answer in order.

    Load it answers: a caller that sends lookups one behind the other,
    where a slow one would hold up all that follow.
    """

    def __init__(
        self,
        connection: cheroot_server.HTTPConnection,
        workers: futures.Executor,
    ) -> None:
        self._connection = connection
        self._workers = workers
        self._begun: collections.deque[_Begun] = collections.deque()
        self._reading = True
        self._woken, self._wake = os.pipe()

    def run(self) -> bool:
        """Serve until nothing is left; return if it stays open."""
        try:
            return self._run()
        finally:
            # A request in service would wake a pipe that is gone.
            futures.wait([begun.done for begun in self._begun])
            os.close(self._woken)
            os.close(self._wake)

    def _run(self) -> bool:
        while True:
            if self._may_read() and self._has_request():
                self._read()
            elif not self._begun:
                return self._reading
            else:
                self._wait()
            if not self._answer_finished():
                return False

    def _may_read(self) -> bool:
        return self._reading and len(self._begun) < MAX_PIPELINED

    def _has_request(self) -> bool:
        """Return whether to read on.

        While answers are awaited, only a head that has arrived whole is
        read: waiting for the rest of it would hold finished answers up.
        """
        if self._begun:
            return self._arrived() is _Arrived.HEAD
        if self._connection.rfile.has_data():
            return True
        return self._is_readable()

    def _arrived(self) -> '_Arrived':
        """Look at what was not read yet, without reading it."""
        buffered = b''
        if self._connection.rfile.has_data():
            buffered = self._connection.rfile.peek(1)
        if not self._is_readable():
            arrived = buffered
        else:
            try:
                waiting = self._connection.socket.recv(
                    PEEKED_BYTES, socket.MSG_PEEK
                )
            except OSError:
                # Reading shows what went wrong with the connection.
                return _Arrived.HEAD
            if not waiting:
                return _Arrived.HEAD
            arrived = buffered + waiting
        if HEAD_END in arrived:
            return _Arrived.HEAD
        return _Arrived.PART if arrived else _Arrived.NOTHING

    def _is_readable(self) -> bool:
        poller = select.poll()
        poller.register(self._connection.socket, select.POLLIN)
        return bool(poller.poll(0))

    def _read(self) -> None:
        answering = _Answering(self._connection)
        request = self._connection.RequestHandlerClass(
            self._connection.server, answering
        )
        server = self._connection.server
        self._connection.socket.settimeout(server.header_timeout_s)
        try:
            request.parse_request()
        except TimeoutError:
            if request.started_request:
                request.simple_response(TIMED_OUT_STATUS)
        except OSError:
            # The caller is gone; there is nobody to answer.
            pass
        # A body may pause for longer than a head may take.
        self._connection.socket.settimeout(server.timeout)
        if not request.ready:
            self._reading = False
            if answering.wfile.tell():
                done: futures.Future[None] = futures.Future()
                done.set_result(None)
                answering.finished.set()
                self._begun.append(_Begun(request, answering, done))
            return
        if self._connection.server.leaving.is_set():
            # This request's answer closes the connection.
            self._reading = False
        done = self._workers.submit(self._serve, request, answering)
        self._begun.append(_Begun(request, answering, done))
        if _has_body(request):
            # What follows on the connection is its body.
            futures.wait([done])

    def _serve(
        self, request: cheroot_server.HTTPRequest, answering: _Answering
    ) -> None:
        try:
            request.respond()
        finally:
            # The future is done only after the wake-up; who is woken must
            # find the answer finished already, or waits for ever.
            answering.finished.set()
            os.write(self._wake, b'\0')

    def _wait(self) -> None:
        """Wait for an answer to be ready or a request to arrive."""
        poller = select.poll()
        poller.register(self._woken, select.POLLIN)
        # Bytes that are no whole head yet are left until an answer is sent.
        if self._may_read() and self._arrived() is not _Arrived.PART:
            poller.register(self._connection.socket, select.POLLIN)
        for ready, _ in poller.poll():
            if ready == self._woken:
                os.read(self._woken, MAX_PIPELINED)

    def _answer_finished(self) -> bool:
        """Send the answers that are next; return False to close."""
        while self._begun and self._begun[0].answering.finished.is_set():
            begun = self._begun.popleft()
            # Raises what went wrong, and the connection is closed.
            begun.done.result()
            self._connection.wfile.write(begun.answering.wfile.getvalue())
            if begun.request.close_connection:
                return False
        return True


def _has_body(request: cheroot_server.HTTPRequest) -> bool:
    return request.chunked_read or b'Content-Length' in request.inheaders
