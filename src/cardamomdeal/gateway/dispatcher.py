"""Actor that assigns backend servers to requests."""

import dataclasses
import random
from typing import Any

from cardamomdeal.backend import connection
from cardamomdeal.backend import idle_connections
from cardamomdeal.document import model
from cardamomdeal.gateway import evidence
from cardamomdeal.gateway import messages
from cardamomdeal.internal import actor
from cardamomdeal.internal import clock
from cardamomdeal.routing import outcomes
from cardamomdeal.routing import retries
from cardamomdeal.routing import selection
from cardamomdeal.routing import servers
from cardamomdeal.routing import table
from cardamomdeal.settings import model as settings_model
from cardamomdeal.telemetry import histograms

RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(slots=True)
class _Request:
    kind: model.WorkKind
    tenant: str
    started_ms: int
    deadline_at_ms: int
    view: servers.ServerView
    tried: frozenset[str]
    attempts: int


class Dispatcher(actor.Actor):
    """Actor that owns server state, idle connections and open requests."""

    def __init__(
        self, settings: settings_model.GatewaySettings, time: clock.Clock
    ) -> None:
        super().__init__()
        self._settings = settings
        self._time = time
        self._rng = random.Random()
        self._routes: table.RouteTable | None = None
        self._views: dict[str, servers.ServerView] = {}
        self._views_by_service: dict[str, list[servers.ServerView]] = {}
        self._mixed_services: frozenset[str] = frozenset()
        self._server_statuses: dict[str, servers.ServerStatus] = {}
        self._ejections_expire_at_ms = 0
        self._retry_budgets: dict[str, retries.RetryBudget] = {}
        self._requests: dict[int, _Request] = {}
        self._next_admission_id = 1
        self._idle_connections = idle_connections.IdleConnections()
        self._evidence = evidence.EvidenceCounter()
        self._histograms = histograms.LatencyHistograms()

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.Admit():
                return self._admit(message)
            case messages.Finished():
                return self._finish(message)
            case messages.Retry():
                return self._retry(message)
            case messages.DocumentUpdate():
                return self._apply_document(message)
            case messages.ServerStatusUpdate(statuses, expires_at_ms):
                self._server_statuses = statuses
                self._ejections_expire_at_ms = expires_at_ms
                return None
            case messages.TakeIntervalReport():
                return self._take_interval_report()
            case messages.TakeHistograms():
                return self._histograms.encode()
            case messages.CloseConnections():
                return self._idle_connections.close_all()

    def _admit(self, admit: messages.Admit) -> messages.AdmissionResult:
        if self._time.now_ms() > admit.valid_until_ms:
            return messages.Rejected(503, 'overloaded', RETRY_AFTER_MS)
        if self._routes is None:
            return messages.Rejected(
                503, 'no configuration yet', RETRY_AFTER_MS
            )
        match self._routes.find(admit.method, admit.path):
            case table.PathNotFound():
                return messages.Rejected(404, f'no route for {admit.path}')
            case table.MethodNotAllowed(allowed):
                return messages.Rejected(
                    405,
                    f'{admit.method} is not served here',
                    allowed_methods=allowed,
                )
            case table.RouteFound(kind):
                return self._admit_kind(kind, admit)

    def _admit_kind(
        self, kind: model.WorkKind, admit: messages.Admit
    ) -> messages.AdmissionResult:
        work_class = model.work_class_name(kind.work_class)
        if work_class not in self._settings.work_classes:
            return messages.Rejected(
                421, f'this gateway does not carry {work_class} work'
            )
        if (admit.body_bytes or 0) > kind.max_body_bytes:
            return messages.Rejected(
                413, f'{kind.name} takes at most {kind.max_body_bytes} bytes'
            )
        self._retry_budget(kind.service).record_request()
        view = self._choose_server(kind, frozenset())
        if view is None:
            return messages.Rejected(
                503,
                f'no backend server of {kind.service} has room',
                RETRY_AFTER_MS,
            )
        return self._start_request(kind, admit.tenant, view)

    def _start_request(
        self, kind: model.WorkKind, tenant: str, view: servers.ServerView
    ) -> messages.Assigned:
        now_ms = self._time.now_ms()
        admission_id = self._next_admission_id
        self._next_admission_id += 1
        request = _Request(
            kind=kind,
            tenant=tenant,
            started_ms=now_ms,
            deadline_at_ms=now_ms + kind.work_class.deadline_ms,
            view=view,
            tried=frozenset((view.server.name,)),
            attempts=1,
        )
        self._requests[admission_id] = request
        return self._assign(admission_id, request)

    def _assign(
        self, admission_id: int, request: _Request
    ) -> messages.Assigned:
        view = request.view
        view.in_flight += 1
        return messages.Assigned(
            admission_id=admission_id,
            kind=request.kind,
            server=view.server,
            connection=self._take_idle_connection(request),
            deadline_at_ms=request.deadline_at_ms,
        )

    def _take_idle_connection(
        self, request: _Request
    ) -> connection.BackendConnection | None:
        if not request.kind.idempotent:
            # An idle connection may be broken without a sign of it. A request
            # that must not be sent twice always gets a new connection.
            return None
        idle_connection = self._idle_connections.take(
            request.view.server.name, self._time.now_ms()
        )
        return idle_connection.connection if idle_connection else None

    def _choose_server(
        self, kind: model.WorkKind, excluded: frozenset[str]
    ) -> servers.ServerView | None:
        now_ms = self._time.now_ms()
        statuses = self._server_statuses
        if now_ms >= self._ejections_expire_at_ms:
            statuses = _without_ejections(statuses)
        return selection.choose_server(
            self._views_by_service.get(kind.service, ()),
            statuses,
            selection.Requirements(
                work_class=kind.work_class,
                data_centre=self._settings.place.data_centre,
                excluded=excluded,
                mixed_service=kind.service in self._mixed_services,
            ),
            now_ms,
            self._rng,
        )

    def _retry(
        self, retry: messages.Retry
    ) -> messages.Assigned | messages.NoRetry:
        request = self._requests[retry.admission_id]
        now_ms = self._time.now_ms()
        context = retries.RetryContext(
            idempotent=request.kind.idempotent,
            body_replayable=retry.body_replayable,
            attempts=request.attempts,
            remaining_ms=request.deadline_at_ms - now_ms,
        )
        if not retries.may_retry(context, retry.result):
            return messages.NoRetry()
        tried = request.tried
        match retry.result:
            case outcomes.Broken(connection_reused=True):
                # The idle connection may have been broken already, so the
                # same server may respond on a new one.
                tried -= {request.view.server.name}
            case _:
                pass
        view = self._choose_server(request.kind, tried)
        if (
            view is None
            or not self._retry_budget(request.kind.service).try_spend()
        ):
            return messages.NoRetry()
        self._record_result(request, retry.result)
        request.view.in_flight -= 1
        request.view = view
        request.tried = tried | {view.server.name}
        request.attempts += 1
        return self._assign(retry.admission_id, request)

    def _finish(self, finished: messages.Finished) -> None:
        request = self._requests.pop(finished.admission_id)
        # The load that a response reports includes its own request, so it
        # is recorded before that request is removed from `in_flight`.
        self._record_result(request, finished.result)
        request.view.in_flight -= 1
        self._histograms.record(
            request.tenant,
            model.work_class_name(request.kind.work_class),
            self._time.now_ms() - request.started_ms,
        )
        if finished.connection is not None:
            self._idle_connections.put(
                request.view.server.name,
                finished.connection,
                self._time.now_ms(),
            )

    def _record_result(
        self, request: _Request, result: outcomes.AttemptResult
    ) -> None:
        now_ms = self._time.now_ms()
        view = request.view
        self._evidence.add(view.server.name, request.kind.name, result)
        match result:
            case outcomes.Completed(status, _, reported_state):
                view.record_reported_state(reported_state, now_ms)
                view.record_result(status < outcomes.SERVER_ERROR_STATUS)
            case outcomes.RefusedByServer(_, reported_state):
                view.record_reported_state(reported_state, now_ms)
            case outcomes.NotConnected():
                view.record_connect_failure(now_ms)
                self._idle_connections.close_connections(view.server.name)
            case outcomes.Broken(_, _, connection_reused):
                self._idle_connections.close_connections(view.server.name)
                if not connection_reused:
                    view.record_result(False)
            case outcomes.CallerLeft():
                pass

    def _retry_budget(self, service: str) -> retries.RetryBudget:
        return self._retry_budgets.setdefault(service, retries.RetryBudget())

    def _apply_document(self, update: messages.DocumentUpdate) -> None:
        document = update.document
        self._routes = table.RouteTable(document.work_kinds)
        views = {
            server.name: self._update_view(server)
            for server in document.backend_servers
        }
        for name in self._views.keys() - views.keys():
            self._idle_connections.close_connections(name)
        self._views = views
        self._views_by_service = {
            service.name: [
                view
                for view in views.values()
                if view.server.service == service.name
            ]
            for service in document.services
        }
        self._mixed_services = _find_mixed_services(document)

    def _update_view(self, server: model.BackendServer) -> servers.ServerView:
        view = self._views.get(server.name)
        if view is None or view.server.address != server.address:
            self._idle_connections.close_connections(server.name)
            return servers.ServerView(server)
        view.server = server
        return view

    def _take_interval_report(self) -> messages.IntervalReport:
        now_ms = self._time.now_ms()
        self._idle_connections.close_expired(now_ms)
        return messages.IntervalReport(
            evidence=self._evidence.take(),
            draining_servers=tuple(
                name
                for name, view in self._views.items()
                if view.is_draining(now_ms)
            ),
            in_flight=len(self._requests),
        )


def _without_ejections(
    statuses: dict[str, servers.ServerStatus],
) -> dict[str, servers.ServerStatus]:
    return {
        name: dataclasses.replace(status, ejected=False)
        for name, status in statuses.items()
    }


def _find_mixed_services(document: model.Document) -> frozenset[str]:
    classes_by_service: dict[str, set[str]] = {}
    for kind in document.work_kinds:
        name = model.work_class_name(kind.work_class)
        classes_by_service.setdefault(kind.service, set()).add(name)
    return frozenset(
        service
        for service, names in classes_by_service.items()
        if len(names) > 1
    )
