"""Connections to backend servers, each owned by one task at a time."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import http.client
import itertools
import re
import select
import socket
from typing import Protocol

import urllib3
from urllib3.connection import HTTPConnection

from cardamomdeal.backend import answers
from cardamomdeal.backend import errors
from cardamomdeal.internal import address
from cardamomdeal.internal import clock

# Probes of an idle connection: after a second, then each second, and two
# without a reply end it.
IDLE_PROBES = (
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
)
CHUNK_BYTES = 64 * 1024
MIN_SOCKET_TIMEOUT_MS = 1
KEEP_ALIVE_TIMEOUT = re.compile(r'timeout=(\d+)')


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Hold one request as it is sent to a backend server."""

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes] | None
    body_bytes: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class TimeLimit:
    """Bound an exchange: its end, and the longest silence within it."""

    ends_at_ms: int
    silence_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WholeRequest:
    """Hold a request whose body is in memory, with its final headers."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # What the server must echo for the answer to be this request's.
    id_header: str
    request_id: str


class Hangup(Protocol):
    """Tell whether the one who waits for the answer has gone."""

    def register(self, poller: select.poll) -> None:
        """Make the poller wake when the other end may have gone."""

    def has_gone(self) -> bool:
        """Return whether the other end has closed its connection."""


class _SurplusCheckingResponse(http.client.HTTPResponse):
    """Notice bytes that follow an answer, which belong to no request."""

    surplus = False

    def _close_conn(self) -> None:
        buffered = self.fp
        if buffered is not None and not self.will_close:
            self.surplus = bool(_buffered_bytes(buffered))
        super()._close_conn()  # type: ignore[misc]


def _buffered_bytes(buffered) -> bytes:
    sock = buffered.raw._sock
    timeout_s = sock.gettimeout()
    sock.settimeout(0)
    try:
        return buffered.peek(1)
    except OSError:
        return b''
    finally:
        sock.settimeout(timeout_s)


class Answer:
    """Hold the head of an answer and read its body once."""

    def __init__(
        self,
        raw: urllib3.HTTPResponse,
        limit: TimeLimit,
        connection: 'BackendConnection',
    ) -> None:
        self._raw = raw
        self._original: _SurplusCheckingResponse = raw._original_response
        self._limit = limit
        self._connection = connection
        self.body_bytes: int | None = self._original.length
        self.status = raw.status
        self.reason = raw.reason or ''
        self.headers = raw.headers
        self.signals = answers.read_signals(raw.headers)

    @property
    def states_its_end(self) -> bool:
        """Return whether a lost connection can be told from the end."""
        return self.body_bytes is not None or bool(self._original.chunked)

    def spoil(self) -> None:
        """Keep the connection from being used again."""
        self._original.will_close = True

    def body(self) -> Iterator[bytes]:
        """Yield the body; raise ExchangeBroken unless it ends whole."""
        try:
            for chunk in self._raw.stream(CHUNK_BYTES, decode_content=False):
                self._connection.limit_silence(self._limit)
                yield chunk
        except urllib3.exceptions.ReadTimeoutError as error:
            raise errors.AnswerTimedOut(str(error)) from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.AnswerBroken(str(error)) from error
        self._connection.reusable = not (
            self._original.surplus or self._original.will_close
        )


class BackendConnection:
    """Send requests to one backend server, one at a time."""

    def __init__(
        self,
        server: address.Address,
        connect_timeout_ms: int,
        time: clock.Clock,
    ) -> None:
        """Connect at once; raise ConnectFailed."""
        self._time = time
        self.reusable = False
        # How long the server keeps the connection when idle, if it told.
        self.keep_alive_ms: int | None = None
        self._http = HTTPConnection(
            server.host, server.port, timeout=connect_timeout_ms / 1000
        )
        self._http.response_class = _SurplusCheckingResponse
        try:
            self._http.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.ConnectFailed(f'{server}: {error}') from error

    def is_clean(self) -> bool:
        """Return whether the idle connection is open and has no bytes."""
        return self.reusable and self._http.is_connected

    def probe_while_idle(self) -> None:
        """Let the kernel find out when the connection has gone silent."""
        if self._http.sock is not None:
            for option, value in IDLE_PROBES:
                self._http.sock.setsockopt(socket.IPPROTO_TCP, option, value)
            self._http.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1
            )

    def stop_probing(self) -> None:
        """Leave it to the time limits to end an exchange."""
        if self._http.sock is not None:
            self._http.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0
            )

    def limit_silence(self, limit: TimeLimit) -> None:
        """Bound the next read or write; raise AnswerTimedOut when late."""
        left_ms = limit.ends_at_ms - self._time.now_ms()
        if left_ms <= 0:
            raise errors.AnswerTimedOut('the deadline has passed')
        timeout_ms = max(MIN_SOCKET_TIMEOUT_MS, min(left_ms, limit.silence_ms))
        self._http.timeout = timeout_ms / 1000
        if self._http.sock is not None:
            self._http.sock.settimeout(timeout_ms / 1000)

    def exchange(self, request: Request, limit: TimeLimit) -> Answer:
        """Send a request and read the answer's head; raise ExchangeBroken."""
        self.reusable = False
        self.limit_silence(limit)
        sent_whole = self._send(request, limit)
        answer = self._answer_head(limit)
        self._check_answer(answer, request)
        if not sent_whole:
            answer.spoil()
        return answer

    def exchange_whole(
        self, request: WholeRequest, limit: TimeLimit, hangup: Hangup | None
    ) -> Answer:
        """Send a request and read the answer's head.

        Raise RequesterLeft when the hangup is seen while waiting, and
        ExchangeBroken when no answer of this request comes.
        """
        self.reusable = False
        self.limit_silence(limit)
        try:
            self._send_head(request)
            sent_whole = self._send_body(request.body, limit, hangup)
        except TimeoutError as error:
            raise errors.AnswerTimedOut(str(error)) from error
        except (BrokenPipeError, ConnectionResetError):
            # An answer that was given before the whole request was read
            # may still be there.
            sent_whole = False
        except (http.client.HTTPException, OSError, ValueError) as error:
            raise errors.ExchangeBroken(str(error)) from error
        self._await_answer(limit, hangup)
        answer = self._answer_head(limit)
        self._check_echo(answer, request.id_header, request.request_id)
        self._check_lengths(answer)
        self._note_keep_alive(answer)
        if not sent_whole:
            answer.spoil()
        return answer

    def close(self) -> None:
        """Close the connection."""
        self.reusable = False
        self._http.close()

    def _send_head(self, request: WholeRequest) -> None:
        # The library would add headers that the caller did not send.
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
        self, body: bytes, limit: TimeLimit, hangup: Hangup | None
    ) -> bool:
        """Send a body; return False when an answer comes before its end."""
        unsent = memoryview(body)
        while unsent:
            events = self._wait_for(
                select.POLLIN | select.POLLOUT, limit, hangup
            )
            if events & select.POLLIN:
                return False
            self.limit_silence(limit)
            unsent = unsent[self._http.sock.send(unsent[:CHUNK_BYTES]) :]
        return True

    def _await_answer(self, limit: TimeLimit, hangup: Hangup | None) -> None:
        if self._http.sock is not None:
            self._wait_for(select.POLLIN, limit, hangup)

    def _wait_for(
        self, events: int, limit: TimeLimit, hangup: Hangup | None
    ) -> int:
        """Wait for the server and the requester at once."""
        poller = select.poll()
        own = self._http.sock.fileno()
        poller.register(own, events)
        if hangup is not None:
            hangup.register(poller)
        while True:
            left_ms = limit.ends_at_ms - self._time.now_ms()
            if left_ms <= 0:
                raise errors.AnswerTimedOut('the deadline has passed')
            ready = dict(poller.poll(left_ms))
            if own in ready:
                return ready[own]
            if ready and hangup is not None and hangup.has_gone():
                raise errors.RequesterLeft('the caller has gone')

    def _send(self, request: Request, limit: TimeLimit) -> bool:
        try:
            self._http.request(
                request.method,
                request.target,
                body=self._paced(request.body, limit),
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
            # A backend server may answer, for instance refuse, before it
            # has read the whole request; the answer then tells the outcome.
            return False
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ) as error:
            raise errors.ExchangeBroken(str(error)) from error
        return True

    def _paced(
        self, body: Iterable[bytes] | None, limit: TimeLimit
    ) -> Iterator[bytes] | None:
        if body is None:
            return None
        return self._chunks(body, limit)

    def _chunks(
        self, body: Iterable[bytes], limit: TimeLimit
    ) -> Iterator[bytes]:
        for chunk in body:
            self.limit_silence(limit)
            yield chunk

    def _answer_head(self, limit: TimeLimit) -> Answer:
        self.limit_silence(limit)
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
        return Answer(raw, limit, self)

    def _check_answer(self, answer: Answer, request: Request) -> None:
        self._check_echo(answer, answers.REQUEST_ID, request.request_id)
        self._check_lengths(answer)
        if not answer.states_its_end and request.method != 'HEAD':
            # The end of such an answer looks like a connection that broke.
            raise errors.AnswerBroken('the answer does not state its end')

    def _note_keep_alive(self, answer: Answer) -> None:
        told = KEEP_ALIVE_TIMEOUT.search(answer.headers.get('Keep-Alive', ''))
        self.keep_alive_ms = int(told[1]) * 1_000 if told else None

    def _check_echo(
        self, answer: Answer, id_header: str, request_id: str
    ) -> None:
        echoed = answer.headers.get(id_header)
        if echoed is not None and echoed != request_id:
            raise errors.AnswerBroken('the answer is to another request')

    def _check_lengths(self, answer: Answer) -> None:
        lengths = set(
            itertools.chain.from_iterable(
                value.split(',')
                for value in answer.headers.getlist('Content-Length')
            )
        )
        if len(lengths) > 1:
            raise errors.AnswerBroken('the answer states two lengths')


def forwarded_headers(
    headers: Mapping[str, str], request_id: str, left_ms: int
) -> list[tuple[str, str]]:
    """Return the headers to send, with identity and remaining time."""
    ours = {answers.REQUEST_ID.lower(), answers.DEADLINE.lower()}
    passed = [
        (name, value)
        for name, value in answers.end_to_end(headers)
        if name.lower() not in ours
    ]
    return [
        *passed,
        (answers.REQUEST_ID, request_id),
        (answers.DEADLINE, str(left_ms)),
    ]
