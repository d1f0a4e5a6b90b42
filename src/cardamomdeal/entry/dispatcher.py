"""Actor that assigns backend servers to requests."""

import collections
import dataclasses
import logging
import random
from typing import Any

import pykka

from cardamomdeal.backend import connection
from cardamomdeal.backend import idle_connections
from cardamomdeal.balancing import connection_reuse
from cardamomdeal.balancing import failure_detector
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import probing
from cardamomdeal.balancing import refusal_detector
from cardamomdeal.balancing import retry_budget
from cardamomdeal.balancing import server_selection
from cardamomdeal.balancing import server_views
from cardamomdeal.balancing import service_load
from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.fleet import routes
from cardamomdeal.internal import actor
from cardamomdeal.internal import clock
from cardamomdeal.internal import scheduler
from cardamomdeal.settings import model as settings_model
from cardamomdeal.telemetry import histograms

TICK_INTERVAL_MS = 1_000
# A host that has just started gets its configuration within this time.
NO_CONFIGURATION_RETRY_AFTER_MS = 300
# The servers of a service change within about this time.
NO_SERVER_RETRY_AFTER_MS = 500
# The other hosts take requests at once.
STOPPING_RETRY_AFTER_MS = 0
# A server cannot complete a request in less time.
MIN_REMAINING_MS = 20
# Attempts that did not reach a server use up neither the attempts of the
# route nor the retry budget, so they have a limit of their own.
MAX_UNSENT_ATTEMPTS = 6
DEFAULT_TIMEOUT_MS = 30_000

log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Request:
    """State of an admitted request until it ends."""

    request_id: str
    route: model.Route
    service: str
    deadline_at_ms: int
    view: server_views.ServerView
    tried_servers: set[model.Incarnation]
    sent_attempts: int = 1
    unsent_attempts: int = 0
    # Idle time of the connection that the attempt reuses, None for a new one.
    reused_idle_ms: int | None = None


