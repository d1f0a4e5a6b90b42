"""Actor that assigns backend servers to requests."""

import collections
import logging
import random
from typing import Any

import pykka

from cardamomdeal.admission import turning_away
from cardamomdeal.admission import waiting
from cardamomdeal.backend import connection
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import server_views
from cardamomdeal.entry import admission_gate
from cardamomdeal.entry import authentication_gate
from cardamomdeal.entry import messages
from cardamomdeal.entry import open_request
from cardamomdeal.entry import quota_gate
from cardamomdeal.entry import retry_rules
from cardamomdeal.entry import server_assignment
from cardamomdeal.entry import server_tracker
from cardamomdeal.fleet import routes
from cardamomdeal.internal import actor
from cardamomdeal.internal import clock
from cardamomdeal.internal import deferred
from cardamomdeal.internal import scheduler
from cardamomdeal.settings import model as settings_model
from cardamomdeal.telemetry import histograms
from cardamomdeal.workspaces import model as workspace_model
from cardamomdeal.workspaces import token_holder

TICK_INTERVAL_MS = 1_000
# A host that has just started gets its configuration within this time.
NO_CONFIGURATION_RETRY_AFTER_MS = 300
# A process that was starved of CPU for seconds does not recover sooner.
LATE_RETRY_AFTER_MS = 1_000
# The other hosts take requests at once.
STOPPING_RETRY_AFTER_MS = 0

log = logging.getLogger(__name__)


