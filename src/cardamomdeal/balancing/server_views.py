"""Load and reachability of each backend server, as this host knows them."""

from collections import abc
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from cardamomdeal.balancing import outcomes
from cardamomdeal.fleet import model

# Time for which a server that this host could not reach gets no requests
# from it. Other hosts may reach the server, so they are not notified.
UNREACHABLE_BACKOFF_MS = 2_000
# A server that refused a request has a full queue; one request of ordinary
# length ends within this time.
QUEUE_FULL_BACKOFF_MS = 250
# A server that said that it is leaving is remembered for this long after its
# entry has gone, since the entry may lapse and return during an outage.
LEAVING_RETENTION_MS = 60_000


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
    # The server asked this host to send nothing until then.
    paused_until_ms: int = 0

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
            case outcomes.NotExecuted(retry_after_ms=retry_after_ms):
                self.unavailable_until_ms = now_ms + QUEUE_FULL_BACKOFF_MS
                self.paused_until_ms = max(
                    self.paused_until_ms, now_ms + (retry_after_ms or 0)
                )
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
        # Servers that said that they are leaving, and when they were last
        # seen in the store.
        self._leaving: dict[model.Incarnation, int] = {}

    def mark_leaving(self, server: model.Incarnation, now_ms: int) -> bool:
        """Send a server no more requests; return whether it got any.

        The server's own word counts more than its entry in the store, which
        may be older, or may say that the server is ready until it is removed.
        """
        self._leaving[server] = now_ms
        view = self._views.pop(server, None)
        if view is None:
            return False
        self._by_service[view.server.service].remove(view)
        return True

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
        self._expire_leaving(
            {server.incarnation for server in servers}, now_ms
        )
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
            if server.incarnation in self._leaving:
                continue
            if server.state is model.ServerState.READY:
                self._views[server.incarnation] = view
                self._by_service.setdefault(server.service, []).append(view)
        return True

    def _expire_leaving(
        self, present: abc.Set[model.Incarnation], now_ms: int
    ) -> None:
        for server, seen_at_ms in list(self._leaving.items()):
            if server in present:
                self._leaving[server] = now_ms
            elif now_ms - seen_at_ms > LEAVING_RETENTION_MS:
                del self._leaving[server]

    def find(self, server: model.Incarnation) -> ServerView | None:
        """Return the view of a server, or None if it takes no requests."""
        return self._views.get(server)

    def of_service(self, service: str) -> Sequence[ServerView]:
        """Return the views of a service's servers."""
        return self._by_service.get(service, ())

    def incarnations(self) -> abc.Set[model.Incarnation]:
        """Return the servers that accept new requests."""
        return self._views.keys()
