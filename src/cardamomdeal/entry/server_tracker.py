"""State of the backend servers, from this host's results and its peers'."""

import collections
from collections.abc import Sequence
import dataclasses
import logging
from typing import Any

import pykka

from cardamomdeal.backend import connection
from cardamomdeal.backend import idle_connections
from cardamomdeal.balancing import connection_reuse
from cardamomdeal.balancing import failure_detector
from cardamomdeal.balancing import first_failures
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import probing
from cardamomdeal.balancing import refusal_detector
from cardamomdeal.balancing import server_selection
from cardamomdeal.balancing import server_views
from cardamomdeal.balancing import service_load
from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.internal import clock

# The servers of a service change within about this time.
NO_SERVER_RETRY_AFTER_MS = 500

log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a request at a backend server."""

    request_id: str
    service: str
    view: server_views.ServerView
    # Idle time of the connection that it reuses, None for a new one.
    reused_idle_ms: int | None = None


class ServerTracker:
    """Servers, their loads, failures and idle connections.

    Owned by the dispatcher. What the other hosts should know of a result is
    told to the fleet synchronizer.
    """

    def __init__(
        self, synchronizer: pykka.ActorRef[Any], time: clock.Clock
    ) -> None:
        self._synchronizer = synchronizer
        self._time = time
        self._host_count = 1
        self._views = server_views.ServerViews()
        self._failure_detector = failure_detector.FailureDetector()
        self._first_failures: dict[str, first_failures.FirstFailures] = (
            collections.defaultdict(first_failures.FirstFailures)
        )
        self._refusal_detector = refusal_detector.RefusalDetector()
        self._service_loads: dict[str, service_load.ServiceLoad] = (
            collections.defaultdict(service_load.ServiceLoad)
        )
        self._idle_connections: idle_connections.IdleConnections[
            model.Incarnation
        ] = idle_connections.IdleConnections()
        self._reuse_limit = connection_reuse.ReuseLimit()

    @property
    def host_count(self) -> int:
        """Return the number of entry hosts."""
        return self._host_count

    def views_of(self, service: str) -> Sequence[server_views.ServerView]:
        """Return the servers of a service that accept new requests."""
        return self._views.of_service(service)

    def find(
        self, incarnation: model.Incarnation
    ) -> server_views.ServerView | None:
        """Return the view of a server, or None if it takes no requests."""
        return self._views.find(incarnation)

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._service_loads[service].record_request(self._time.now_ms())

    def reuse_limit_ms(self, now_ms: int) -> int:
        """Return how long a connection may have been idle to be reused."""
        return self._reuse_limit.limit_ms(now_ms)

    def start_attempt(
        self, view: server_views.ServerView, max_idle_ms: int
    ) -> idle_connections.ReusedConnection | None:
        """Count a request to a server; return a connection to reuse."""
        view.record_sent()
        return self._idle_connections.take(
            view.server.incarnation, self._time.now_ms(), max_idle_ms
        )

    def keep_connection(
        self,
        incarnation: model.Incarnation,
        server_connection: connection.BackendConnection,
    ) -> None:
        """Keep a connection for reuse if its server takes requests."""
        if incarnation in self._views.incarnations():
            self._idle_connections.put(
                incarnation, server_connection, self._time.now_ms()
            )
        else:
            server_connection.close()

    def close_expired_connections(self) -> None:
        """Close the connections that have been idle for too long."""
        self._idle_connections.close_expired(self._time.now_ms())

    def close(self) -> None:
        """Close every idle connection."""
        self._idle_connections.close_all()

    def has_accepting_server(self, service: str) -> bool:
        """Return whether any server of a service takes requests now."""
        now_ms = self._time.now_ms()
        return any(
            view.paused_until_ms <= now_ms
            for view in self._views.of_service(service)
        )

    def retry_after_ms(self, service: str, now_ms: int) -> int:
        """Return when the first server of a service takes requests again."""
        return min(
            (
                view.paused_until_ms - now_ms
                for view in self._views.of_service(service)
                if view.paused_until_ms > now_ms
            ),
            default=NO_SERVER_RETRY_AFTER_MS,
        )

    def candidate(
        self,
        view: server_views.ServerView,
        max_idle_ms: int,
        now_ms: int,
    ) -> server_selection.Candidate:
        """Return the state of a server for its selection."""
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

    def service_health(
        self, service: str, capacity_floor: float, now_ms: int
    ) -> probing.ServiceHealth:
        """Return the load and the failures of a service at all hosts."""
        load = self._service_loads[service]
        rate_per_s = load.rate_per_s(self._host_count, now_ms)
        return probing.ServiceHealth(
            rate_per_s,
            load.failure_share(rate_per_s),
            load.concurrency(rate_per_s),
            capacity_floor,
            load.running(rate_per_s),
        )

    def record_peer_report(self, report: messages.PeerReport) -> None:
        """Record what another host has observed of a server."""
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

    def record_result(
        self, attempt: Attempt, result: outcomes.AttemptResult
    ) -> None:
        """Record the result of an attempt and update its server's state."""
        now_ms = self._time.now_ms()
        view = attempt.view
        view.record_result(result, now_ms)
        self._record_connection_loss(attempt, result, now_ms)
        match result:
            case outcomes.Answered(_, latency_ms, load, is_leaving):
                self._service_loads[attempt.service].record_latency(
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
            incarnation, request_id=attempt.request_id
        ):
            self._synchronizer.tell(messages.LeavingObserved(incarnation))
        symptom = outcomes.symptom_of(result)
        if symptom is not None:
            load = self._service_loads[attempt.service]
            if outcomes.may_have_run(result):
                load.record_failure(now_ms)
            suspicion = self._suspect(
                attempt.service, incarnation, symptom, now_ms
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
                    'request_id': attempt.request_id,
                    'server': incarnation[0],
                    'reason': _failure_reason(result),
                    'failures': suspicion.failures,
                    'odds': round(suspicion.odds, 2),
                },
            )
        elif isinstance(result, outcomes.Answered):
            self._refusal_detector.record_success(incarnation, now_ms)
            self._record_success(attempt, now_ms - result.latency_ms)

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
        self, attempt: Attempt, result: outcomes.AttemptResult, now_ms: int
    ) -> None:
        match (attempt.reused_idle_ms, result):
            case (int(idle_ms), outcomes.Broken() | outcomes.TimedOut()):
                self._reuse_limit.record_loss(idle_ms, now_ms)
                log.info(
                    'reused connection lost',
                    extra={
                        'request_id': attempt.request_id,
                        'server': attempt.view.server.server_id,
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

    def _record_success(self, attempt: Attempt, started_ms: int) -> None:
        incarnation = attempt.view.server.incarnation
        if self._failure_detector.record_success(
            incarnation, started_ms, self._time.now_ms()
        ):
            self._synchronizer.tell(messages.RecoveryObserved(incarnation))
            log.info(
                'server suspicion lowered',
                extra={
                    'request_id': attempt.request_id,
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
        suspicion = self._suspect(service, incarnation, report.symptom, now_ms)
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

    def _suspect(
        self,
        service: str,
        incarnation: model.Incarnation,
        symptom: outcomes.Symptom,
        now_ms: int,
    ) -> failure_detector.Suspicion:
        """Record a failure of a server, here or at another host."""
        requests_per_s = self._requests_per_server_s(service, now_ms)
        follow_up_ms = first_failures.follow_up_ms(requests_per_s)
        detector = self._failure_detector
        detector.forget_single_failure(incarnation, follow_up_ms, now_ms)
        learned = self._first_failures[service]
        previous = detector.suspicion(incarnation)
        if previous is None:
            learned.record_failure(now_ms)
        elif (
            previous.failures == 1
            and now_ms - previous.last_failure_at_ms <= follow_up_ms
        ):
            learned.record_episode(now_ms)
        prior = failure_detector.prior_odds(requests_per_s)
        assumed_odds = prior * failure_detector.ERROR_LIKELIHOOD_RATIO
        return detector.record_failure(
            incarnation,
            symptom,
            now_ms,
            prior,
            learned.odds(assumed_odds, now_ms),
        )

    def _requests_per_server_s(self, service: str, now_ms: int) -> float:
        rate_per_s = self._service_loads[service].rate_per_s(
            self._host_count, now_ms
        )
        return rate_per_s / max(1, len(self._views.of_service(service)))

    def update_servers(
        self, servers: tuple[model.BackendServer, ...], host_count: int
    ) -> None:
        """Replace the servers and the number of entry hosts."""
        self._host_count = host_count
        if not self._views.replace(servers, self._time.now_ms()):
            return
        for incarnation in self._idle_connections.servers():
            if incarnation not in self._views.incarnations():
                self._idle_connections.close_connections(incarnation)
        self._failure_detector.retain(self._views.incarnations())
        self._refusal_detector.retain(self._views.incarnations())


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
