"""Connections to backend servers, each owned by one task at a time."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import http.client
import itertools

import urllib3
from urllib3.connection import HTTPConnection

from cardamomdeal.backend import answers
from cardamomdeal.backend import errors
from cardamomdeal.internal import address
from cardamomdeal.internal import clock

CHUNK_BYTES = 64 * 1024
MIN_SOCKET_TIMEOUT_MS = 1


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

    def close(self) -> None:
        """Close the connection."""
        self.reusable = False
        self._http.close()

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
        echoed = answer.headers.get(answers.REQUEST_ID)
        if echoed is not None and echoed != request.request_id:
            raise errors.AnswerBroken('the answer is to another request')
        lengths = set(
            itertools.chain.from_iterable(
                value.split(',')
                for value in answer.headers.getlist('Content-Length')
            )
        )
        if len(lengths) > 1:
            raise errors.AnswerBroken('the answer states two lengths')
        if not answer.states_its_end and request.method != 'HEAD':
            # The end of such an answer looks like a connection that broke.
            raise errors.AnswerBroken('the answer does not state its end')


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
