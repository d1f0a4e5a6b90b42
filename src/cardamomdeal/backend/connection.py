"""HTTP connections to backend servers, each used by one task at a time."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import fcntl
import functools
import http.client
import io
import re
import select
import socket
import sys
import termios
from typing import Any
from typing import Protocol

import urllib3
from urllib3.connection import HTTPConnection

from cardamomdeal.backend import chunk_lines
from cardamomdeal.backend import errors
from cardamomdeal.backend import header_fields
from cardamomdeal.backend import response_head
from cardamomdeal.internal import address
from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import clock
from cardamomdeal.internal import memory_budget

# TCP keepalive of idle connections: the first probe after 1 s, then one each
# second; the connection is closed after 2 probes without a reply.
KEEPALIVE_PROBE_OPTIONS = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
)
CHUNK_BYTES = 64 * 1024
MIN_SOCKET_TIMEOUT_MS = 1
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r'timeout=([0-9]{1,6})\b')
# A server that has closed its connection resets it when more of the request
# arrives, one round trip between data centres later at most.
RESET_WAIT_MS = 100
# Limit of a response's head, with the interim responses before it.
MAX_HEAD_BYTES = 128 * 1024
# Bytes received for one chunk of a body: the sizes and extensions of chunks
# and the trailers also count.
MAX_BYTES_PER_CHUNK = CHUNK_BYTES + 128 * 1024
# A host with little memory buffers the responses of several faulty servers.
MAX_BUFFERED_BODY_BYTES = 16 * 1024**2


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Request to a backend server, with a streamed body."""

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes] | None
    body_bytes: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class TimeLimit:
    """Deadline of an exchange and the limit of each read or write in it."""

    deadline_at_ms: int
    idle_timeout_ms: int

    def timeout_s(self, now_ms: int) -> float:
        """Return the limit of a read now; raise AnswerTimedOut if too late."""
        remaining_ms = self.deadline_at_ms - now_ms
        if remaining_ms <= 0:
            raise errors.AnswerTimedOut('the deadline has passed')
        timeout_ms = min(remaining_ms, self.idle_timeout_ms)
        return max(MIN_SOCKET_TIMEOUT_MS, timeout_ms) / 1000


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedRequest:
    """Request with its body in memory and its headers complete."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: body_buffer.Body
    # Header with the request id in the response. If it is present
    # with another value, the response belongs to another request.
    id_header: str
    request_id: str


class DisconnectWatcher(Protocol):
    """Detects that the caller disconnects while it waits for a response."""

    def register(self, poller: select.poll) -> None:
        """Register the caller's connection for disconnect events."""

    def caller_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""


class _LimitedReader(io.RawIOBase):
    """Stream of a response that limits its total time and its size.

    A socket's timeout limits a single read, so a server that sends a byte now
    and then, or interim responses or trailers forever, would never exceed it.
    """

    def __init__(
        self, stream: socket.SocketIO, limit: TimeLimit, time: clock.Clock
    ) -> None:
        super().__init__()
        self._stream = stream
        self._socket: socket.socket = stream._sock
        self._limit = limit
        self._time = time
        self._max_bytes = MAX_HEAD_BYTES
        self._received_bytes = 0
        self._is_blocking = True
        # Bytes of the request that were not sent before the response came.
        self._unsent = memoryview(b'')

    def set_max_bytes(self, max_bytes: int) -> None:
        """Limit the number of bytes received from now on."""
        self._max_bytes = max_bytes
        self._received_bytes = 0

    def expect_reset(self, unsent: memoryview) -> None:
        """Expect a reset when more of the request is sent behind the end."""
        self._unsent = unsent

    def disable_blocking(self) -> None:
        """Return only bytes that have already arrived from now on."""
        self._is_blocking = False

    def readable(self) -> bool:
        """Return whether the stream can be read."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Receive bytes; raise AnswerTimedOut or AnswerBroken."""
        if not self._is_blocking:
            self._socket.settimeout(0)
            return self._stream.readinto(buffer)
        self._socket.settimeout(self._limit.timeout_s(self._time.now_ms()))
        count = self._stream.readinto(buffer) or 0
        if not count and self._was_reset():
            raise errors.AnswerBroken('the connection was reset')
        self._received_bytes += count
        if self._received_bytes > self._max_bytes:
            raise errors.AnswerBroken(
                f'more than {self._max_bytes} bytes without an end'
            )
        return count

    def _was_reset(self) -> bool:
        """Return whether the connection is closed in both directions.

        The kernel reports a reset only once, and not at all behind an end.
        """
        poller = select.poll()
        # Errors and the end of both directions are always reported.
        poller.register(self._socket, 0)
        self._socket.settimeout(0)
        with contextlib.suppress(OSError):
            self._socket.send(self._unsent[:1])
        wait_ms = RESET_WAIT_MS if self._unacknowledged_bytes() else 0
        return bool(poller.poll(wait_ms))

    def _unacknowledged_bytes(self) -> int:
        try:
            data = fcntl.ioctl(self._socket, termios.TIOCOUTQ, bytes(4))
        except OSError:
            # Some implementations of sockets do not count them.
            return 0
        return int.from_bytes(data, sys.byteorder)

    def close(self) -> None:
        """Close the stream."""
        self._stream.close()
        super().close()


