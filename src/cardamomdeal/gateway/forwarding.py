"""Forwards one caller's request; runs in the caller's worker thread."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import logging
from typing import Any

import pykka

from cardamomdeal.backend import connection
from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.backend import responses
from cardamomdeal.document import model
from cardamomdeal.gateway import caller
from cardamomdeal.gateway import errors
from cardamomdeal.gateway import messages
from cardamomdeal.internal import clock
from cardamomdeal.routing import outcomes
from cardamomdeal.settings import model as settings_model

ASK_TIMEOUT_S = 2.0
RETRY_AFTER_MS = 1_000
# Shorter than the wait for the answer, so that nothing is assigned to a
# request that has given up waiting.
ADMISSION_VALID_MS = 1_500
BUFFERED_ANSWER_BYTES = 256 * 1024
BODYLESS_STATUSES = frozenset({204, 304})

_UNKNOWN = outcomes.Outcome.UNKNOWN

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Begun:
    """Hold an answer whose head has come and whose start is buffered."""

    answer: connection.Response
    buffered: tuple[bytes, ...]
    rest: Iterator[bytes] | None
    used: connection.BackendConnection
    latency_ms: int

    @property
    def completed(self) -> outcomes.Completed:
        return outcomes.Completed(
            self.answer.status, self.latency_ms, self.answer.signals
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Failed:
    """Hold the result of an attempt that brought no answer."""

    result: outcomes.AttemptResult
    reason: str


class Forwarder:
    """Serve requests with the backend servers that are assigned."""

    def __init__(
        self,
        settings: settings_model.GatewaySettings,
        dispatcher: pykka.ActorRef[Any],
        time: clock.Clock,
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._time = time

    def serve(self, request: caller.CallerRequest) -> caller.Reply:
        """Return the answer to a request."""
        match self._admit(request):
            case messages.Rejected() as rejected:
                return caller.failure(
                    rejected.status,
                    outcomes.Outcome.NOT_RUN,
                    rejected.reason,
                    request.request_id,
                    rejected.retry_after_ms,
                    rejected.allowed,
                )
            case messages.Assigned() as assigned:
                return self._exchange(request, assigned)

    def _admit(self, request: caller.CallerRequest) -> messages.Decision:
        admit = messages.Admit(
            request.method,
            request.path,
            request.tenant,
            request.body_bytes,
            self._time.now_ms() + ADMISSION_VALID_MS,
        )
        try:
            return self._dispatcher.ask(admit, timeout=ASK_TIMEOUT_S)
        except pykka.Timeout:
            return messages.Rejected(503, 'overloaded', RETRY_AFTER_MS)

    def _exchange(
        self, request: caller.CallerRequest, assigned: messages.Assigned
    ) -> caller.Reply:
        try:
            exchange = _Exchange(
                self._settings, self._dispatcher, self._time, request, assigned
            )
        except BaseException:
            # Nothing was sent yet: the slot goes back unused.
            self._dispatcher.tell(
                messages.Finished(
                    assigned.ticket,
                    outcomes.CallerLeft(),
                    assigned.connection,
                )
            )
            raise
        return exchange.run()


class _Exchange:
    """Carry one admitted request to its end."""

    def __init__(
        self,
        settings: settings_model.GatewaySettings,
        dispatcher: pykka.ActorRef[Any],
        time: clock.Clock,
        request: caller.CallerRequest,
        assigned: messages.Assigned,
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._time = time
        self._request = request
        self._assigned = assigned
        self._body = _Body(request, assigned.kind.max_body_bytes)
        self._may_have_run = False

    def run(self) -> caller.Reply:
        """Try backend servers until one answers or no retry is left."""
        try:
            return self._run()
        except BaseException:
            self.finish(outcomes.CallerLeft(), None)
            raise

    def _run(self) -> caller.Reply:
        while True:
            tried = self._attempt()
            match tried:
                case _Begun():
                    if not self._answered_better(tried):
                        return self._reply(tried)
                case _Failed(result, reason):
                    self.log_failed_attempt(reason)
                    if outcomes.outcome_of(result) is _UNKNOWN:
                        self._may_have_run = True
                    if not self._assigned_again(result):
                        return self._give_up(result, reason)

    def _answered_better(self, begun: _Begun) -> bool:
        """Give up a server's error for another server's answer."""
        if begun.answer.status < outcomes.SERVER_ERROR_STATUS:
            return False
        if not self._assigned_again(begun.completed):
            return False
        begun.used.close()
        self._may_have_run = True
        return True

    def _assigned_again(self, result: outcomes.AttemptResult) -> bool:
        retry = messages.Retry(
            self._assigned.ticket, result, self._body.replayable
        )
        match self._dispatcher.ask(retry, timeout=ASK_TIMEOUT_S):
            case messages.Assigned() as assigned:
                self._assigned = assigned
                return True
            case messages.NoRetry():
                return False

    def _attempt(self) -> _Begun | _Failed:
        reused = self._assigned.connection is not None
        started_ms = self._time.now_ms()
        try:
            used = self._assigned.connection or self._connect()
        except backend_errors.ConnectFailed as error:
            return _Failed(outcomes.NotConnected(), str(error))
        try:
            return self._exchange(used, started_ms)
        except backend_errors.ExchangeBroken as error:
            used.close()
            latency_ms = self._time.now_ms() - started_ms
            reason = str(error) or type(error).__name__
            return _Failed(outcomes.Broken(latency_ms, reason, reused), reason)
        except (
            backend_errors.RequestBodyIncomplete,
            errors.RequestBodyTooLarge,
        ) as error:
            used.close()
            return _Failed(outcomes.CallerLeft(), str(error))
        except BaseException:
            used.close()
            raise

    def _connect(self) -> connection.BackendConnection:
        left_ms = self._assigned.deadline_at_ms - self._time.now_ms()
        if left_ms <= 0:
            raise backend_errors.ConnectFailed('the deadline has passed')
        return connection.BackendConnection(
            self._assigned.server.address,
            min(left_ms, self._settings.connect_timeout_ms),
            self._time,
        )

    def _exchange(
        self, used: connection.BackendConnection, started_ms: int
    ) -> _Begun | _Failed:
        limit = self._limit()
        answer = used.exchange(self._backend_request(), limit)
        latency_ms = self._time.now_ms() - started_ms
        if answer.signals.refusal is not None:
            used.close()
            refused = outcomes.RefusedByServer(
                answer.signals.refusal, answer.signals
            )
            return _Failed(refused, f'refused: {answer.signals.refusal.value}')
        buffered, rest = _read_ahead(answer.body())
        return _Begun(answer, buffered, rest, used, latency_ms)

    def _limit(self) -> connection.TimeLimit:
        ends_at_ms = self._assigned.deadline_at_ms
        left_ms = ends_at_ms - self._time.now_ms()
        match self._assigned.kind.work_class:
            case model.UploadWork(idle_timeout_ms, _):
                return connection.TimeLimit(ends_at_ms, idle_timeout_ms)
            case model.ShortWork() if self._assigned.kind.idempotent:
                # Half of the time stays for another backend server.
                return connection.TimeLimit(ends_at_ms, max(1, left_ms // 2))
            case model.ShortWork():
                return connection.TimeLimit(ends_at_ms, left_ms)

    def _backend_request(self) -> connection.Request:
        request = self._request
        left_ms = self._assigned.deadline_at_ms - self._time.now_ms()
        return connection.Request(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=tuple(
                connection.forwarded_headers(
                    request.headers, request.request_id, max(0, left_ms)
                )
            ),
            body=self._body.chunks(),
            body_bytes=request.body_bytes,
        )

    def _reply(self, begun: _Begun) -> caller.Reply:
        headers = [
            (name, value)
            for name, value in responses.end_to_end_headers(
                begun.answer.headers
            )
            if name.lower()
            not in ('content-length', 'request-id', 'date', 'server')
        ]
        headers.append((responses.REQUEST_ID, self._request.request_id))
        if begun.answer.status not in BODYLESS_STATUSES:
            headers.extend(self._length_header(begun))
        if begun.rest is None:
            self.finish(begun.completed, begun.used)
            body: Iterable[bytes] = begun.buffered
        else:
            body = _AnswerBody(self, begun)
        return caller.Reply(begun.answer.status, headers, body)

    def _length_header(self, begun: _Begun) -> list[tuple[str, str]]:
        length = begun.answer.headers.get('Content-Length')
        if self._request.method == 'HEAD':
            return [] if length is None else [('Content-Length', length)]
        if begun.rest is None:
            whole = sum(len(chunk) for chunk in begun.buffered)
            return [('Content-Length', str(whole))]
        return [] if length is None else [('Content-Length', length)]

    def _give_up(
        self, result: outcomes.AttemptResult, reason: str
    ) -> caller.Reply:
        self.finish(result, None)
        match result:
            case outcomes.RefusedByServer() | outcomes.NotConnected():
                status, retry_after_ms = 503, RETRY_AFTER_MS
            case outcomes.Broken() if self._is_late():
                status, retry_after_ms = 504, None
            case _:
                status, retry_after_ms = 502, None
        outcome = outcomes.outcome_of(result)
        if self._may_have_run:
            outcome = _UNKNOWN
        return caller.failure(
            status, outcome, reason, self._request.request_id, retry_after_ms
        )

    def _is_late(self) -> bool:
        return self._time.now_ms() >= self._assigned.deadline_at_ms

    def finish(
        self,
        result: outcomes.AttemptResult,
        used: connection.BackendConnection | None,
    ) -> None:
        """Report the end of the request and hand its connection back."""
        self._dispatcher.tell(
            messages.Finished(self._assigned.ticket, result, used)
        )

    def log_failed_attempt(self, reason: str) -> None:
        """Log why an attempt brought no whole answer."""
        log.warning(
            'attempt failed',
            extra={
                'request_id': self._request.request_id,
                'work_kind': self._assigned.kind.name,
                'server': self._assigned.server.name,
                'reason': reason,
            },
        )


class _AnswerBody:
    """Pass a long answer on; break off if the backend server does."""

    def __init__(self, exchange: _Exchange, begun: _Begun) -> None:
        self._exchange = exchange
        self._begun = begun
        self._open = True

    def __iter__(self) -> Iterator[bytes]:
        yield from self._begun.buffered
        try:
            yield from self._begun.rest or ()
        except backend_errors.ExchangeBroken as error:
            broken = outcomes.Broken(self._begun.latency_ms, str(error), False)
            self._exchange.log_failed_attempt(str(error))
            self._end(broken, None)
            # Raising makes the server close the connection early, which
            # is the only way left to tell the caller.
            raise errors.AnswerCutShort(str(error)) from error
        self._end(self._begun.completed, self._begun.used)

    def close(self) -> None:
        """Give the backend server back when the caller left early."""
        self._end(outcomes.CallerLeft(), None)

    def _end(
        self,
        result: outcomes.AttemptResult,
        used: connection.BackendConnection | None,
    ) -> None:
        if not self._open:
            return
        self._open = False
        if used is None:
            self._begun.used.close()
        self._exchange.finish(result, used)


class _Body:
    """Read a request's body ahead, so that it can be sent again."""

    def __init__(
        self, request: caller.CallerRequest, max_body_bytes: int
    ) -> None:
        self._unread = iter(())
        self._start: list[bytes] = []
        self._has_body = request.has_body
        self.replayable = True
        if request.has_body:
            self._unread = caller.read_body(request, max_body_bytes)
            self._read_ahead(request.body_bytes or 0)

    def chunks(self) -> Iterable[bytes] | None:
        """Return the body, or None when there is none."""
        if not self._has_body:
            return None
        return itertools.chain(self._start, self._unread)

    def _read_ahead(self, body_bytes: int) -> None:
        size = 0
        while body_bytes <= caller.REPLAY_BYTES >= size:
            chunk = next(self._unread, None)
            if chunk is None:
                return
            self._start.append(chunk)
            size += len(chunk)
        self.replayable = False


def _read_ahead(
    chunks: Iterator[bytes],
) -> tuple[tuple[bytes, ...], Iterator[bytes] | None]:
    """Buffer the start of an answer, and all of it when it is small."""
    buffered: list[bytes] = []
    size = 0
    for chunk in chunks:
        buffered.append(chunk)
        size += len(chunk)
        if size >= BUFFERED_ANSWER_BYTES:
            return tuple(buffered), chunks
    return tuple(buffered), None
