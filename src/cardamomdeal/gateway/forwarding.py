"""Forwarding of one request, in the worker thread of its connection."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import logging
from typing import Any

import pykka

from cardamomdeal.backend import connection
from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.backend import header_fields
from cardamomdeal.backend import response_head
from cardamomdeal.document import model
from cardamomdeal.gateway import caller
from cardamomdeal.gateway import errors
from cardamomdeal.gateway import messages
from cardamomdeal.internal import clock
from cardamomdeal.routing import outcomes
from cardamomdeal.settings import model as settings_model

DISPATCHER_TIMEOUT_S = 2.0
RETRY_AFTER_MS = 1_000
# Shorter than DISPATCHER_TIMEOUT_S, so that no server is assigned to a
# request whose thread no longer waits for the dispatcher.
ADMISSION_VALID_MS = 1_500
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024

_UNKNOWN = outcomes.Outcome.UNKNOWN

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _ResponseStarted:
    """Response with its headers received and the start of its body read.

    `rest` is None when the whole body is buffered.
    """

    response: connection.Response
    buffered: tuple[bytes, ...]
    rest: Iterator[bytes] | None
    server_connection: connection.BackendConnection
    latency_ms: int

    @property
    def completed(self) -> outcomes.Completed:
        return outcomes.Completed(
            self.response.status, self.latency_ms, self.response.reported_state
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _AttemptFailed:
    """Attempt that ended without a response to forward."""

    result: outcomes.AttemptResult
    reason: str


class Forwarder:
    """Forwards requests to the servers that the dispatcher assigns."""

    def __init__(
        self,
        settings: settings_model.GatewaySettings,
        dispatcher: pykka.ActorRef[Any],
        time: clock.Clock,
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._time = time

    def serve(self, request: caller.CallerRequest) -> caller.Response:
        """Forward a request and return the response."""
        match self._admit(request):
            case messages.Rejected() as rejected:
                return caller.error_response(
                    rejected.status,
                    outcomes.Outcome.NOT_RUN,
                    rejected.reason,
                    request.request_id,
                    rejected.retry_after_ms,
                    rejected.allowed_methods,
                )
            case messages.Assigned() as assigned:
                return self._forward(request, assigned)

    def _admit(
        self, request: caller.CallerRequest
    ) -> messages.AdmissionResult:
        admit = messages.Admit(
            request.method,
            request.path,
            request.tenant,
            request.body_bytes,
            self._time.now_ms() + ADMISSION_VALID_MS,
        )
        try:
            return self._dispatcher.ask(admit, timeout=DISPATCHER_TIMEOUT_S)
        except pykka.Timeout:
            return messages.Rejected(503, 'overloaded', RETRY_AFTER_MS)

    def _forward(
        self, request: caller.CallerRequest, assigned: messages.Assigned
    ) -> caller.Response:
        try:
            forwarded_request = _ForwardedRequest(
                self._settings, self._dispatcher, self._time, request, assigned
            )
        except BaseException:
            # Nothing has been sent yet, so the slot is released unused.
            self._dispatcher.tell(
                messages.Finished(
                    assigned.admission_id,
                    outcomes.CallerLeft(),
                    assigned.connection,
                )
            )
            raise
        return forwarded_request.run()


class _ForwardedRequest:
    """One admitted request and its attempts."""

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
        self._body = _RequestBody(request, assigned.kind.max_body_bytes)
        self._may_have_run = False

    def run(self) -> caller.Response:
        """Try backend servers until one responds or no retry is allowed."""
        try:
            return self._run()
        except BaseException:
            self.finish(outcomes.CallerLeft(), None)
            raise

    def _run(self) -> caller.Response:
        while True:
            attempt = self._attempt()
            match attempt:
                case _ResponseStarted():
                    if not self._retry_error_response(attempt):
                        return self._build_response(attempt)
                case _AttemptFailed(result, reason):
                    self.log_failed_attempt(reason)
                    if outcomes.outcome_of(result) is _UNKNOWN:
                        self._may_have_run = True
                    if not self._assign_retry(result):
                        return self._build_error_response(result, reason)

    def _retry_error_response(self, started: _ResponseStarted) -> bool:
        """Discard a 5xx response if another server can be tried."""
        if started.response.status < outcomes.SERVER_ERROR_STATUS:
            return False
        if not self._assign_retry(started.completed):
            return False
        started.server_connection.close()
        self._may_have_run = True
        return True

    def _assign_retry(self, result: outcomes.AttemptResult) -> bool:
        retry = messages.Retry(
            self._assigned.admission_id, result, self._body.replayable
        )
        match self._dispatcher.ask(retry, timeout=DISPATCHER_TIMEOUT_S):
            case messages.Assigned() as assigned:
                self._assigned = assigned
                return True
            case messages.NoRetry():
                return False

    def _attempt(self) -> _ResponseStarted | _AttemptFailed:
        connection_reused = self._assigned.connection is not None
        started_ms = self._time.now_ms()
        try:
            server_connection = self._assigned.connection or self._connect()
        except backend_errors.ConnectFailed as error:
            return _AttemptFailed(outcomes.NotConnected(), str(error))
        try:
            return self._exchange(server_connection, started_ms)
        except backend_errors.ExchangeBroken as error:
            server_connection.close()
            latency_ms = self._time.now_ms() - started_ms
            reason = str(error) or type(error).__name__
            return _AttemptFailed(
                outcomes.Broken(latency_ms, reason, connection_reused), reason
            )
        except (
            backend_errors.RequestBodyIncomplete,
            errors.RequestBodyTooLarge,
        ) as error:
            server_connection.close()
            return _AttemptFailed(outcomes.CallerLeft(), str(error))
        except BaseException:
            server_connection.close()
            raise

    def _connect(self) -> connection.BackendConnection:
        remaining_ms = self._assigned.deadline_at_ms - self._time.now_ms()
        if remaining_ms <= 0:
            raise backend_errors.ConnectFailed('the deadline has passed')
        return connection.BackendConnection(
            self._assigned.server.address,
            min(remaining_ms, self._settings.connect_timeout_ms),
            self._time,
        )

    def _exchange(
        self, server_connection: connection.BackendConnection, started_ms: int
    ) -> _ResponseStarted | _AttemptFailed:
        limit = self._time_limit()
        response = server_connection.exchange(self._backend_request(), limit)
        latency_ms = self._time.now_ms() - started_ms
        if response.reported_state.refusal is not None:
            server_connection.close()
            result = outcomes.RefusedByServer(
                response.reported_state.refusal, response.reported_state
            )
            return _AttemptFailed(
                result, f'refused: {response.reported_state.refusal.value}'
            )
        buffered, rest = _read_ahead(response.body())
        return _ResponseStarted(
            response, buffered, rest, server_connection, latency_ms
        )

    def _time_limit(self) -> connection.TimeLimit:
        deadline_at_ms = self._assigned.deadline_at_ms
        remaining_ms = deadline_at_ms - self._time.now_ms()
        match self._assigned.kind.work_class:
            case model.UploadWork(idle_timeout_ms, _):
                return connection.TimeLimit(deadline_at_ms, idle_timeout_ms)
            case model.ShortWork() if self._assigned.kind.idempotent:
                # Half of the time is left for a retry on another server.
                return connection.TimeLimit(
                    deadline_at_ms, max(1, remaining_ms // 2)
                )
            case model.ShortWork():
                return connection.TimeLimit(deadline_at_ms, remaining_ms)

    def _backend_request(self) -> connection.Request:
        request = self._request
        remaining_ms = self._assigned.deadline_at_ms - self._time.now_ms()
        return connection.Request(
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            headers=tuple(
                connection.forwarded_headers(
                    request.headers, request.request_id, max(0, remaining_ms)
                )
            ),
            body=self._body.chunks(),
            body_bytes=request.body_bytes,
        )

    def _build_response(self, started: _ResponseStarted) -> caller.Response:
        headers = [
            (name, value)
            for name, value in header_fields.end_to_end_headers(
                started.response.headers
            )
            if name.lower()
            not in ('content-length', 'request-id', 'date', 'server')
        ]
        headers.append((header_fields.REQUEST_ID, self._request.request_id))
        if started.response.status not in response_head.STATUSES_WITHOUT_BODY:
            headers.extend(self._length_header(started))
        if started.rest is None:
            self.finish(started.completed, started.server_connection)
            body: Iterable[bytes] = started.buffered
        else:
            body = _StreamedBody(self, started)
        return caller.Response(started.response.status, headers, body)

    def _length_header(
        self, started: _ResponseStarted
    ) -> list[tuple[str, str]]:
        length = started.response.headers.get('Content-Length')
        if self._request.method == 'HEAD':
            return [] if length is None else [('Content-Length', length)]
        if started.rest is None:
            total_bytes = sum(len(chunk) for chunk in started.buffered)
            return [('Content-Length', str(total_bytes))]
        return [] if length is None else [('Content-Length', length)]

    def _build_error_response(
        self, result: outcomes.AttemptResult, reason: str
    ) -> caller.Response:
        self.finish(result, None)
        match result:
            case outcomes.RefusedByServer() | outcomes.NotConnected():
                status, retry_after_ms = 503, RETRY_AFTER_MS
            case outcomes.Broken() if self._deadline_has_passed():
                status, retry_after_ms = 504, None
            case _:
                status, retry_after_ms = 502, None
        outcome = outcomes.outcome_of(result)
        if self._may_have_run:
            outcome = _UNKNOWN
        return caller.error_response(
            status, outcome, reason, self._request.request_id, retry_after_ms
        )

    def _deadline_has_passed(self) -> bool:
        return self._time.now_ms() >= self._assigned.deadline_at_ms

    def finish(
        self,
        result: outcomes.AttemptResult,
        server_connection: connection.BackendConnection | None,
    ) -> None:
        """Report the end of the request and return its connection."""
        self._dispatcher.tell(
            messages.Finished(
                self._assigned.admission_id, result, server_connection
            )
        )

    def log_failed_attempt(self, reason: str) -> None:
        """Log the reason why an attempt got no complete response."""
        log.warning(
            'attempt failed',
            extra={
                'request_id': self._request.request_id,
                'work_kind': self._assigned.kind.name,
                'server': self._assigned.server.name,
                'reason': reason,
            },
        )


class _StreamedBody:
    """Body of a large response, forwarded while it is being received."""

    def __init__(
        self, forwarded_request: _ForwardedRequest, started: _ResponseStarted
    ) -> None:
        self._forwarded_request = forwarded_request
        self._started = started
        self._unfinished = True

    def __iter__(self) -> Iterator[bytes]:
        yield from self._started.buffered
        try:
            yield from self._started.rest or ()
        except backend_errors.ExchangeBroken as error:
            broken = outcomes.Broken(
                self._started.latency_ms, str(error), False
            )
            self._forwarded_request.log_failed_attempt(str(error))
            self._finish(broken, None)
            # The status has been sent, so the failure can only be shown by
            # closing the connection early. Raising makes cheroot do so.
            raise errors.ResponseTruncated(str(error)) from error
        self._finish(self._started.completed, self._started.server_connection)

    def close(self) -> None:
        """Release the backend server if the caller disconnected early."""
        self._finish(outcomes.CallerLeft(), None)

    def _finish(
        self,
        result: outcomes.AttemptResult,
        server_connection: connection.BackendConnection | None,
    ) -> None:
        if not self._unfinished:
            return
        self._unfinished = False
        if server_connection is None:
            self._started.server_connection.close()
        self._forwarded_request.finish(result, server_connection)


class _RequestBody:
    """Body of a request, buffered for retries if it is small enough."""

    def __init__(
        self, request: caller.CallerRequest, max_body_bytes: int
    ) -> None:
        self._unread = iter(())
        self._buffered: list[bytes] = []
        self._has_body = request.has_body
        self.replayable = True
        if request.has_body:
            self._unread = caller.read_body(request, max_body_bytes)
            self._read_ahead(request.body_bytes or 0)

    def chunks(self) -> Iterable[bytes] | None:
        """Return the chunks of the body, or None without a body."""
        if not self._has_body:
            return None
        return itertools.chain(self._buffered, self._unread)

    def _read_ahead(self, body_bytes: int) -> None:
        size = 0
        while body_bytes <= caller.MAX_REPLAYABLE_BODY_BYTES >= size:
            chunk = next(self._unread, None)
            if chunk is None:
                return
            self._buffered.append(chunk)
            size += len(chunk)
        self.replayable = False


def _read_ahead(
    chunks: Iterator[bytes],
) -> tuple[tuple[bytes, ...], Iterator[bytes] | None]:
    """Read the start of a body, or all of it if it is small.

    Return the chunks read, and an iterator of the rest or None.
    """
    buffered: list[bytes] = []
    size = 0
    for chunk in chunks:
        buffered.append(chunk)
        size += len(chunk)
        if size >= MAX_BUFFERED_RESPONSE_BYTES:
            return tuple(buffered), chunks
    return tuple(buffered), None
