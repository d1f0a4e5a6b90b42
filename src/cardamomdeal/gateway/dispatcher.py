"""Actor that assigns backend servers to requests."""

import dataclasses
import random
from typing import Any

from cardamomdeal.backend import connection
from cardamomdeal.backend import idle
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
    """Own the state of the backend servers and their connections."""

    def __init__(
        self, settings: settings_model.GatewaySettings, time: clock.Clock
    ) -> None:
        super().__init__()
        self._settings = settings
        self._time = time
        self._random = random.Random()
        self._routes: table.RouteTable | None = None
        self._views: dict[str, servers.ServerView] = {}
        self._by_service: dict[str, list[servers.ServerView]] = {}
        self._mixed_services: frozenset[str] = frozenset()
        self._standings: dict[str, servers.ServerStatus] = {}
        self._standings_expire_ms = 0
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._requests: dict[int, _Request] = {}
        self._next_ticket = 1
        self._idle = idle.IdleConnections()
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
            case messages.DocumentInForce():
                return self._use_document(message)
            case messages.StandingsInForce(standings, expires_at_ms):
                self._standings = standings
                self._standings_expire_ms = expires_at_ms
                return None
            case messages.TakeInterval():
                return self._take_interval()
            case messages.TakeHistograms():
                return self._histograms.encode()
            case messages.CloseConnections():
                return self._idle.close_all()

    def _admit(self, admit: messages.Admit) -> messages.Decision:
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
                    allowed=allowed,
                )
            case table.RouteFound(kind):
                return self._admit_kind(kind, admit)

    def _admit_kind(
        self, kind: model.WorkKind, admit: messages.Admit
    ) -> messages.Decision:
        work_class = model.work_class_name(kind.work_class)
        if work_class not in self._settings.work_classes:
            return messages.Rejected(
                421, f'this gateway does not carry {work_class} work'
            )
        if (admit.body_bytes or 0) > kind.max_body_bytes:
            return messages.Rejected(
                413, f'{kind.name} takes at most {kind.max_body_bytes} bytes'
            )
        self._budget(kind.service).record_request()
        view = self._choose(kind, frozenset())
        if view is None:
            return messages.Rejected(
                503,
                f'no backend server of {kind.service} has room',
                RETRY_AFTER_MS,
            )
        return self._open_request(kind, admit.tenant, view)

    def _open_request(
        self, kind: model.WorkKind, tenant: str, view: servers.ServerView
    ) -> messages.Assigned:
        now_ms = self._time.now_ms()
        ticket = self._next_ticket
        self._next_ticket += 1
        request = _Request(
            kind=kind,
            tenant=tenant,
            started_ms=now_ms,
            deadline_at_ms=now_ms + kind.work_class.deadline_ms,
            view=view,
            tried=frozenset((view.server.name,)),
            attempts=1,
        )
        self._requests[ticket] = request
        return self._assign(ticket, request)

    def _assign(self, ticket: int, request: _Request) -> messages.Assigned:
        view = request.view
        view.in_flight += 1
        return messages.Assigned(
            ticket=ticket,
            kind=request.kind,
            server=view.server,
            connection=self._connection_for(request),
            deadline_at_ms=request.deadline_at_ms,
        )

    def _connection_for(
        self, request: _Request
    ) -> connection.BackendConnection | None:
        if not request.kind.idempotent:
            # An idle connection may have gone silent. Work that is sent at
            # most once does not take that risk.
            return None
        kept = self._idle.take(request.view.server.name, self._time.now_ms())
        return kept.connection if kept else None

    def _choose(
        self, kind: model.WorkKind, excluded: frozenset[str]
    ) -> servers.ServerView | None:
        now_ms = self._time.now_ms()
        standings = self._standings
        if now_ms >= self._standings_expire_ms:
            standings = _without_ejections(standings)
        return selection.choose_server(
            self._by_service.get(kind.service, ()),
            standings,
            selection.Requirements(
                work_class=kind.work_class,
                data_centre=self._settings.place.data_centre,
                excluded=excluded,
                mixed_service=kind.service in self._mixed_services,
            ),
            now_ms,
            self._random,
        )

    def _retry(
        self, retry: messages.Retry
    ) -> messages.Assigned | messages.NoRetry:
        request = self._requests[retry.ticket]
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
                # The connection had gone silent; a new one may do.
                tried -= {request.view.server.name}
            case _:
                pass
        view = self._choose(request.kind, tried)
        if view is None or not self._budget(request.kind.service).try_spend():
            return messages.NoRetry()
        self._take_in(request, retry.result)
        request.view.in_flight -= 1
        request.view = view
        request.tried = tried | {view.server.name}
        request.attempts += 1
        return self._assign(retry.ticket, request)

    def _finish(self, finished: messages.Finished) -> None:
        request = self._requests.pop(finished.ticket)
        # The load that an answer reports counts its own request, so it is
        # read while that request still counts here as well.
        self._take_in(request, finished.result)
        request.view.in_flight -= 1
        self._histograms.record(
            request.tenant,
            model.work_class_name(request.kind.work_class),
            self._time.now_ms() - request.started_ms,
        )
        if finished.connection is not None:
            self._idle.put(
                request.view.server.name,
                finished.connection,
                self._time.now_ms(),
            )

    def _take_in(
        self, request: _Request, result: outcomes.AttemptResult
    ) -> None:
        now_ms = self._time.now_ms()
        view = request.view
        self._evidence.add(view.server.name, request.kind.name, result)
        match result:
            case outcomes.Completed(status, _, signals):
                view.record_signals(signals, now_ms)
                view.record_result(status < outcomes.SERVER_ERROR_STATUS)
            case outcomes.RefusedByServer(_, signals):
                view.record_signals(signals, now_ms)
            case outcomes.NotConnected():
                view.record_connect_failure(now_ms)
                self._idle.close_connections(view.server.name)
            case outcomes.Broken(_, _, connection_reused):
                self._idle.close_connections(view.server.name)
                if not connection_reused:
                    view.record_result(False)
            case outcomes.CallerLeft():
                pass

    def _budget(self, service: str) -> retries.RetryBudget:
        return self._budgets.setdefault(service, retries.RetryBudget())

    def _use_document(self, in_force: messages.DocumentInForce) -> None:
        document = in_force.document
        self._routes = table.RouteTable(document.work_kinds)
        views = {
            server.name: self._view_of(server)
            for server in document.backend_servers
        }
        for name in self._views.keys() - views.keys():
            self._idle.close_connections(name)
        self._views = views
        self._by_service = {
            service.name: [
                view
                for view in views.values()
                if view.server.service == service.name
            ]
            for service in document.services
        }
        self._mixed_services = _mixed_services(document)

    def _view_of(self, server: model.BackendServer) -> servers.ServerView:
        known = self._views.get(server.name)
        if known is None or known.server.address != server.address:
            self._idle.close_connections(server.name)
            return servers.ServerView(server)
        known.server = server
        return known

    def _take_interval(self) -> messages.Interval:
        now_ms = self._time.now_ms()
        self._idle.close_expired(now_ms)
        return messages.Interval(
            evidence=self._evidence.take(),
            draining_servers=tuple(
                name
                for name, view in self._views.items()
                if view.is_draining(now_ms)
            ),
            in_flight=len(self._requests),
        )


def _without_ejections(
    standings: dict[str, servers.ServerStatus],
) -> dict[str, servers.ServerStatus]:
    return {
        name: dataclasses.replace(standing, ejected=False)
        for name, standing in standings.items()
    }


def _mixed_services(document: model.Document) -> frozenset[str]:
    classes: dict[str, set[str]] = {}
    for kind in document.work_kinds:
        name = model.work_class_name(kind.work_class)
        classes.setdefault(kind.service, set()).add(name)
    return frozenset(
        service for service, names in classes.items() if len(names) > 1
    )
