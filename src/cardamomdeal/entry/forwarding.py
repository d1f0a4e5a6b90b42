"""Forwards one caller's request; runs in the caller's worker thread."""

import logging
from typing import Any

import pykka

from cardamomdeal.backend import connection
from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.backend import responses
from cardamomdeal.balancing import outcomes
from cardamomdeal.entry import caller
from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.internal import clock
from cardamomdeal.platform import responses as server_responses
from cardamomdeal.platform import wire

# The dispatcher answers in well under a millisecond; a longer silence
# means that the process is starved.
ASK_TIMEOUT_S = 2.0
# Connecting takes one round trip between data centres; a lost packet is
# sent again only after a second.
CONNECT_TIMEOUT_MS = 250
# A process that is starved for seconds does not recover in less.
STARVED_RETRY_MS = 1_000
BODYLESS_STATUSES = frozenset({204, 304})

log = logging.getLogger(__name__)


class Forwarder:
    """Serve requests with the backend servers that are assigned."""

    def __init__(
        self, dispatcher: pykka.ActorRef[Any], time: clock.Clock
    ) -> None:
        self._dispatcher = dispatcher
        self._time = time

    def serve(
        self, request: caller.CallerRequest, arrived_at_ms: int
    ) -> caller.Reply:
        """Return the answer to a request."""
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
            return caller.failure(
                503, 'overloaded', request.request_id, STARVED_RETRY_MS
            )
        match decision:
            case messages.Rejected(status, reason, retry_after_ms):
                return caller.failure(
                    status, reason, request.request_id, retry_after_ms
                )
            case messages.Assigned() as assigned:
                exchange = _Exchange(
                    self._dispatcher, self._time, request, assigned
                )
                return exchange.run(arrived_at_ms)


class _Exchange:
    """Carry one admitted request to its end."""

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

    def run(self, arrived_at_ms: int) -> caller.Reply:
        """Try servers until one answers or no attempt is left."""
        try:
            reply = self._run()
        except BaseException:
            self._finish(outcomes.CallerLeft(), None)
            raise
        log.info(
            'request ended',
            extra={
                'request_id': self._request.request_id,
                'route': self._assigned.route.name,
                'server': self._assigned.server.server_id,
                'attempts': self._assigned.attempt,
                'status': reply.status,
                'took_ms': self._time.now_ms() - arrived_at_ms,
            },
        )
        return reply

    def _run(self) -> caller.Reply:
        while True:
            result, reply, used = self._attempt()
            if outcomes.may_have_run(result):
                self._may_have_run = True
            if _is_final(result):
                self._finish(result, used)
                return reply or self._failure(result)
            if used is not None:
                used.close()
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
                    return reply or self._failure(result, retry_after_ms)

    def _attempt(
        self,
    ) -> tuple[
        outcomes.AttemptResult,
        caller.Reply | None,
        connection.BackendConnection | None,
    ]:
        """Try one server; the reply is there if the server answered."""
        if self._hangup.caller_disconnected():
            return outcomes.CallerLeft(), None, None
        started_ms = self._time.now_ms()
        try:
            used = self._assigned.connection or self._connect()
        except backend_errors.ConnectFailed as error:
            return outcomes.NotConnected(str(error)), None, None
        try:
            result, reply = self._exchange(used, started_ms)
        except backend_errors.CallerDisconnected:
            used.close()
            return outcomes.CallerLeft(), None, None
        except backend_errors.AnswerTimedOut:
            used.close()
            took_ms = self._time.now_ms() - started_ms
            return outcomes.TimedOut(took_ms), None, None
        except backend_errors.ExchangeBroken as error:
            used.close()
            took_ms = self._time.now_ms() - started_ms
            reason = str(error) or type(error).__name__
            return outcomes.Broken(took_ms, reason), None, None
        except BaseException:
            used.close()
            raise
        return result, reply, used

    def _connect(self) -> connection.BackendConnection:
        left_ms = self._assigned.ends_at_ms - self._time.now_ms()
        if left_ms <= 0:
            raise backend_errors.ConnectFailed('the deadline has passed')
        return connection.BackendConnection(
            self._assigned.server.address,
            min(left_ms, CONNECT_TIMEOUT_MS),
            self._time,
        )

    def _exchange(
        self, used: connection.BackendConnection, started_ms: int
    ) -> tuple[outcomes.AttemptResult, caller.Reply | None]:
        ends_at_ms = self._assigned.ends_at_ms
        left_ms = max(1, ends_at_ms - self._time.now_ms())
        limit = connection.TimeLimit(ends_at_ms, left_ms)
        whole = connection.BufferedRequest(
            method=self._request.method,
            target=self._request.target,
            headers=caller.forwarded_headers(
                self._request, self._assigned.server.server_id, left_ms
            ),
            body=self._request.body,
            id_header=wire.REQUEST_ID,
            request_id=self._request.request_id,
        )
        answer = used.exchange_buffered(whole, limit, self._watch())
        body = b''.join(answer.body())
        latency_ms = self._time.now_ms() - started_ms
        result = server_responses.classify(
            answer.status, answer.headers, latency_ms
        )
        match result:
            case outcomes.Answered():
                return result, self._reply(answer, body)
            case _:
                return result, None

    def _watch(self) -> connection.DisconnectWatcher | None:
        match self._assigned.route.kind:
            case model.Idempotent():
                return self._hangup
            case model.NonIdempotent() | model.Upload():
                # Work that was begun ends, since nobody can say how much
                # of it was done.
                return None

    def _reply(self, answer: connection.Response, body: bytes) -> caller.Reply:
        headers = [
            (name, value)
            for name, value in responses.end_to_end_headers(answer.headers)
            if name.lower() not in ('content-length', 'date', 'server')
        ]
        length = str(len(body))
        if self._request.method == 'HEAD':
            length = answer.headers.get('Content-Length', length)
        if answer.status not in BODYLESS_STATUSES:
            headers.append(('Content-Length', length))
        return caller.Reply(answer.status, tuple(headers), body)

    def _failure(
        self,
        result: outcomes.AttemptResult,
        retry_after_ms: int | None = None,
    ) -> caller.Reply:
        match result:
            case outcomes.TimedOut():
                status, reason = 504, 'no answer in time'
            case _ if self._may_have_run:
                status, reason = 502, 'the backend server gave no answer'
            case _:
                return caller.failure(
                    503,
                    'no backend server took the request',
                    self._request.request_id,
                    retry_after_ms,
                )
        return caller.failure(status, reason, self._request.request_id)

    def _finish(
        self,
        result: outcomes.AttemptResult,
        used: connection.BackendConnection | None,
    ) -> None:
        self._dispatcher.tell(
            messages.Finished(self._assigned.ticket, result, used)
        )


def _is_final(result: outcomes.AttemptResult) -> bool:
    """Return whether another attempt makes no sense."""
    match result:
        case outcomes.Answered(status):
            return status < outcomes.SERVER_ERROR_STATUS
        case outcomes.CallerLeft():
            return True
        case _:
            return False
