"""Actor that assigns backend servers to requests."""

import collections
import dataclasses
import logging
import random
from typing import Any

import pykka

from cardamomdeal.admission import turning_away
from cardamomdeal.admission import waiting
from cardamomdeal.backend import connection
from cardamomdeal.backend import idle_connections
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import retry_budget
from cardamomdeal.balancing import server_selection
from cardamomdeal.balancing import server_views
from cardamomdeal.entry import admission_gate
from cardamomdeal.entry import messages
from cardamomdeal.entry import quota_gate
from cardamomdeal.entry import server_tracker
from cardamomdeal.fleet import model
from cardamomdeal.fleet import routes
from cardamomdeal.internal import actor
from cardamomdeal.internal import clock
from cardamomdeal.internal import deferred
from cardamomdeal.internal import scheduler
from cardamomdeal.settings import model as settings_model
from cardamomdeal.telemetry import histograms
from cardamomdeal.workspaces import authentication
from cardamomdeal.workspaces import model as workspace_model
from cardamomdeal.workspaces import proof
from cardamomdeal.workspaces import token_holder

TICK_INTERVAL_MS = 1_000
# A host that has just started gets its configuration within this time.
NO_CONFIGURATION_RETRY_AFTER_MS = 300
# A process that was starved of CPU for seconds does not recover sooner.
LATE_RETRY_AFTER_MS = 1_000
# The other hosts take requests at once.
STOPPING_RETRY_AFTER_MS = 0
# A server cannot complete a request in less time.
MIN_REMAINING_MS = 20
# Attempts that did not reach a server use up neither the attempts of the
# route nor the retry budget, so they have a limit of their own.
MAX_UNSENT_ATTEMPTS = 6
DEFAULT_TIMEOUT_MS = 30_000
# Weights in the fair shares of a service.
DEFAULT_WEIGHT = 1.0
MIN_WEIGHT = 0.01