class Dispatcher(actor.Actor):
    """Actor that owns server state, idle connections and open requests."""

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
        self._views = server_views.ServerViews()
        self._host_count = 1
        self._failure_detector = failure_detector.FailureDetector()
        self._refusal_detector = refusal_detector.RefusalDetector()
        self._retry_budgets: dict[str, retry_budget.RetryBudget] = (
            collections.defaultdict(
                lambda: retry_budget.RetryBudget(
                    self._settings.bounds, self._rng
                )
            )
        )
        self._service_loads: dict[str, service_load.ServiceLoad] = (
            collections.defaultdict(service_load.ServiceLoad)
        )
        self._idle_connections: idle_connections.IdleConnections[
            model.Incarnation
        ] = idle_connections.IdleConnections()
        self._reuse_limit = connection_reuse.ReuseLimit()
        self._requests: dict[int, _Request] = {}
        self._is_stopping = False
        self._next_admission_id = 1
        self._counters: collections.Counter[str] = collections.Counter()
        self._histograms = histograms.LatencyHistograms()

    def on_start(self) -> None:
        """Schedule the closing of expired idle connections."""
        self._timers.every(self.actor_ref, messages.Tick(), TICK_INTERVAL_MS)

    def on_stop(self) -> None:
        """Close every idle connection."""
        self._idle_connections.close_all()

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.Admit():
                return self._admit(message)
            case messages.Retry(admission_id, result):
                return self._retry(admission_id, result)
            case messages.Finished(admission_id, result, server_connection):
                self._finish(admission_id, result, server_connection)
            case messages.StopAdmitting():
                self._is_stopping = True
                log.info(
                    'new requests are refused from now on',
                    extra={'in_flight': len(self._requests)},
                )
            case messages.RoutesUpdated(table):
                self._routes = table
            case messages.ServersUpdated(servers, host_count):
                self._update_servers(servers, host_count)
            case messages.PeerReports(reports):
                for report in reports:
                    self._record_peer_report(report)
            case messages.SettingsUpdated(settings):
                self._settings = settings
                for budget in self._retry_budgets.values():
                    budget.set_bounds(settings.bounds)
            case messages.Tick():
                self._idle_connections.close_expired(self._time.now_ms())
            case messages.GetMetrics():
                return messages.Metrics(
                    dict(self._counters), self._histograms.encode()
                )
        return None

    def _record_peer_report(self, report: messages.PeerReport) -> None:
        match report:
            case messages.PeerReportedFailure():
                self._record_peer_failure(report)
            case messages.PeerReportedRefusal(incarnation):
                self._refusal_detector.record_refusal(
                    incarnation, self._time.now_ms()
                )
            case messages.PeerReportedLoad(incarnation, load):
                view = self._views.find(incarnation)
                if view is not None:
                    view.record_load(load, self._time.now_ms())
            case messages.PeerReportedLeaving(incarnation, host):
                self._mark_leaving(incarnation, seen_by=host)
            case messages.PeerReportedRecovery(incarnation, host):
                self._record_peer_recovery(incarnation, host)

    def _admit(self, admit: messages.Admit) -> messages.Decision:
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
        now_ms = self._time.now_ms()
        deadline_at_ms = _deadline_at_ms(route, admit)
        if deadline_at_ms - now_ms < MIN_REMAINING_MS:
            return self._reject(admit, 503, 'no time is left', 0)
        service = routes.choose_service(route, self._rng)
        self._retry_budgets[service].record_request(now_ms, self._host_count)
        self._service_loads[service].record_request(now_ms)
        view = self._select_server(
            admit.request_id, route, service, set(), now_ms
        )
        if view is None:
            return self._reject(
                admit,
                503,
                f'{service} has no server that takes requests',
                self._retry_after_ms(service, now_ms),
            )
        admission_id = self._next_admission_id
        self._next_admission_id += 1
        request = _Request(
            admit.request_id,
            route,
            service,
            deadline_at_ms,
            view,
            {view.server.incarnation},
        )
        self._requests[admission_id] = request
        return self._assign(admission_id, request)

    def _has_accepting_server(self, service: str) -> bool:
        now_ms = self._time.now_ms()
        return any(
            view.paused_until_ms <= now_ms
            for view in self._views.of_service(service)
        )

    def _retry_after_ms(self, service: str, now_ms: int) -> int:
        """Return when the first server of a service takes requests again."""
        return min(
            (
                view.paused_until_ms - now_ms
                for view in self._views.of_service(service)
                if view.paused_until_ms > now_ms
            ),
            default=NO_SERVER_RETRY_AFTER_MS,
        )

    def _reject(
        self,
        admit: messages.Admit,
        status: int,
        reason: str,
        retry_after_ms: int | None = None,
    ) -> messages.Rejected:
        self._counters[f'rejected.{status}'] += 1
        log.info(
            'request rejected',
            extra={
                'request_id': admit.request_id,
                'status': status,
                'reason': reason,
                'configuration': self._routes and self._routes.version,
            },
        )
        return messages.Rejected(status, reason, retry_after_ms)

    def _select_server(
        self,
        request_id: str,
        route: model.Route,
        service: str,
        tried_servers: set[model.Incarnation],
        now_ms: int,
    ) -> server_views.ServerView | None:
        max_idle_ms = self._max_idle_ms(route, now_ms)
        candidates = [
            self._build_candidate(view, max_idle_ms, now_ms)
            for view in self._views.of_service(service)
            if view.server.incarnation not in tried_servers
        ]
        selection = server_selection.select(
            candidates,
            server_selection.SelectionContext(
                self._settings.place.data_centre,
                self._service_health(service, now_ms),
                _is_retryable(route) and not tried_servers,
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
                'request_id': request_id,
                'service': service,
                'server': selected.server.server_id,
                'in_flight': selected.in_flight,
                'load': selected.load and dataclasses.astuple(selected.load),
                'load_age_ms': selected.load and now_ms - selected.load_at_ms,
                'eligible_servers': selection.trusted_count,
                'servers': selection.usable_count,
                'second_chance': selection.is_probe,
                'hosts': self._host_count,
            },
        )
        return self._views.find(selected.server.incarnation)

    def _service_health(
        self, service: str, now_ms: int
    ) -> probing.ServiceHealth:
        load = self._service_loads[service]
        rate_per_s = load.rate_per_s(self._host_count, now_ms)
        return probing.ServiceHealth(
            rate_per_s,
            load.failure_share(rate_per_s),
            load.concurrency(rate_per_s),
            self._settings.bounds.capacity_floor,
            load.running(rate_per_s),
        )

    def _max_idle_ms(self, route: model.Route, now_ms: int) -> int:
        match route.kind:
            case model.Idempotent():
                return idle_connections.MAX_IDLE_MS
            case model.NonIdempotent() | model.Upload():
                # An idle connection may have been dropped silently, and
                # the request could not be retried.
                return self._reuse_limit.limit_ms(now_ms)

    def _build_candidate(
        self,
        view: server_views.ServerView,
        max_idle_ms: int,
        now_ms: int,
    ) -> server_selection.Candidate:
        incarnation = view.server.incarnation
        return server_selection.Candidate(
            server=view.server,
            in_flight=view.in_flight,
            load=view.load,
            load_at_ms=view.load_at_ms,
            sent_since_load=view.sent_since_load,
            suspicion=self._failure_detector.suspicion(incarnation),
            shedding_probability=self._refusal_detector.probability(
                incarnation, now_ms
            ),
            unavailable_until_ms=view.unavailable_until_ms,
            paused_until_ms=view.paused_until_ms,
            has_idle_connection=self._idle_connections.has(
                incarnation, now_ms, max_idle_ms
            ),
            slow_start_until_ms=view.updated_at_ms + view.server.slow_start_ms,
        )

    def _assign(
        self, admission_id: int, request: _Request
    ) -> messages.Assigned:
        view = request.view
        view.record_sent()
        now_ms = self._time.now_ms()
        reused = self._idle_connections.take(
            view.server.incarnation,
            now_ms,
            self._max_idle_ms(request.route, now_ms),
        )
        request.reused_idle_ms = reused.idle_ms if reused else None
        self._counters['attempts'] += 1
        self._counters['connections_reused'] += reused is not None
        return messages.Assigned(
            admission_id,
            request.route,
            view.server,
            reused.connection if reused else None,
            request.deadline_at_ms,
            request.sent_attempts + request.unsent_attempts,
        )

    def _retry(
        self, admission_id: int, result: outcomes.AttemptResult
    ) -> messages.RetryDecision:
        request = self._requests[admission_id]
        self._record_result(request, result)
        reason = self._no_retry_reason(request, result)
        if reason is None:
            view = self._select_server(
                request.request_id,
                request.route,
                request.service,
                request.tried_servers,
                self._time.now_ms(),
            )
            if view is not None:
                request.view = view
                request.tried_servers.add(view.server.incarnation)
                self._counters['repeats'] += 1
                return self._assign(admission_id, request)
            reason = 'no other server available'
        retry_after_ms = server_views.QUEUE_FULL_BACKOFF_MS
        if not self._has_accepting_server(request.service):
            retry_after_ms = self._retry_after_ms(
                request.service, self._time.now_ms()
            )
        log.info(
            'request not retried',
            extra={
                'request_id': request.request_id,
                'attempts': request.sent_attempts,
                'reason': reason,
            },
        )
        del self._requests[admission_id]
        return messages.NoRetry(reason, retry_after_ms)

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
        if request.sent_attempts >= request.route.max_attempts:
            return 'no attempts left'
        if not self._retry_budgets[request.service].try_spend(
            now_ms, self._host_count
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
        self._record_result(request, result)
        incarnation = request.view.server.incarnation
        if server_connection is None:
            return
        if incarnation in self._views.incarnations():
            self._idle_connections.put(
                incarnation, server_connection, self._time.now_ms()
            )
        else:
            server_connection.close()

    def _record_result(
        self, request: _Request, result: outcomes.AttemptResult
    ) -> None:
        """Record the result of an attempt and update its server's state."""
        now_ms = self._time.now_ms()
        view = request.view
        view.record_result(result, now_ms)
        self._counters[f'results.{type(result).__name__}'] += 1
        self._record_connection_loss(request, result, now_ms)
        match result:
            case outcomes.Answered(_, latency_ms, load, is_leaving):
                self._histograms.record(
                    request.service, request.route.name, latency_ms
                )
                self._service_loads[request.service].record_latency(
                    latency_ms, now_ms
                )
                self._record_load(view, load, now_ms)
            case outcomes.NotExecuted(_, load, is_leaving):
                self._record_load(view, load, now_ms)
            case _:
                is_leaving = False
        incarnation = view.server.incarnation
        if refusal_detector.is_unexplained(result):
            self._refusal_detector.record_refusal(incarnation, now_ms)
            self._synchronizer.tell(messages.RefusalObserved(incarnation))
        if is_leaving and self._mark_leaving(
            incarnation, request_id=request.request_id
        ):
            self._synchronizer.tell(messages.LeavingObserved(incarnation))
        symptom = outcomes.symptom_of(result)
        if symptom is not None:
            load = self._service_loads[request.service]
            if outcomes.may_have_run(result):
                load.record_failure(now_ms)
            suspicion = self._failure_detector.record_failure(
                incarnation,
                symptom,
                now_ms,
                self._prior_odds(request.service, now_ms),
            )
            self._synchronizer.tell(
                messages.FailureObserved(
                    incarnation,
                    _failure_reason(result),
                    symptom,
                    load.recent_requests(now_ms),
                )
            )
            log.info(
                'server suspected',
                extra={
                    'request_id': request.request_id,
                    'server': incarnation[0],
                    'reason': _failure_reason(result),
                    'failures': suspicion.failures,
                    'odds': round(suspicion.odds, 2),
                },
            )
        elif isinstance(result, outcomes.Answered):
            self._refusal_detector.record_success(incarnation, now_ms)
            self._record_success(request, now_ms - result.latency_ms)

    def _mark_leaving(
        self, incarnation: model.Incarnation, **source: str
    ) -> bool:
        """Stop sending to a server that is leaving; return if this is new."""
        is_new = self._views.mark_leaving(incarnation, self._time.now_ms())
        if is_new:
            self._idle_connections.close_connections(incarnation)
            log.info(
                'server is leaving',
                extra={'server': incarnation[0], **source},
            )
        return is_new

    def _record_connection_loss(
        self, request: _Request, result: outcomes.AttemptResult, now_ms: int
    ) -> None:
        match (request.reused_idle_ms, result):
            case (int(idle_ms), outcomes.Broken() | outcomes.TimedOut()):
                self._reuse_limit.record_loss(idle_ms, now_ms)
                log.info(
                    'reused connection lost',
                    extra={
                        'request_id': request.request_id,
                        'server': request.view.server.server_id,
                        'idle_ms': idle_ms,
                        'reuse_limit_ms': self._reuse_limit.limit_ms(now_ms),
                    },
                )

    def _record_load(
        self,
        view: server_views.ServerView,
        load: outcomes.Load | None,
        now_ms: int,
    ) -> None:
        if load is not None:
            view.record_load(load, now_ms)
            self._synchronizer.tell(
                messages.LoadObserved(view.server.incarnation, load)
            )

    def _record_success(self, request: _Request, started_ms: int) -> None:
        incarnation = request.view.server.incarnation
        if self._failure_detector.record_success(
            incarnation, started_ms, self._time.now_ms()
        ):
            self._synchronizer.tell(messages.RecoveryObserved(incarnation))
            log.info(
                'server suspicion lowered',
                extra={
                    'request_id': request.request_id,
                    'server': incarnation[0],
                },
            )

    def _record_peer_recovery(
        self, incarnation: model.Incarnation, host: str
    ) -> None:
        now_ms = self._time.now_ms()
        if self._failure_detector.record_success(incarnation, now_ms, now_ms):
            log.info(
                'server suspicion lowered',
                extra={'server': incarnation[0], 'seen_by': host},
            )

    def _record_peer_failure(
        self, report: messages.PeerReportedFailure
    ) -> None:
        incarnation = report.incarnation
        view = self._views.find(incarnation)
        if view is None:
            return
        now_ms = self._time.now_ms()
        service = view.server.service
        if report.symptom is not outcomes.Symptom.REPLACED:
            # With REPLACED, the request did not fail but was sent to another
            # server.
            self._service_loads[service].record_peer_failure(
                report.recent_requests, now_ms
            )
        was_suspected = self._failure_detector.is_suspected(
            incarnation, now_ms
        )
        suspicion = self._failure_detector.record_failure(
            incarnation,
            report.symptom,
            now_ms,
            self._prior_odds(service, now_ms),
        )
        if was_suspected:
            # The host that saw it has logged it; a line at each of hundreds
            # of hosts would tell nothing more.
            return
        log.info(
            'server suspected',
            extra={
                'server': incarnation[0],
                'seen_by': report.host,
                'reason': report.reason,
                'failures': suspicion.failures,
                'odds': round(suspicion.odds, 2),
            },
        )

    def _prior_odds(self, service: str, now_ms: int) -> float:
        rate_per_s = self._service_loads[service].rate_per_s(
            self._host_count, now_ms
        )
        servers = len(self._views.of_service(service))
        return failure_detector.prior_odds(rate_per_s / max(1, servers))

    def _update_servers(
        self, servers: tuple[model.BackendServer, ...], host_count: int
    ) -> None:
        self._host_count = host_count
        if not self._views.replace(servers, self._time.now_ms()):
            return
        for incarnation in self._idle_connections.servers():
            if incarnation not in self._views.incarnations():
                self._idle_connections.close_connections(incarnation)
        self._failure_detector.retain(self._views.incarnations())
        self._refusal_detector.retain(self._views.incarnations())


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


def _failure_reason(result: outcomes.AttemptResult) -> str:
    match result:
        case outcomes.Answered(status):
            return f'status {status}'
        case outcomes.AnotherServer(found):
            return f'{found or "another server"} is at its address'
        case outcomes.Broken(_, reason):
            return reason
        case outcomes.TimedOut(latency_ms):
            return f'no answer after {latency_ms} ms'
        case _:
            return type(result).__name__
