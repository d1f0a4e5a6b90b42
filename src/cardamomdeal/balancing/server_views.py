"""Load and reachability of each backend server, as this host knows them."""

from collections import abc
from collections.abc import Iterable
import dataclasses

from cardamomdeal.balancing import outcomes
from cardamomdeal.fleet import model

# Time for which a server that this host could not reach gets no requests
# from it. Other hosts may reach the server, so they are not notified.
UNREACHABLE_BACKOFF_MS = 2_000
# A server that refused a request has a full queue; one request of ordinary
# length ends within this time.
QUEUE_FULL_BACKOFF_MS = 250


@dataclasses.dataclass(slots=True)
class ServerView:
    """Load and availability of one backend server, seen from this host."""

    server: model.BackendServer
    # When the server's entry was first seen or last changed.
    updated_at_ms: int
    in_flight: int = 0
    load: outcomes.Load | None = None
    load_at_ms: int = 0
    sent_since_load: int = 0
    unavailable_until_ms: int = 0

    def record_sent(self) -> None:
        """Count a request that is sent to the server."""
        self.in_flight += 1
        self.sent_since_load += 1

    def record_result(
        self, result: outcomes.AttemptResult, now_ms: int
    ) -> None:
        """Count the end of a request and update the availability."""
        self.in_flight -= 1
        match result:
            case outcomes.NotExecuted():
                self.unavailable_until_ms = now_ms + QUEUE_FULL_BACKOFF_MS
            case outcomes.NotConnected() | outcomes.AnotherServer():
                self.unavailable_until_ms = now_ms + UNREACHABLE_BACKOFF_MS

    def record_load(self, load: outcomes.Load, now_ms: int) -> None:
        """Store a load that the server reported."""
        self.load = load
        self.load_at_ms = now_ms
        self.sent_since_load = 0


class ServerViews:
    """Views of the servers that accept new requests."""

    def __init__(self) -> None:
        self._servers: tuple[model.BackendServer, ...] = ()
        self._views: dict[model.Incarnation, ServerView] = {}
        self._by_service: dict[str, list[ServerView]] = {}

    def replace(
        self, servers: Iterable[model.BackendServer], now_ms: int
    ) -> bool:
        """Replace the servers, keep the state of known ones.

        Return whether any server has changed.
        """
        servers = tuple(servers)
        if servers == self._servers:
            return False
        self._servers = servers
        previous = self._views
        self._views = {}
        self._by_service = {}
        for server in servers:
            view = previous.get(server.incarnation)
            if view is None:
                view = ServerView(server, now_ms)
            if view.server != server:
                view.server = server
                view.updated_at_ms = now_ms
            if server.state is model.ServerState.READY:
                self._views[server.incarnation] = view
                self._by_service.setdefault(server.service, []).append(view)
        return True

    def find(self, server: model.Incarnation) -> ServerView | None:
        """Return the view of a server, or None if it takes no requests."""
        return self._views.get(server)

    def of_service(self, service: str) -> Iterable[ServerView]:
        """Return the views of a service's servers."""
        return self._by_service.get(service, ())

    def incarnations(self) -> abc.Set[model.Incarnation]:
        """Return the servers that accept new requests."""
        return self._views.keys()