class _StrictReader(io.BufferedReader):
    """Buffered stream of a response whose lines are checked.

    The standard library takes the end of the stream for the end of a head or
    of the trailers, so a response that breaks off there would look complete.
    """

    def __init__(self, stream: io.RawIOBase) -> None:
        super().__init__(stream)
        self._head_lines: list[bytes] = []
        # None until the head has been read.
        self._chunk_lines: chunk_lines.ChunkLines | None = None
        self._last_bytes = b''

    def end_head(self) -> list[bytes]:
        """Return the lines of the head; those that follow are of chunks."""
        self._chunk_lines = chunk_lines.ChunkLines()
        lines, self._head_lines = self._head_lines, []
        return lines

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read one line; raise IncompleteRead or AnswerBroken."""
        line = super().readline(size)
        is_cut_by_size = size is not None and 0 <= size <= len(line)
        if not line.endswith(b'\n') and not is_cut_by_size:
            raise http.client.IncompleteRead(line)
        if self._chunk_lines is None:
            self._head_lines.append(line)
        else:
            self._chunk_lines.check(line, self._last_bytes)
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Read some bytes of the body."""
        data = super().read(size)
        self._last_bytes = data[-len(response_head.LINE_END) :]
        return data


class _LimitedResponse(http.client.HTTPResponse):
    """Response that limits its time and size and keeps trailing bytes."""

    # Start of the bytes that follow the response.
    trailing_bytes = b''

    def __init__(
        self,
        limit: TimeLimit,
        time: clock.Clock,
        sock: socket.socket,
        *arguments: Any,
        **keywords: Any,
    ) -> None:
        super().__init__(sock, *arguments, **keywords)
        self.reader = _LimitedReader(self.fp.detach(), limit, time)
        self.fp = _StrictReader(self.reader)

    def begin(self) -> None:
        """Read the head; raise AnswerBroken if it is malformed."""
        super().begin()
        lines = self.fp.end_head()
        response_head.check_lines(lines)
        response_head.check_status(self.status)
        response_head.check_reason(self.status, self.reason)
        self.framing = response_head.parse_framing(
            self.headers.get_all('Content-Length', ()),
            self.headers.get_all('Transfer-Encoding', ()),
        )
        response_head.check_body_is_allowed(self.status, self.framing)
        match self.framing:
            case response_head.UntilClose():
                response_head.check_values_without_framing(
                    self.headers.values()
                )
                response_head.check_lines_without_framing(
                    response_head.final_head(lines)
                )

    @property
    def is_to_head(self) -> bool:
        """Return whether the response is to a HEAD request."""
        return self._method == 'HEAD'

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the head."""
        return response_head.has_body(self._method, self.status)

    def _close_conn(self) -> None:
        if self.fp is not None:
            self.trailing_bytes = self._unread_bytes()
        super()._close_conn()  # type: ignore[misc]

    def _unread_bytes(self) -> bytes:
        self.reader.disable_blocking()
        try:
            return self.fp.peek(1)
        except OSError:
            return b''


class Response:
    """Response with its head received; the body can be read once."""

    def __init__(
        self,
        raw: urllib3.HTTPResponse,
        connection: 'BackendConnection',
    ) -> None:
        self._raw = raw
        self._http_response: _LimitedResponse = raw._original_response
        self._connection = connection
        self.body_bytes: int | None = self._http_response.length
        self.status = raw.status
        self.reason = raw.reason or ''
        self.headers = raw.headers
        match self._http_response.framing:
            case response_head.FixedLength(length_bytes):
                # Equal lengths on several lines are forwarded as one.
                self.headers['Content-Length'] = str(length_bytes)
        self.reported_state = header_fields.decode_reported_state(raw.headers)

    @property
    def has_delimited_body(self) -> bool:
        """Return whether a truncated body can be detected."""
        return self.body_bytes is not None or isinstance(
            self._http_response.framing, response_head.Chunked
        )

    def prevent_reuse(self) -> None:
        """Prevent the connection from being reused after this response."""
        self._http_response.will_close = True

    def expect_reset(self, unsent: memoryview) -> None:
        """Detect a server that has closed without reading the request."""
        self._http_response.reader.expect_reset(unsent)

    def body(self) -> Iterator[bytes]:
        """Yield the body; raise ExchangeBroken if it is incomplete."""
        try:
            if self._http_response.has_body:
                yield from self._received_body()
            else:
                self._http_response.close()
            self._check_end()
        except urllib3.exceptions.ReadTimeoutError as error:
            raise errors.AnswerTimedOut(str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.AnswerBroken(str(error)) from error
        self._connection.reusable = not (
            self._http_response.trailing_bytes
            or self._http_response.will_close
        )

    def _check_end(self) -> None:
        if not self._http_response.is_to_head:
            response_head.check_trailing_bytes(
                self._http_response.trailing_bytes
            )

    def _received_body(self) -> Iterator[bytes]:
        reader = self._http_response.reader
        reader.set_max_bytes(MAX_BYTES_PER_CHUNK)
        chunks = self._raw.stream(CHUNK_BYTES, decode_content=False)
        match self._http_response.framing:
            case response_head.UntilClose():
                chunks = _with_checked_start(chunks)
        for chunk in chunks:
            yield chunk
            reader.set_max_bytes(MAX_BYTES_PER_CHUNK)

    def buffered_body(
        self, reservation: memory_budget.Reservation
    ) -> body_buffer.Body:
        """Return the body; raise ExchangeBroken if incomplete or too long."""
        _check_body_size(self.body_bytes or 0)
        return body_buffer.collect(self._limited_chunks(reservation))

    def _limited_chunks(
        self, reservation: memory_budget.Reservation
    ) -> Iterator[bytes]:
        size_bytes = 0
        for chunk in self.body():
            size_bytes += len(chunk)
            _check_body_size(size_bytes)
            if not reservation.try_add(len(chunk)):
                raise errors.AnswerBroken(
                    f'no memory for the body: {reservation}'
                )
            yield chunk


def _with_checked_start(chunks: Iterator[bytes]) -> Iterator[bytes]:
    start = next(chunks, b'')
    response_head.check_start_of_body(start)
    yield start
    yield from chunks


def _check_body_size(size_bytes: int) -> None:
    if size_bytes > MAX_BUFFERED_BODY_BYTES:
        raise errors.AnswerBroken(
            f'the body is longer than {MAX_BUFFERED_BODY_BYTES} bytes'
        )


class BackendConnection:
    """Connection to a backend server, for one request at a time."""

    def __init__(
        self,
        server: address.Address,
        connect_timeout_ms: int,
        time: clock.Clock,
    ) -> None:
        """Open the connection; raise ConnectFailed."""
        self._time = time
        self.reusable = False
        # Whether a response was received on this connection.
        self._was_used = False
        # Idle timeout from the server's Keep-Alive header, if it sent one.
        self.keep_alive_ms: int | None = None
        self._http = HTTPConnection(
            server.host, server.port, timeout=connect_timeout_ms / 1000
        )
        try:
            self._http.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.ConnectFailed(f'{server}: {error}') from error

    def is_usable(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        return self.reusable and self._http.is_connected

    def enable_keepalive_probes(self) -> None:
        """Let the kernel detect a dead connection by TCP keepalive probes."""
        if self._http.sock is not None:
            for option, value in KEEPALIVE_PROBE_OPTIONS:
                self._http.sock.setsockopt(socket.IPPROTO_TCP, option, value)
            self._http.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1
            )

    def disable_keepalive_probes(self) -> None:
        """Disable TCP keepalive; an exchange has its own time limits."""
        if self._http.sock is not None:
            self._http.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0
            )

    def apply_time_limit(self, limit: TimeLimit) -> None:
        """Limit the next read or write; raise AnswerTimedOut if too late."""
        timeout_s = limit.timeout_s(self._time.now_ms())
        self._http.timeout = timeout_s
        if self._http.sock is not None:
            self._http.sock.settimeout(timeout_s)

    def exchange(self, request: Request, limit: TimeLimit) -> Response:
        """Send a request and read the response head; raise ExchangeBroken."""
        self.reusable = False
        self.apply_time_limit(limit)
        sent_completely = self._send(request, limit)
        response = self._read_response_head(limit)
        self._check_response(response, request)
        if not sent_completely:
            response.prevent_reuse()
        return response

    def exchange_buffered(
        self,
        request: BufferedRequest,
        limit: TimeLimit,
        watcher: DisconnectWatcher | None,
    ) -> Response:
        """Send a request from memory and read the response head.

        Raise CallerDisconnected if the caller disconnects meanwhile, and
        ExchangeBroken if there is no valid response to this request.
        """
        self.reusable = False
        self.apply_time_limit(limit)
        was_reset = False
        unsent = memoryview(b'')
        try:
            self._send_head(request)
            unsent = self._send_body(request.body, limit, watcher)
        except TimeoutError as error:
            raise errors.AnswerTimedOut(str(error)) from error
        except (BrokenPipeError, ConnectionResetError):
            # The server may have responded before it had read the whole
            # request; that response can still be read.
            was_reset = True
        except (http.client.HTTPException, OSError, ValueError) as error:
            raise errors.ExchangeBroken(str(error)) from error
        self._wait_for_response(limit, watcher)
        response = self._read_response_head(limit)
        self._check_request_id(response, request.id_header, request.request_id)
        if request.id_header not in response.headers and self._was_used:
            # It may be a copy of the response to an earlier request.
            raise errors.AnswerBroken('the answer does not say to what')
        self._was_used = True
        if was_reset:
            # The write has reported the reset, so that reading will end as if
            # the server had closed the connection.
            self._check_end_is_stated(response)
        self._record_keep_alive(response)
        if unsent or was_reset:
            response.prevent_reuse()
        response.expect_reset(unsent)
        return response

    def close(self) -> None:
        """Close the connection."""
        self.reusable = False
        self._http.close()

    def _send_head(self, request: BufferedRequest) -> None:
        # Prevents urllib3 from adding headers that the caller did not send.
        headers = {
            'User-Agent': urllib3.util.SKIP_HEADER,
            'Accept-Encoding': urllib3.util.SKIP_HEADER,
            **dict(request.headers),
        }
        self._http.request(
            request.method,
            request.target,
            headers=headers,
            preload_content=False,
            decode_content=False,
            enforce_content_length=True,
        )

    def _send_body(
        self,
        body: body_buffer.Body,
        limit: TimeLimit,
        watcher: DisconnectWatcher | None,
    ) -> memoryview:
        """Send a body; return what is left if the server responds before."""
        for part in body.parts:
            if unsent := self._send_part(part, limit, watcher):
                return unsent
        return memoryview(b'')

    def _send_part(
        self, part: bytes, limit: TimeLimit, watcher: DisconnectWatcher | None
    ) -> memoryview:
        unsent = memoryview(part)
        while unsent:
            events = self._wait_for_events(
                select.POLLIN | select.POLLOUT, limit, watcher
            )
            if events & select.POLLIN:
                break
            self.apply_time_limit(limit)
            unsent = unsent[self._http.sock.send(unsent[:CHUNK_BYTES]) :]
        return unsent

    def _wait_for_response(
        self, limit: TimeLimit, watcher: DisconnectWatcher | None
    ) -> None:
        if self._http.sock is not None:
            self._wait_for_events(select.POLLIN, limit, watcher)

    def _wait_for_events(
        self, events: int, limit: TimeLimit, watcher: DisconnectWatcher | None
    ) -> int:
        """Return events of the connection; raise if the caller disconnects."""
        poller = select.poll()
        server_fd = self._http.sock.fileno()
        poller.register(server_fd, events)
        if watcher is not None:
            watcher.register(poller)
        while True:
            remaining_ms = limit.deadline_at_ms - self._time.now_ms()
            if remaining_ms <= 0:
                raise errors.AnswerTimedOut('the deadline has passed')
            ready = dict(poller.poll(remaining_ms))
            if server_fd in ready:
                return ready[server_fd]
            if ready and watcher is not None and watcher.caller_disconnected():
                raise errors.CallerDisconnected(
                    'the caller disconnected before the response'
                )

    def _send(self, request: Request, limit: TimeLimit) -> bool:
        try:
            self._http.request(
                request.method,
                request.target,
                body=self._time_limited_body(request.body, limit),
                headers=dict(request.headers),
                chunked=request.body is not None
                and request.body_bytes is None,
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
        except TimeoutError as error:
            raise errors.AnswerTimedOut(str(error)) from error
        except (BrokenPipeError, ConnectionResetError):
            # The server may have responded before it had read the whole
            # request, for example with a refusal; that response can still
            # be read.
            return False
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as error:
            raise errors.ExchangeBroken(str(error)) from error
        return True

    def _time_limited_body(
        self, body: Iterable[bytes] | None, limit: TimeLimit
    ) -> Iterator[bytes] | None:
        if body is None:
            return None
        return self._time_limited_chunks(body, limit)

    def _time_limited_chunks(
        self, body: Iterable[bytes], limit: TimeLimit
    ) -> Iterator[bytes]:
        for chunk in body:
            self.apply_time_limit(limit)
            yield chunk

    def _read_response_head(self, limit: TimeLimit) -> Response:
        self.apply_time_limit(limit)
        self._http.response_class = functools.partial(
            _LimitedResponse, limit, self._time
        )
        try:
            raw = self._http.getresponse()
        except TimeoutError as error:
            raise errors.AnswerTimedOut(str(error)) from error
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as error:
            raise errors.ExchangeBroken(str(error)) from error
        return Response(raw, self)

    def _check_response(self, response: Response, request: Request) -> None:
        self._check_request_id(
            response, header_fields.REQUEST_ID, request.request_id
        )
        if request.method != 'HEAD':
            # The close of the connection would be the only end of the body,
            # so a truncated body would look complete.
            self._check_end_is_stated(response)

    def _check_end_is_stated(self, response: Response) -> None:
        if not response.has_delimited_body:
            raise errors.AnswerBroken('the answer does not state its end')

    def _record_keep_alive(self, response: Response) -> None:
        timeout = KEEP_ALIVE_TIMEOUT_PATTERN.search(
            response.headers.get('Keep-Alive', '')
        )
        self.keep_alive_ms = int(timeout[1]) * 1_000 if timeout else None

    def _check_request_id(
        self, response: Response, id_header: str, request_id: str
    ) -> None:
        response_id = response.headers.get(id_header)
        if response_id is not None and response_id != request_id:
            raise errors.AnswerBroken('the answer is to another request')


def forwarded_headers(
    headers: Mapping[str, str], request_id: str, remaining_ms: int
) -> list[tuple[str, str]]:
    """Return the headers to forward, with request id and remaining time."""
    set_by_proxy = {
        header_fields.REQUEST_ID.lower(),
        header_fields.DEADLINE.lower(),
    }
    forwarded = [
        (name, value)
        for name, value in header_fields.end_to_end_headers(headers)
        if name.lower() not in set_by_proxy
    ]
    return [
        *forwarded,
        (header_fields.REQUEST_ID, request_id),
        (header_fields.DEADLINE, str(remaining_ms)),
    ]