log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Request:
    """State of a request from its admission until it ends."""

    admission_id: int
    admit: messages.Admit
    route: model.Route
    service: str
    deadline_at_ms: int
    # None if the request needs no key.
    workspace: workspace_model.Workspace | None
    # Whether the configuration had workspaces at any attempt.
    withholds_key: bool
    # None until a server is assigned.
    attempt: server_tracker.Attempt | None = None
    tried_servers: set[model.Incarnation] = dataclasses.field(
        default_factory=set
    )
    # Token of the workspace's quota, if it has one.
    token: token_holder.Token | None = None
    may_have_run: bool = False
    sent_attempts: int = 1
    unsent_attempts: int = 0
    # None unless it was sent while room was short.
    expected: admission_gate.Expectation | None = None
    # Why the attempt before was not the last, if this is a repeat.
    repeat_reason: str | None = None
    # Delivers the decision if the request has to wait for it.
    reply: deferred.Deferred[messages.Assigned | messages.Rejected] | None = (
        None
    )

    @property
    def priority(self) -> int:
        """Return the priority of the workspace, else that of the route."""
        if self.workspace is None or self.workspace.priority is None:
            return self.route.priority
        return self.workspace.priority

    def demand(self) -> waiting.Demand:
        """Return what the request asks of its service."""
        aim_ms = self.route.target_latency_ms
        aim_at_ms = self.deadline_at_ms
        if aim_ms is not None:
            aim_at_ms = min(aim_at_ms, self.admit.arrived_at_ms + aim_ms)
        quota = self.workspace and self.workspace.quota
        return waiting.Demand(
            self.admission_id,
            self.admit.request_id,
            self.priority,
            self.workspace and self.workspace.name,
            max(MIN_WEIGHT, quota.rate_per_s) if quota else DEFAULT_WEIGHT,
            self.admit.body_bytes,
            aim_at_ms,
            self.deadline_at_ms - MIN_REMAINING_MS,
        )


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
        self._proof = proof.ConfigurationProof(settings.bounds)
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
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = (
            collections.defaultdict(
                lambda: retry_budget.RetryBudget(
                    self._settings.bounds, self._rng
                )
            )
        )
        self._requests: dict[int, _Request] = {}
        self._is_stopping = False
        self._next_admission_id = 1
        self._counters: collections.Counter[str] = collections.Counter()
        self._gate = admission_gate.AdmissionGate(
            self._servers, self._counters
        )
        self._admission = self._gate.control
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
                self._quotas.set_routes(table)
            case messages.ProofUpdated(newer):
                self._proof.record_applied(newer.revision)
                self._proof.record(newer)
            case messages.ServersUpdated(servers, host_count):
                self._servers.update_servers(servers, host_count)
            case messages.PeerReports(reports):
                for report in reports:
                    self._servers.record_peer_report(report)
            case messages.SettingsUpdated(settings):
                self._settings = settings
                self._proof.set_bounds(settings.bounds)
                self._quotas.set_settings(settings)
                for budget in self._retry_budgets.values():
                    budget.set_bounds(settings.bounds)
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
        age_ms = self._proof.age_ms(self._time.now_ms())
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
        match self._authenticate(admit, route):
            case workspace_model.Unrestricted():
                workspace = None
            case workspace_model.Authenticated(workspace):
                pass
            case workspace_model.Unauthenticated(reason):
                return self._reject(admit, 401, reason)
            case workspace_model.Unproven(reason, retry_after_ms):
                return self._reject(admit, 503, reason, retry_after_ms)
        now_ms = self._time.now_ms()
        deadline_at_ms = _deadline_at_ms(route, admit)
        if deadline_at_ms - now_ms < MIN_REMAINING_MS:
            return self._reject(admit, 503, 'no time is left', 0)
        service = routes.choose_service(route, self._rng)
        self._retry_budgets[service].record_request(
            now_ms, self._servers.host_count
        )
        request = _Request(
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

    def _check_quota(self, request: _Request) -> messages.Decision:
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
        self, request: _Request, outcome: token_holder.Outcome
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

    def _place_first(self, request: _Request) -> messages.Decision:
        """Count a request that its service is to run, and place it."""
        self._servers.record_request(request.service)
        if self._settings.admission_control:
            self._admission.record_arrival(
                request.service, request.priority, self._time.now_ms()
            )
        return self._place(request)

    def _authenticate(
        self, admit: messages.Admit, route: model.Route
    ) -> workspace_model.Authentication:
        """Return whose request this is, as far as that is known now."""
        assert self._routes is not None
        result = authentication.authenticate(
            self._routes.key_index, route.is_public, admit.credentials
        )
        match result:
            case workspace_model.Unrestricted():
                return result
            case _:
                # Without a proof even a refusal of the key may be out of date.
                return self._proof.check(self._time.now_ms()) or result

    def _authenticate_again(
        self, request: _Request
    ) -> workspace_model.Unauthenticated | workspace_model.Unproven | None:
        """Return why a request that was admitted may run no more, if so.

        A configuration may have taken its key away, or given it to another
        workspace.
        """
        assert self._routes is not None
        request.withholds_key |= self._routes.key_index is not None
        match self._authenticate(request.admit, request.route):
            case workspace_model.Unrestricted():
                request.workspace = None
            case workspace_model.Authenticated(workspace):
                request.workspace = workspace
            case (
                workspace_model.Unauthenticated() | workspace_model.Unproven()
            ) as refusal:
                return refusal
        return None

    def _place(self, request: _Request) -> messages.Decision:
        """Assign a server to a request that may run now, or reject it."""
        if request.reply is not None:
            # Its key may have been taken away while it waited.
            match self._authenticate_again(request):
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
        self, request: _Request, now_ms: int
    ) -> messages.Assigned | messages.Rejected:
        """Assign a server now, or reject the request."""
        view = self._select_server(request, now_ms)
        if view is None:
            return self._end_unassigned(
                request,
                503,
                f'{request.service} has no server that takes requests',
                self._servers.retry_after_ms(request.service, now_ms),
            )
        return self._assign(request, view)

    def _decide_admission(
        self, request: _Request, now_ms: int
    ) -> turning_away.Decision:
        if not self._settings.admission_control:
            return turning_away.Run()
        decision, request.expected = self._gate.decide(
            request.service,
            request.demand(),
            now_ms,
        )
        return decision

    def _hold(self, request: _Request, now_ms: int) -> messages.Waiting:
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
        self, request: _Request, now_ms: int
    ) -> messages.Assigned | messages.Rejected:
        """Check a request once more after its wait, and send it."""
        rejected = self._recheck(request)
        if rejected is not None:
            del self._requests[request.admission_id]
            self._return_token(request)
            return rejected
        if request.repeat_reason is not None:
            reason = self._no_budget_reason(request, now_ms)
            if reason is not None:
                return self._end_unassigned(request, 503, reason, 0)
            self._counters['repeats'] += 1
        return self._send(request, now_ms)

    def _recheck(self, request: _Request) -> messages.Rejected | None:
        """Reject a request that the present configuration forbids."""
        assert self._routes is not None
        admit = request.admit
        route = self._routes.find(admit.hostname, admit.path)
        if route is None:
            return self._reject(admit, 404, 'no route for this path')
        match self._authenticate(admit, route):
            case workspace_model.Unauthenticated(reason):
                return self._reject(admit, 401, reason)
            case workspace_model.Unproven(reason, retry_after_ms):
                return self._reject(admit, 503, reason, retry_after_ms)
        request.route = route
        self._authenticate_again(request)
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
        request: _Request,
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

    def _return_token(self, request: _Request) -> None:
        """Return the token of a request that ended without being run."""
        token, request.token = request.token, None
        if token is not None and not request.may_have_run:
            self._quotas.give_back(token)

    def _defer(self, request: _Request) -> messages.Waiting:
        """Let the caller's thread wait until `_resume` decides."""
        if request.reply is None:
            request.reply = deferred.Deferred()
        return messages.Waiting(
            request.admission_id, request.reply, request.deadline_at_ms
        )

    def _resume(
        self,
        request: _Request,
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
                'proof_age_ms': self._proof.age_ms(self._time.now_ms()),
                **(details or {}),
            },
        )
        return messages.Rejected(status, reason, retry_after_ms)

    def _select_server(
        self, request: _Request, now_ms: int
    ) -> server_views.ServerView | None:
        service = request.service
        max_idle_ms = self._max_idle_ms(request.route, now_ms)
        candidates = [
            self._servers.candidate(view, max_idle_ms, now_ms)
            for view in self._servers.views_of(service)
            if view.server.incarnation not in request.tried_servers
        ]
        if self._settings.admission_control:
            candidates = self._gate.feasible(
                service,
                request.priority,
                request.route.kind,
                candidates,
                now_ms,
            )
        selection = server_selection.select(
            candidates,
            server_selection.SelectionContext(
                self._settings.place.data_centre,
                self._servers.service_health(
                    service, self._settings.bounds.capacity_floor, now_ms
                ),
                _is_retryable(request.route) and not request.tried_servers,
                now_ms,
            ),
            self._rng,
        )
        if selection is None:
            return None
        selected = selection.candidate
        log.info(
            'server selected',
            extra={
                'request_id': request.admit.request_id,
                'service': service,
                'server': selected.server.server_id,
                'in_flight': selected.in_flight,
                'load': selected.load and dataclasses.astuple(selected.load),
                'load_age_ms': selected.load and now_ms - selected.load_at_ms,
                'eligible_servers': selection.trusted_count,
                'servers': selection.usable_count,
                'second_chance': selection.is_probe,
                'hosts': self._servers.host_count,
                'workspace': request.workspace and request.workspace.name,
            },
        )
        return self._servers.find(selected.server.incarnation)

    def _max_idle_ms(self, route: model.Route, now_ms: int) -> int:
        match route.kind:
            case model.Idempotent():
                return idle_connections.MAX_IDLE_MS
            case model.NonIdempotent() | model.Upload():
                # An idle connection may have been dropped silently, and
                # the request could not be retried.
                return self._servers.reuse_limit_ms(now_ms)

    def _assign(
        self, request: _Request, view: server_views.ServerView
    ) -> messages.Assigned:
        """Send the next attempt of a request to a server."""
        request.tried_servers.add(view.server.incarnation)
        max_idle_ms = self._max_idle_ms(request.route, self._time.now_ms())
        reused = self._servers.start_attempt(view, max_idle_ms)
        request.attempt = server_tracker.Attempt(
            request.admit.request_id,
            request.service,
            view,
            reused.idle_ms if reused else None,
        )
        self._counters['attempts'] += 1
        self._counters['connections_reused'] += reused is not None
        return messages.Assigned(
            request.admission_id,
            request.route,
            view.server,
            reused.connection if reused else None,
            request.deadline_at_ms,
            request.sent_attempts + request.unsent_attempts,
            request.workspace and request.workspace.name,
            request.withholds_key,
        )

    def _retry(
        self, admission_id: int, result: outcomes.AttemptResult
    ) -> messages.RetryDecision:
        request = self._requests[admission_id]
        self._record_result(request, result)
        self._fill_freed_slot(request.service, result)
        now_ms = self._time.now_ms()
        refusal = self._authenticate_again(request)
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
            reason = self._no_retry_reason(request, result)
        if reason is None:
            view = self._select_server(request, self._time.now_ms())
            if view is not None:
                self._counters['repeats'] += 1
                return self._assign(request, view)
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
        request: _Request,
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

    def _no_retry_reason(
        self, request: _Request, result: outcomes.AttemptResult
    ) -> str | None:
        now_ms = self._time.now_ms()
        if request.deadline_at_ms - now_ms < MIN_REMAINING_MS:
            return 'not enough time left for an attempt'
        match result:
            case outcomes.NotConnected():
                # No server received the request, so the next attempt does not
                # count as a retry.
                request.unsent_attempts += 1
                if request.unsent_attempts >= MAX_UNSENT_ATTEMPTS:
                    return 'too many servers unreachable'
                return None
            case _ if outcomes.may_have_run(result):
                match request.route.kind:
                    case model.NonIdempotent() | model.Upload():
                        return 'the request may have run'
        return self._no_budget_reason(request, now_ms)

    def _no_budget_reason(self, request: _Request, now_ms: int) -> str | None:
        """Spend one retry, or return why there is none."""
        if request.sent_attempts >= request.route.max_attempts:
            return 'no attempts left'
        if not self._retry_budgets[request.service].try_spend(
            now_ms, self._servers.host_count
        ):
            return 'retry budget exhausted'
        request.sent_attempts += 1
        return None

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
        self, request: _Request, result: outcomes.AttemptResult
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


def _deadline_at_ms(route: model.Route, admit: messages.Admit) -> int:
    timeouts_ms = [
        timeout_ms
        for timeout_ms in (route.timeout_ms, admit.deadline_ms)
        if timeout_ms is not None
    ]
    return admit.arrived_at_ms + min(timeouts_ms, default=DEFAULT_TIMEOUT_MS)


def _is_retryable(route: model.Route) -> bool:
    match route.kind:
        case model.Idempotent():
            return route.max_attempts > 1
        case model.NonIdempotent() | model.Upload():
            return False
