"""What this host knows of each backend server's load and reachability."""

from collections import abc
from collections.abc import Iterable
import dataclasses

from cardamomdeal.balancing import outcomes
from cardamomdeal.fleet import model

# A server that could not be reached from here is left alone this long;
# others may reach it, so they are not warned.
UNREACHABLE_MS = 2_000
# A server that refused work has a full queue: long enough for one request
# of ordinary length to end.
FULL_MS = 250


@dataclasses.dataclass(slots=True)
class ServerView:
    """Track one backend server from this host."""

    server: model.BackendServer
    seen_at_ms: int
    in_flight: int = 0
    load: outcomes.Load | None = None
    load_at_ms: int = 0
    sent_since_load: int = 0
    closed_until_ms: int = 0

    def note_sent(self) -> None:
        """Count a request that goes to the server."""
        self.in_flight += 1
        self.sent_since_load += 1

    def note_ended(self, result: outcomes.AttemptResult, now_ms: int) -> None:
        """Take in how a request at the server ended."""
        self.in_flight -= 1
        match result:
            case outcomes.NotExecuted():
                self.closed_until_ms = now_ms + FULL_MS
            case outcomes.NotConnected() | outcomes.AnotherServer():
                self.closed_until_ms = now_ms + UNREACHABLE_MS

    def note_load(self, load: outcomes.Load, now_ms: int) -> None:
        """Take in a load that the server reported."""
        self.load = load
        self.load_at_ms = now_ms
        self.sent_since_load = 0


class ServerViews:
    """Hold the views of the servers that take new work."""

    def __init__(self) -> None:
        self._views: dict[model.Incarnation, ServerView] = {}
        self._by_service: dict[str, list[ServerView]] = {}

    def replace(
        self, servers: Iterable[model.BackendServer], now_ms: int
    ) -> None:
        """Take over the servers that are present; keep what is known."""
        previous = self._views
        self._views = {}
        self._by_service = {}
        for server in servers:
            view = previous.get(server.incarnation)
            if view is None:
                view = ServerView(server, now_ms)
            if view.server != server:
                view.server = server
                view.seen_at_ms = now_ms
            if server.state is model.ServerState.READY:
                self._views[server.incarnation] = view
                self._by_service.setdefault(server.service, []).append(view)

    def find(self, server: model.Incarnation) -> ServerView | None:
        """Return the view of a server that takes new work."""
        return self._views.get(server)

    def of_service(self, service: str) -> Iterable[ServerView]:
        """Return the views of a service's servers."""
        return self._by_service.get(service, ())

    def incarnations(self) -> abc.Set[model.Incarnation]:
        """Name the servers that take new work."""
        return self._views.keys()
