"""Forwarding of requests, each in a worker thread."""

import logging
from typing import Any

import pykka

from cardamomdeal.backend import connection
from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.backend import header_fields
from cardamomdeal.backend import response_head
from cardamomdeal.balancing import outcomes
from cardamomdeal.entry import caller
from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import clock
from cardamomdeal.platform import responses as server_responses
from cardamomdeal.platform import wire

# The dispatcher replies in much less than a millisecond; if it takes this
# long, the process is starved of CPU.
DISPATCHER_TIMEOUT_S = 2.0
# The reply must be there before the thread that asked gives up.
REPLY_MARGIN_MS = 100
ADMIT_WAIT_MS = round(DISPATCHER_TIMEOUT_S * 1_000) - REPLY_MARGIN_MS
# Connecting takes one round trip between data centres; a lost packet is
# retransmitted only after a second.
CONNECT_TIMEOUT_MS = 250
# A process that was starved of CPU for seconds does not recover sooner.
OVERLOAD_RETRY_AFTER_MS = 1_000

log = logging.getLogger(__name__)


class Forwarder:
    """Forwards requests to the backend servers that are assigned."""

    def __init__(
        self, dispatcher: pykka.ActorRef[Any], time: clock.Clock
    ) -> None:
        self._dispatcher = dispatcher
        self._time = time

    def serve(
        self, request: caller.CallerRequest, arrived_at_ms: int
    ) -> caller.Response:
        """Forward a request and return the response."""
        admit = messages.Admit(
            request.request_id,
            request.hostname,
            request.path,
            request.deadline_ms,
            arrived_at_ms,
            request.credentials,
            asked_until_ms=self._time.now_ms() + ADMIT_WAIT_MS,
            body_bytes=request.body.size_bytes,
        )
        try:
            decision = self._dispatcher.ask(
                admit, timeout=DISPATCHER_TIMEOUT_S
            )
        except pykka.Timeout:
            return caller.error_response(
                503, 'overloaded', request.request_id, OVERLOAD_RETRY_AFTER_MS
            )
        if isinstance(decision, messages.Waiting):
            decision = _wait(decision, request, self._dispatcher, self._time)
        match decision:
            case messages.Rejected(status, reason, retry_after_ms):
                return caller.error_response(
                    status, reason, request.request_id, retry_after_ms
                )
            case messages.Assigned() as assigned:
                forwarded_request = _ForwardedRequest(
                    self._dispatcher, self._time, request, assigned
                )
                return forwarded_request.run(arrived_at_ms)
            case _:
                # The dispatcher raised an exception before it assigned a
                # server.
                return caller.error_response(
                    503,
                    'internal error',
                    request.request_id,
                    OVERLOAD_RETRY_AFTER_MS,
                )


