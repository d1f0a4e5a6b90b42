"""Selection of a server for a request, and start of its attempt."""

import collections
import dataclasses
import logging
import random

from cardamomdeal.backend import idle_connections
from cardamomdeal.balancing import server_selection
from cardamomdeal.balancing import server_views
from cardamomdeal.entry import admission_gate
from cardamomdeal.entry import messages
from cardamomdeal.entry import open_request
from cardamomdeal.entry import server_tracker
from cardamomdeal.fleet import model
from cardamomdeal.internal import clock
from cardamomdeal.settings import model as settings_model

log = logging.getLogger(__name__)


class ServerAssignment:
    """Selects servers by what the tracker knows, and counts attempts."""

    def __init__(
        self,
        settings: settings_model.EntrySettings,
        servers: server_tracker.ServerTracker,
        admission: admission_gate.AdmissionGate,
        counters: collections.Counter[str],
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._servers = servers
        self._admission = admission
        self._counters = counters
        self._time = time
        self._rng = rng

    def set_settings(self, settings: settings_model.EntrySettings) -> None:
        """Replace the settings."""
        self._settings = settings

    def select(
        self, request: open_request.OpenRequest, now_ms: int
    ) -> server_views.ServerView | None:
        """Return the server for the next attempt, or None without any."""
        service = request.service
        max_idle_ms = self._max_idle_ms(request.route, now_ms)
        candidates = [
            self._servers.candidate(view, max_idle_ms, now_ms)
            for view in self._servers.views_of(service)
            if view.server.incarnation not in request.tried_servers
        ]
        if self._settings.admission_control:
            candidates = self._admission.feasible(
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

    def assign(
        self, request: open_request.OpenRequest, view: server_views.ServerView
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


def _is_retryable(route: model.Route) -> bool:
    match route.kind:
        case model.Idempotent():
            return route.max_attempts > 1
        case model.NonIdempotent() | model.Upload():
            return False