class Dispatcher(actor.Actor):
    """Actor that decides which server runs a request, and when."""

    def __init__(
        self,
        settings: settings_model.EntrySettings,
        synchronizer: pykka.ActorRef[Any],
        time: clock.Clock,
        timers: scheduler.Scheduler,
    ) -> None:
        super().__init__()
        self._timers = timers
        self._settings = settings
        self._synchronizer = synchronizer
        self._time = time
        self._rng = random.Random()
        self._routes: routes.RouteTable | None = None
        self._authentication = authentication_gate.AuthenticationGate(
            settings, time
        )
        self._is_release_scheduled = False
        self._servers = server_tracker.ServerTracker(synchronizer, time)
        self._quotas = quota_gate.QuotaGate(
            self.actor_ref,
            settings,
            synchronizer,
            time,
            timers,
            self._resume_after_quota,
        )
        self._retries = retry_rules.RetryRules(
            settings, self._servers, time, self._rng
        )
        self._requests: dict[int, open_request.OpenRequest] = {}
        self._is_stopping = False
        self._next_admission_id = 1
        self._counters: collections.Counter[str] = collections.Counter()
        self._gate = admission_gate.AdmissionGate(
            self._servers, self._counters
        )
        self._admission = self._gate.control
        self._assignment = server_assignment.ServerAssignment(
            settings,
            self._servers,
            self._gate,
            self._counters,
            time,
            self._rng,
        )
        self._histograms = histograms.LatencyHistograms()

    def on_start(self) -> None:
        """Schedule the closing of expired idle connections."""
        self._timers.every(self.actor_ref, messages.Tick(), TICK_INTERVAL_MS)

    def on_stop(self) -> None:
        """Close every idle connection."""
        self._servers.close()

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.Admit():
                return self._admit(message)
            case messages.Retry(admission_id, result):
                return self._retry(admission_id, result)
            case messages.Finished(admission_id, result, server_connection):
                self._finish(admission_id, result, server_connection)
            case messages.Withdraw(admission_id):
                self._withdraw(admission_id)
            case messages.StopAdmitting():
                self._is_stopping = True
                self._quotas.stop()
                self._refuse_waiting()
                log.info(
                    'new requests are refused from now on',
                    extra={'in_flight': len(self._requests)},
                )
            case messages.RoutesUpdated(table):
                self._routes = table
                self._authentication.set_routes(table)
                self._quotas.set_routes(table)
            case messages.ProofUpdated(newer):
                self._authentication.record_proof(newer)
            case messages.ServersUpdated(servers, host_count):
                self._servers.update_servers(servers, host_count)
            case messages.PeerReports(reports):
                for report in reports:
                    self._servers.record_peer_report(report)
            case messages.SettingsUpdated(settings):
                self._settings = settings
                for part in (
                    self._authentication,
                    self._quotas,
                    self._retries,
                    self._assignment,
                ):
                    part.set_settings(settings)
            case (
                messages.HostsSeen()
                | messages.QuotaDatagram()
                | messages.FlushQuotas()
                | messages.WakeQuotas()
                | messages.ResumeRequests()
            ):
                self._quotas.receive(message)
            case messages.ReleaseDue():
                self._is_release_scheduled = False
                self._release_all()
            case messages.Tick():
                self._servers.close_expired_connections()
            case messages.GetMetrics():
                return messages.Metrics(
                    {
                        **self.counters(),
                        **self._gauges(),
                        **self._quotas.metrics(),
                    },
                    self._histograms.encode(),
                )
        return None

    def _gauges(self) -> dict[str, int]:
        age_ms = self._authentication.proof_age_ms()
        return {} if age_ms is None else {'proof.age_ms': age_ms}

    def counters(self) -> collections.Counter[str]:
        """Return the counts of events, and of requests that wait now."""
        counters = self._counters.copy()
        counters['waiting_now'] = self._admission.waiting_count
        return counters

    def _admit(self, admit: messages.Admit) -> messages.Decision:
        until_ms = admit.asked_until_ms
        if until_ms is not None and self._time.now_ms() > until_ms:
            return self._reject(admit, 503, 'overloaded', LATE_RETRY_AFTER_MS)
        if self._is_stopping:
            # The process would exit before the server has answered.
            return self._reject(
                admit, 503, 'this host is stopping', STOPPING_RETRY_AFTER_MS
            )
        if self._routes is None:
            return self._reject(
                admit,
                503,
                'no configuration yet',
                NO_CONFIGURATION_RETRY_AFTER_MS,
            )
        route = self._routes.find(admit.hostname, admit.path)
        if route is None:
            return self._reject(admit, 404, 'no route for this path')
        match self._authentication.authenticate(admit, route):
            case workspace_model.Unrestricted():
                workspace = None
            case workspace_model.Authenticated(workspace):
                pass
            case workspace_model.Unauthenticated(reason):
                return self._reject(admit, 401, reason)
            case workspace_model.Unproven(reason, retry_after_ms):
                return self._reject(admit, 503, reason, retry_after_ms)
        now_ms = self._time.now_ms()
        deadline_at_ms = open_request.deadline_at_ms(route, admit)
        if deadline_at_ms - now_ms < open_request.MIN_REMAINING_MS:
            return self._reject(admit, 503, 'no time is left', 0)
        service = routes.choose_service(route, self._rng)
        self._retries.record_request(service)
        request = open_request.OpenRequest(
            self._next_admission_id,
            admit,
            route,
            service,
            deadline_at_ms,
            workspace,
            self._routes.key_index is not None,
        )
        self._next_admission_id += 1
        self._requests[request.admission_id] = request
        try:
            return self._check_quota(request)
        except Exception:
            self._withdraw(request.admission_id)
            raise

    def _check_quota(
        self, request: open_request.OpenRequest
    ) -> messages.Decision:
        """Place a request if its workspace's quota permits, or reject it."""
        outcome = self._quotas.admit(request.admission_id, request.workspace)
        match outcome:
            case None:
                return self._place_first(request)
            case token_holder.Asked():
                return self._defer(request)
            case _:
                return self._after_quota(request, outcome)

    def _after_quota(
        self, request: open_request.OpenRequest, outcome: token_holder.Outcome
    ) -> messages.Decision:
        quota = request.workspace and request.workspace.quota
        details = {
            'workspace': request.workspace and request.workspace.name,
            'rate_per_s': quota and quota.rate_per_s,
            'burst': quota and quota.burst,
        }
        match outcome:
            case token_holder.Granted(token):
                request.token = token
                return self._place_first(request)
            case token_holder.OverLimit(retry_after_ms, lender, age_ms):
                details |= {'lender': lender, 'age_ms': age_ms, 'tokens': 0}
                return self._end_unassigned(
                    request, 429, 'over the quota', retry_after_ms, details
                )
            case token_holder.NoLender(retry_after_ms):
                return self._end_unassigned(
                    request,
                    503,
                    'no host lends the quota',
                    retry_after_ms,
                    details,
                )

    def _resume_after_quota(
        self, admission_id: int, outcome: token_holder.Outcome
    ) -> None:
        """Go on with a request that has waited for its quota."""
        request = self._requests.get(admission_id)
        if request is None:
            match outcome:
                case token_holder.Granted(token):
                    self._quotas.give_back(token)
            return
        match self._after_quota(request, outcome):
            case messages.Waiting():
                # It waits on, for another reason.
                pass
            case decision:
                self._resume(request, decision)

    def _place_first(
        self, request: open_request.OpenRequest
    ) -> messages.Decision:
        """Count a request that its service is to run, and place it."""
        self._servers.record_request(request.service)
        if self._settings.admission_control:
            self._admission.record_arrival(
                request.service, request.priority, self._time.now_ms()
            )
        return self._place(request)

    def _place(self, request: open_request.OpenRequest) -> messages.Decision:
        """Assign a server to a request that may run now, or reject it."""
        if request.reply is not None:
            # Its key may have been taken away while it waited.
            match self._authentication.authenticate_again(request):
                case workspace_model.Unauthenticated(reason):
                    return self._end_unassigned(request, 401, reason)
                case workspace_model.Unproven(reason, retry_after_ms):
                    return self._end_unassigned(
                        request, 503, reason, retry_after_ms
                    )
        now_ms = self._time.now_ms()
        match self._decide_admission(request, now_ms):
            case turning_away.Wait() if self._is_stopping:
                # The requests that wait have been refused already.
                return self._end_unassigned(
                    request,
                    503,
                    'this host is stopping',
                    STOPPING_RETRY_AFTER_MS,
                )
            case turning_away.Wait():
                return self._hold(request, now_ms)
            case turning_away.Refuse(reason, retry_after_ms):
                return self._end_unassigned(
                    request, 503, reason, retry_after_ms
                )
        return self._send(request, now_ms)

    def _send(
        self, request: open_request.OpenRequest, now_ms: int
    ) -> messages.Assigned | messages.Rejected:
        """Assign a server now, or reject the request."""
        view = self._assignment.select(request, now_ms)
        if view is None:
            return self._end_unassigned(
                request,
                503,
                f'{request.service} has no server that takes requests',
                self._servers.retry_after_ms(request.service, now_ms),
            )
        return self._assignment.assign(request, view)

    def _decide_admission(
        self, request: open_request.OpenRequest, now_ms: int
    ) -> turning_away.Decision:
        if not self._settings.admission_control:
            return turning_away.Run()
        decision, request.expected = self._gate.decide(
            request.service,
            request.demand(),
            now_ms,
        )
        return decision

    def _hold(
        self, request: open_request.OpenRequest, now_ms: int
    ) -> messages.Waiting:
        """Let a request wait for a slot."""
        decision = self._defer(request)
        displaced = self._gate.hold(
            request.service, request.demand(), request.expected, now_ms
        )
        if displaced is not None:
            self._reject_waiting(
                displaced.admission_id,
                'a more urgent request waits',
                waiting.RELEASE_INTERVAL_MS,
            )
        self._schedule_release()
        return decision

    def _schedule_release(self) -> None:
        if not self._is_release_scheduled:
            self._is_release_scheduled = True
            self._timers.after(
                self.actor_ref,
                messages.ReleaseDue(),
                waiting.RELEASE_INTERVAL_MS,
            )

    def _release_all(self) -> None:
        """Release the requests whose turn has come."""
        now_ms = self._time.now_ms()
        for service in self._admission.services_waited_for():
            for held in self._admission.pop_expired(service, now_ms):
                self._reject_waiting(
                    held.demand.admission_id,
                    'no room in time',
                    self._servers.retry_after_ms(service, now_ms),
                )
            self._release(service, now_ms)
        if self._admission.waiting_count:
            self._schedule_release()

    def _release(
        self,
        service: str,
        now_ms: int,
        freed_slot: outcomes.Load | None = None,
    ) -> None:
        """Send the request that is due first, if its turn has come."""
        held = self._gate.release(service, now_ms, freed_slot)
        if held is not None:
            request = self._requests[held.demand.admission_id]
            self._resume(request, self._decide_released(request, now_ms))

    def _decide_released(
        self, request: open_request.OpenRequest, now_ms: int
    ) -> messages.Assigned | messages.Rejected:
        """Check a request once more after its wait, and send it."""
        rejected = self._recheck(request)
        if rejected is not None:
            del self._requests[request.admission_id]
            self._return_token(request)
            return rejected
        if request.repeat_reason is not None:
            reason = self._retries.no_budget_reason(request, now_ms)
            if reason is not None:
                return self._end_unassigned(request, 503, reason, 0)
            self._counters['repeats'] += 1
        return self._send(request, now_ms)

    def _recheck(
        self, request: open_request.OpenRequest
    ) -> messages.Rejected | None:
        """Reject a request that the present configuration forbids."""
        assert self._routes is not None
        admit = request.admit
        route = self._routes.find(admit.hostname, admit.path)
        if route is None:
            return self._reject(admit, 404, 'no route for this path')
        match self._authentication.authenticate(admit, route):
            case workspace_model.Unauthenticated(reason):
                return self._reject(admit, 401, reason)
            case workspace_model.Unproven(reason, retry_after_ms):
                return self._reject(admit, 503, reason, retry_after_ms)
        request.route = route
        self._authentication.authenticate_again(request)
        if request.service not in {t.service for t in route.targets}:
            return self._reject(
                admit, 503, 'the route has changed', STOPPING_RETRY_AFTER_MS
            )
        return None

    def _refuse_waiting(self) -> None:
        """Reject all waiting requests; no server has seen them."""
        for admission_id in self._admission.waiting_ids():
            self._admission.remove(
                self._requests[admission_id].service, admission_id
            )
            self._reject_waiting(
                admission_id, 'this host is stopping', STOPPING_RETRY_AFTER_MS
            )

    def _reject_waiting(
        self, admission_id: int, reason: str, retry_after_ms: int
    ) -> None:
        request = self._requests[admission_id]
        self._resume(
            request,
            self._end_unassigned(request, 503, reason, retry_after_ms),
        )

    def _end_unassigned(
        self,
        request: open_request.OpenRequest,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
        details: dict[str, Any] | None = None,
    ) -> messages.Rejected:
        """Reject a request that was admitted but not sent to any server."""
        del self._requests[request.admission_id]
        self._return_token(request)
        return self._reject(
            request.admit, status, reason, retry_after_ms, details
        )

    def _return_token(self, request: open_request.OpenRequest) -> None:
        """Return the token of a request that ended without being run."""
        token, request.token = request.token, None
        if token is not None and not request.may_have_run:
            self._quotas.give_back(token)

    def _defer(self, request: open_request.OpenRequest) -> messages.Waiting:
        """Let the caller's thread wait until `_resume` decides."""
        if request.reply is None:
            request.reply = deferred.Deferred()
        return messages.Waiting(
            request.admission_id, request.reply, request.deadline_at_ms
        )

    def _resume(
        self,
        request: open_request.OpenRequest,
        decision: messages.Assigned | messages.Rejected,
    ) -> None:
        """Deliver the decision on a request that was deferred."""
        reply, request.reply = request.reply, None
        if reply is None or not reply.set(decision):
            # No thread waits for it, or it has withdrawn meanwhile.
            self._withdraw(request.admission_id)
            match decision:
                case messages.Assigned(connection=unused) if unused:
                    unused.close()

    def _withdraw(self, admission_id: int) -> None:
        """End a request whose caller has left or whose wait was too long."""
        request = self._requests.pop(admission_id, None)
        if request is not None:
            self._admission.remove(request.service, admission_id)
        if request is not None and request.attempt is not None:
            # A server was assigned while the message was on its way.
            self._servers.record_result(request.attempt, outcomes.CallerLeft())
        if request is not None:
            self._quotas.withdraw(admission_id, request.workspace)
            self._return_token(request)

    def _reject(
        self,
        admit: messages.Admit,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
        details: dict[str, Any] | None = None,
    ) -> messages.Rejected:
        self._counters[f'rejected.{status}'] += 1
        log.info(
            'request rejected',
            extra={
                'request_id': admit.request_id,
                'status': status,
                'reason': reason,
                'configuration': self._routes and self._routes.version,
                'proof_age_ms': self._authentication.proof_age_ms(),
                **(details or {}),
            },
        )
        return messages.Rejected(status, reason, retry_after_ms)

    def _retry(
        self, admission_id: int, result: outcomes.AttemptResult
    ) -> messages.RetryDecision:
        request = self._requests[admission_id]
        self._record_result(request, result)
        self._fill_freed_slot(request.service, result)
        now_ms = self._time.now_ms()
        refusal = self._authentication.authenticate_again(request)
        if refusal is not None:
            reason = refusal.reason
        else:
            match self._decide_repeat(request, result, now_ms):
                case turning_away.Wait():
                    request.attempt = None
                    request.repeat_reason = type(result).__name__
                    return self._hold(request, now_ms)
                case turning_away.Refuse(reason, retry_after_ms):
                    del self._requests[admission_id]
                    self._return_token(request)
                    return messages.NoRetry(reason, retry_after_ms)
            reason = self._retries.no_retry_reason(request, result)
        if reason is None:
            view = self._assignment.select(request, self._time.now_ms())
            if view is not None:
                self._counters['repeats'] += 1
                return self._assignment.assign(request, view)
            reason = 'no other server available'
        retry_after_ms = server_views.QUEUE_FULL_BACKOFF_MS
        if not self._servers.has_accepting_server(request.service):
            retry_after_ms = self._servers.retry_after_ms(
                request.service, self._time.now_ms()
            )
        log.info(
            'request not retried',
            extra={
                'request_id': request.admit.request_id,
                'attempts': request.sent_attempts,
                'reason': reason,
            },
        )
        del self._requests[admission_id]
        self._return_token(request)
        return messages.NoRetry(reason, retry_after_ms)

    def _decide_repeat(
        self,
        request: open_request.OpenRequest,
        result: outcomes.AttemptResult,
        now_ms: int,
    ) -> turning_away.Decision:
        """Return whether a repeat goes out now.

        A full server has rejected the request, and another full one would
        reject it again at the cost of a retry.
        """
        can_repeat = (
            request.sent_attempts < request.route.max_attempts
            and any(
                view.server.incarnation not in request.tried_servers
                for view in self._servers.views_of(request.service)
            )
        )
        match result:
            case outcomes.NotExecuted(load=load) if load and load.is_full:
                if can_repeat and not self._is_stopping:
                    return self._decide_admission(request, now_ms)
        return turning_away.Run()

    def _finish(
        self,
        admission_id: int,
        result: outcomes.AttemptResult,
        server_connection: connection.BackendConnection | None,
    ) -> None:
        request = self._requests.pop(admission_id, None)
        if request is None:
            # It ended while the forwarder waited for a late reply.
            if server_connection is not None:
                server_connection.close()
            return
        # It may have begun to wait after its forwarder had given up.
        self._admission.remove(request.service, admission_id)
        self._record_result(request, result)
        self._return_token(request)
        if server_connection is not None and request.attempt is not None:
            self._servers.keep_connection(
                request.attempt.view.server.incarnation, server_connection
            )
        self._fill_freed_slot(request.service, result)

    def _record_result(
        self, request: open_request.OpenRequest, result: outcomes.AttemptResult
    ) -> None:
        """Record the result of the last attempt of a request."""
        if request.attempt is None:
            return
        request.may_have_run |= outcomes.may_have_run(result)
        self._counters[f'results.{type(result).__name__}'] += 1
        match result:
            case outcomes.Answered(_, latency_ms):
                self._histograms.record(
                    request.service, request.route.name, latency_ms
                )
        self._servers.record_result(request.attempt, result)
        if self._settings.admission_control:
            self._gate.record_result(request.service, request.expected, result)

    def _fill_freed_slot(
        self, service: str, result: outcomes.AttemptResult
    ) -> None:
        """Release a request to the slot that an answer tells of."""
        match result:
            case outcomes.Answered(load=outcomes.Load() as load):
                self._release(service, self._time.now_ms(), load)
