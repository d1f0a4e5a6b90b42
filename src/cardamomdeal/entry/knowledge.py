"""What the keys of the store say, decoded once."""

import logging

from returns.result import Failure
from returns.result import Success

from cardamomdeal.fleet import model
from cardamomdeal.fleet import registry
from cardamomdeal.fleet import routes
from cardamomdeal.platform import configuration
from cardamomdeal.platform import entries
from cardamomdeal.platform import store
from cardamomdeal.platform import wire

log = logging.getLogger(__name__)


class Knowledge:
    """Follow the store's keys and hold what they mean."""

    def __init__(self) -> None:
        self.revision = 0
        self._configuration: model.Configuration | None = None
        self._new_routes: routes.RouteTable | None = None
        self._servers: registry.Registry[model.BackendServer] = (
            registry.Registry()
        )
        self._hosts: registry.Registry[model.EntryHost] = registry.Registry()
        self._lost: set[str] = set()
        self._items: dict[str, store.Item] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether the store was never read."""
        return not self.revision

    @property
    def is_complete(self) -> bool:
        """Return whether requests can be served from what is known."""
        return self._configuration is not None and not self.is_empty

    def items(self) -> tuple[store.Item, ...]:
        """Return the keys as they were written, for other hosts."""
        return tuple(self._items.values())

    def servers(self) -> tuple[model.BackendServer, ...]:
        """Return the backend servers that are present."""
        return self._servers.entries()

    def hosts(self) -> tuple[model.EntryHost, ...]:
        """Return the entry hosts that are present."""
        return self._hosts.entries()

    def take_new_routes(self) -> routes.RouteTable | None:
        """Return the routes of a configuration that came since last."""
        table, self._new_routes = self._new_routes, None
        return table

    def lost_host(self, name: str) -> bool:
        """Return whether a host's entry was removed since last asked."""
        lost = name in self._lost
        self._lost.clear()
        return lost

    def note_store_returned(self, now_ms: int) -> None:
        """Allow for entries that ran out while the store was away."""
        self._servers.start_grace_period(now_ms)
        self._hosts.start_grace_period(now_ms)

    def expire(self, now_ms: int) -> bool:
        """Drop entries that did not come back; return if any were."""
        servers = self._servers.expire(now_ms)
        hosts = self._hosts.expire(now_ms)
        return servers or hosts

    def replace(
        self, items: tuple[store.Item, ...], revision: int, now_ms: int
    ) -> None:
        """Take over a whole reading of the store."""
        self.revision = max(self.revision, revision)
        present = {item.key for item in items}
        for prefix, known in (
            (wire.SERVERS_PREFIX, self._servers),
            (wire.ENTRY_HOSTS_PREFIX, self._hosts),
        ):
            for name in list(known.names()):
                if prefix + name not in present:
                    self.apply(store.Removal(prefix + name, revision), now_ms)
        for item in items:
            self.apply(item, now_ms)

    def apply(self, event: store.Event, now_ms: int) -> None:
        """Take over one change."""
        key = event.key
        match event:
            case store.Item():
                self._items[key] = event
            case store.Removal():
                self._items.pop(key, None)
        if key == wire.CONFIGURATION_KEY:
            self._apply_configuration(event)
        elif key.startswith(wire.SERVERS_PREFIX):
            name = key.removeprefix(wire.SERVERS_PREFIX)
            self._apply_server(name, event, now_ms)
        elif key.startswith(wire.ENTRY_HOSTS_PREFIX):
            name = key.removeprefix(wire.ENTRY_HOSTS_PREFIX)
            self._apply_host(name, event, now_ms)

    def _apply_configuration(self, event: store.Event) -> None:
        if isinstance(event, store.Removal):
            log.warning('configuration removed; keeping the last one')
            return
        match configuration.read_configuration(event.value):
            case Failure(error):
                log.error(
                    'configuration refused', extra={'reason': str(error)}
                )
            case Success(read):
                known = self._configuration
                if known is None or read.version > known.version:
                    self._configuration = read
                    self._new_routes = routes.build(read)

    def _apply_server(
        self, name: str, event: store.Event, now_ms: int
    ) -> None:
        if isinstance(event, store.Removal):
            self._servers.remove(name, now_ms)
            _log_server(name, 'gone', event.revision)
            return
        match entries.read_server(name, event.value):
            case Failure(error):
                # The writer may be another one, but its entry is all that
                # vouches for the server.
                self._servers.discard(name)
                log.warning(
                    'server entry refused', extra={'reason': str(error)}
                )
            case Success(server):
                self._servers.put(name, server)
                _log_server(name, server.state.value, event.revision)

    def _apply_host(self, name: str, event: store.Event, now_ms: int) -> None:
        if isinstance(event, store.Removal):
            self._hosts.remove(name, now_ms)
            self._lost.add(name)
            return
        match entries.read_host(name, event.value):
            case Failure(error):
                self._hosts.discard(name)
                log.warning('host entry refused', extra={'reason': str(error)})
            case Success(host):
                self._hosts.put(name, host)
                self._lost.discard(name)


def _log_server(name: str, state: str, revision: int) -> None:
    log.info(
        'server entry changed',
        extra={'server': name, 'state': state, 'revision': revision},
    )
