"""Forwards requests to backend servers, in the callers' worker threads."""

import logging
from typing import Any

import pykka

from cardamomdeal.backend import connection
from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.backend import header_fields
from cardamomdeal.balancing import outcomes
from cardamomdeal.entry import caller
from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.internal import clock
from cardamomdeal.platform import responses as server_responses
from cardamomdeal.platform import wire

# The dispatcher replies in well under a millisecond; if it takes this long,
# the process is starved of CPU.
ASK_TIMEOUT_S = 2.0
# Connecting takes one round trip between data centres; a lost packet is
# retransmitted only after a second.
CONNECT_TIMEOUT_MS = 250
# A process that was starved of CPU for seconds does not recover sooner.
STARVED_RETRY_MS = 1_000
BODYLESS_STATUSES = frozenset({204, 304})

log = logging.getLogger(__name__)


class Forwarder:
    """Forwards requests to the servers that the dispatcher assigns."""

    def __init__(
        self, dispatcher: pykka.ActorRef[Any], time: clock.Clock
    ) -> None:
        self._dispatcher = dispatcher
        self._time = time

    def serve(
        self, request: caller.CallerRequest, arrived_at_ms: int
    ) -> caller.Response:
        """Return the response to a request."""
        admit = messages.Admit(
            request.request_id,
            request.hostname,
            request.path,
            request.deadline_ms,
            arrived_at_ms,
        )
        try:
            decision = self._dispatcher.ask(admit, timeout=ASK_TIMEOUT_S)
        except pykka.Timeout:
            return caller.error_response(
                503, 'overloaded', request.request_id, STARVED_RETRY_MS
            )
        match decision:
            case messages.Rejected(status, reason, retry_after_ms):
                return caller.error_response(
                    status, reason, request.request_id, retry_after_ms
                )
            case messages.Assigned() as assigned:
                forwarded = _ForwardedRequest(
                    self._dispatcher, self._time, request, assigned
                )
                return forwarded.run(arrived_at_ms)


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
        self._hangup = caller.CallerHangup(request.connection)
        self._may_have_run = False

    def run(self, arrived_at_ms: int) -> caller.Response:
        """Try servers until one responds or no attempt is left."""
        try:
            response = self._run_attempts()
        except BaseException:
            self._report_end(outcomes.CallerLeft(), None)
            raise
        log.info(
            'request ended',
            extra={
                'request_id': self._request.request_id,
                'route': self._assigned.route.name,
                'server': self._assigned.server.server_id,
                'attempts': self._assigned.attempt,
                'status': response.status,
                'took_ms': self._time.now_ms() - arrived_at_ms,
            },
        )
        return response

    def _run_attempts(self) -> caller.Response:
        while True:
            result, response, conn = self._attempt()
            if outcomes.may_have_run(result):
                self._may_have_run = True
            if _is_final(result):
                self._report_end(result, conn)
                return response or self._error_response(result)
            if conn is not None:
                conn.close()
            log.info(
                'attempt failed',
                extra={
                    'request_id': self._request.request_id,
                    'server': self._assigned.server.server_id,
                    'result': str(result),
                },
            )
            retry = messages.Retry(self._assigned.ticket, result)
            match self._dispatcher.ask(retry, timeout=ASK_TIMEOUT_S):
                case messages.Assigned() as assigned:
                    self._assigned = assigned
                case messages.NoRetry(_, retry_after_ms):
                    return response or self._error_response(
                        result, retry_after_ms
                    )

    def _attempt(
        self,
    ) -> tuple[
        outcomes.AttemptResult,
        caller.Response | None,
        connection.BackendConnection | None,
    ]:
        """Try one server; the response is None if there was no valid one."""
        if self._hangup.caller_disconnected():
            return outcomes.CallerLeft(), None, None
        started_ms = self._time.now_ms()
        try:
            conn = self._assigned.connection or self._connect()
        except backend_errors.ConnectFailed as error:
            return outcomes.NotConnected(str(error)), None, None
        try:
            result, response = self._send(conn, started_ms)
        except backend_errors.CallerDisconnected:
            conn.close()
            return outcomes.CallerLeft(), None, None
        except backend_errors.AnswerTimedOut:
            conn.close()
            latency_ms = self._time.now_ms() - started_ms
            return outcomes.TimedOut(latency_ms), None, None
        except backend_errors.ExchangeBroken as error:
            conn.close()
            latency_ms = self._time.now_ms() - started_ms
            reason = str(error) or type(error).__name__
            return outcomes.Broken(latency_ms, reason), None, None
        except BaseException:
            conn.close()
            raise
        return result, response, conn

    def _connect(self) -> connection.BackendConnection:
        remaining_ms = self._assigned.ends_at_ms - self._time.now_ms()
        if remaining_ms <= 0:
            raise backend_errors.ConnectFailed('the deadline has passed')
        return connection.BackendConnection(
            self._assigned.server.address,
            min(remaining_ms, CONNECT_TIMEOUT_MS),
            self._time,
        )

    def _send(
        self, conn: connection.BackendConnection, started_ms: int
    ) -> tuple[outcomes.AttemptResult, caller.Response | None]:
        ends_at_ms = self._assigned.ends_at_ms
        remaining_ms = max(1, ends_at_ms - self._time.now_ms())
        limit = connection.TimeLimit(ends_at_ms, remaining_ms)
        backend_request = connection.BufferedRequest(
            method=self._request.method,
            target=self._request.target,
            headers=caller.forwarded_headers(
                self._request, self._assigned.server.server_id, remaining_ms
            ),
            body=self._request.body,
            id_header=wire.REQUEST_ID,
            request_id=self._request.request_id,
        )
        backend_response = conn.exchange_buffered(
            backend_request, limit, self._watched_hangup()
        )
        body = b''.join(backend_response.body())
        latency_ms = self._time.now_ms() - started_ms
        result = server_responses.classify(
            backend_response.status, backend_response.headers, latency_ms
        )
        match result:
            case outcomes.Answered():
                return result, self._build_response(backend_response, body)
            case _:
                return result, None

    def _watched_hangup(self) -> connection.DisconnectWatcher | None:
        match self._assigned.route.kind:
            case model.Idempotent():
                return self._hangup
            case model.NonIdempotent() | model.Upload():
                # The server finishes the request even if the caller has
                # left: after an abort nobody could tell how much of it
                # was done.
                return None

    def _build_response(
        self, backend_response: connection.Response, body: bytes
    ) -> caller.Response:
        headers = [
            (name, value)
            for name, value in header_fields.end_to_end_headers(
                backend_response.headers
            )
            if name.lower() not in ('content-length', 'date', 'server')
        ]
        length = str(len(body))
        if self._request.method == 'HEAD':
            length = backend_response.headers.get('Content-Length', length)
        if backend_response.status not in BODYLESS_STATUSES:
            headers.append(('Content-Length', length))
        return caller.Response(backend_response.status, tuple(headers), body)

    def _error_response(
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

    def _report_end(
        self,
        result: outcomes.AttemptResult,
        conn: connection.BackendConnection | None,
    ) -> None:
        self._dispatcher.tell(
            messages.Finished(self._assigned.ticket, result, conn)
        )


def _is_final(result: outcomes.AttemptResult) -> bool:
    """Return whether no further attempt is to be made."""
    match result:
        case outcomes.Answered(status):
            return status < outcomes.SERVER_ERROR_STATUS
        case outcomes.CallerLeft():
            return True
        case _:
            return False