class _ForwardedRequest:
    """One admitted request and its attempts."""

    def __init__(
        self,
        dispatcher: pykka.ActorRef[Any],
        time: clock.Clock,
        request: caller.CallerRequest,
        assigned: messages.Assigned,
    ) -> None:
        self._dispatcher = dispatcher
        self._time = time
        self._request = request
        self._assigned = assigned
        self._disconnect_watcher = caller.CallerDisconnectWatcher(
            request.connection
        )
        self._may_have_run = False

    def run(self, arrived_at_ms: int) -> caller.Response:
        """Try backend servers until one responds or no retry is allowed."""
        try:
            response = self._run_attempts()
        except BaseException:
            self._finish(outcomes.CallerLeft(), None)
            raise
        log.info(
            'request ended',
            extra={
                'request_id': self._request.request_id,
                'route': self._assigned.route.name,
                'server': self._assigned.server.server_id,
                'attempts': self._assigned.attempt_number,
                'status': response.status,
                'took_ms': self._time.now_ms() - arrived_at_ms,
            },
        )
        return response

    def _run_attempts(self) -> caller.Response:
        while True:
            result, response, server_connection = self._attempt()
            if outcomes.may_have_run(result):
                self._may_have_run = True
            if _is_final(result):
                self._finish(result, server_connection)
                return response or self._build_error_response(result)
            if server_connection is not None:
                server_connection.close()
            log.info(
                'attempt failed',
                extra={
                    'request_id': self._request.request_id,
                    'server': self._assigned.server.server_id,
                    'result': str(result),
                },
            )
            retry = messages.Retry(self._assigned.admission_id, result)
            match self._ask_retry(retry):
                case messages.Assigned() as assigned:
                    self._assigned = assigned
                case messages.NoRetry(_, retry_after_ms) | messages.Rejected(
                    _, _, retry_after_ms
                ):
                    return response or self._build_error_response(
                        result, retry_after_ms
                    )

    def _ask_retry(
        self, retry: messages.Retry
    ) -> messages.Assigned | messages.NoRetry | messages.Rejected:
        """Ask for another server; end the request if there is no reply."""
        try:
            decision = self._dispatcher.ask(
                retry, timeout=DISPATCHER_TIMEOUT_S
            )
        except pykka.Timeout:
            decision = None
        if decision is None:
            self._finish(outcomes.CallerLeft(), None)
            return messages.NoRetry(
                'no reply from the dispatcher', OVERLOAD_RETRY_AFTER_MS
            )
        if isinstance(decision, messages.Waiting):
            return _wait(decision, self._request, self._dispatcher, self._time)
        return decision

    def _attempt(
        self,
    ) -> tuple[
        outcomes.AttemptResult,
        caller.Response | None,
        connection.BackendConnection | None,
    ]:
        """Try the assigned server; the response is None if it is not valid."""
        # The response of the attempt before is not held any more.
        self._request.memory.response.reduce_to(0)
        if self._disconnect_watcher.caller_disconnected():
            return outcomes.CallerLeft(), None, None
        started_ms = self._time.now_ms()
        try:
            server_connection = self._assigned.connection or self._connect()
        except backend_errors.ConnectFailed as error:
            return outcomes.NotConnected(str(error)), None, None
        try:
            result, response = self._exchange(server_connection, started_ms)
        except backend_errors.CallerDisconnected:
            server_connection.close()
            return outcomes.CallerLeft(), None, None
        except backend_errors.AnswerTimedOut:
            server_connection.close()
            latency_ms = self._time.now_ms() - started_ms
            return outcomes.TimedOut(latency_ms), None, None
        except backend_errors.ExchangeBroken as error:
            server_connection.close()
            latency_ms = self._time.now_ms() - started_ms
            reason = str(error) or type(error).__name__
            return outcomes.Broken(latency_ms, reason), None, None
        except BaseException:
            server_connection.close()
            raise
        return result, response, server_connection

    def _connect(self) -> connection.BackendConnection:
        remaining_ms = self._assigned.deadline_at_ms - self._time.now_ms()
        if remaining_ms <= 0:
            raise backend_errors.ConnectFailed('the deadline has passed')
        return connection.BackendConnection(
            self._assigned.server.address,
            min(remaining_ms, CONNECT_TIMEOUT_MS),
            self._time,
        )

    def _exchange(
        self, server_connection: connection.BackendConnection, started_ms: int
    ) -> tuple[outcomes.AttemptResult, caller.Response | None]:
        deadline_at_ms = self._assigned.deadline_at_ms
        remaining_ms = max(1, deadline_at_ms - self._time.now_ms())
        limit = connection.TimeLimit(deadline_at_ms, remaining_ms)
        backend_request = connection.BufferedRequest(
            method=self._request.method,
            target=self._request.target,
            headers=caller.forwarded_headers(
                self._request, self._assigned, remaining_ms
            ),
            body=self._request.body,
            id_header=wire.REQUEST_ID,
            request_id=self._request.request_id,
        )
        backend_response = server_connection.exchange_buffered(
            backend_request, limit, self._watcher_for_attempt()
        )
        body = backend_response.buffered_body(self._request.memory.response)
        latency_ms = self._time.now_ms() - started_ms
        result = server_responses.classify(
            backend_response.status, backend_response.headers, latency_ms
        )
        match result:
            case outcomes.Answered():
                return result, self._build_response(backend_response, body)
            case _:
                return result, None

    def _watcher_for_attempt(self) -> connection.DisconnectWatcher | None:
        match self._assigned.route.kind:
            case model.Idempotent():
                return self._disconnect_watcher
            case model.NonIdempotent() | model.Upload():
                # The request is completed even if the caller disconnects:
                # after an abort it would be unknown how much of it was
                # executed.
                return None

    def _build_response(
        self, backend_response: connection.Response, body: body_buffer.Body
    ) -> caller.Response:
        headers = [
            (name, value)
            for name, value in header_fields.end_to_end_headers(
                backend_response.headers
            )
            if name.lower() not in ('content-length', 'date', 'server')
        ]
        length = str(body.size_bytes)
        if self._request.method == 'HEAD':
            length = backend_response.headers.get('Content-Length', length)
        if backend_response.status not in response_head.STATUSES_WITHOUT_BODY:
            headers.append(('Content-Length', length))
        return caller.Response(backend_response.status, tuple(headers), body)

    def _build_error_response(
        self,
        result: outcomes.AttemptResult,
        retry_after_ms: int | None = None,
    ) -> caller.Response:
        match result:
            case outcomes.TimedOut():
                status, reason = 504, 'no answer in time'
            case _ if self._may_have_run:
                status, reason = 502, 'the backend server gave no answer'
            case _:
                return caller.error_response(
                    503,
                    'no backend server took the request',
                    self._request.request_id,
                    retry_after_ms,
                )
        return caller.error_response(status, reason, self._request.request_id)

    def _finish(
        self,
        result: outcomes.AttemptResult,
        server_connection: connection.BackendConnection | None,
    ) -> None:
        self._dispatcher.tell(
            messages.Finished(
                self._assigned.admission_id, result, server_connection
            )
        )


def _wait(
    waiting: messages.Waiting,
    request: caller.CallerRequest,
    dispatcher: pykka.ActorRef[Any],
    time: clock.Clock,
) -> messages.Assigned | messages.Rejected:
    """Wait for a decision until the deadline or the caller leaves."""
    remaining_ms = waiting.deadline_at_ms - time.now_ms()
    decision = waiting.decision.wait(
        remaining_ms, caller.CallerDisconnectWatcher(request.connection)
    )
    if decision is None:
        dispatcher.tell(messages.Withdraw(waiting.admission_id))
        return messages.Rejected(503, 'no room in time', 0)
    return decision


def _is_final(result: outcomes.AttemptResult) -> bool:
    """Return whether the request ends with this result."""
    match result:
        case outcomes.Answered(status):
            return status < outcomes.SERVER_ERROR_STATUS
        case outcomes.CallerLeft():
            return True
        case _:
            return False
