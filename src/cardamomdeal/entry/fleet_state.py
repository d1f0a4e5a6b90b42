"""State of the fleet, decoded from the items of the store."""

import logging

from returns.result import Failure
from returns.result import Success

from cardamomdeal.fleet import departures
from cardamomdeal.fleet import model
from cardamomdeal.fleet import registry
from cardamomdeal.fleet import revisions
from cardamomdeal.fleet import routes
from cardamomdeal.platform import configuration
from cardamomdeal.platform import entries
from cardamomdeal.platform import store
from cardamomdeal.platform import wire

DEFAULT_HEARTBEAT_MS = 1_500

log = logging.getLogger(__name__)


class FleetState:
    """Configuration, backend servers and entry hosts of the fleet."""

    def __init__(self, heartbeat_ms: int = DEFAULT_HEARTBEAT_MS) -> None:
        self.revision = 0
        # Of the configuration in force.
        self._routes: routes.RouteTable | None = None
        # Revision that wrote the configuration in force, and the one that
        # wrote its entry last: they differ if that could not be applied.
        self.applied_revision: int | None = None
        self.configuration_revision: int | None = None
        self._new_routes: routes.RouteTable | None = None
        self._servers: registry.Registry[model.BackendServer] = (
            registry.Registry()
        )
        self._hosts: registry.Registry[model.EntryHost] = registry.Registry()
        self._departures = departures.Departures(heartbeat_ms)
        # First revision of a newer era that another host told of, and when.
        self._heard_restore: tuple[int, int] | None = None
        self._removed_hosts: set[str] = set()
        self._items: dict[str, store.Item] = {}

    @property
    def is_empty(self) -> bool:
        """Return whether no content of the store has been received yet."""
        return not self.revision

    @property
    def is_complete(self) -> bool:
        """Return whether requests can be served with this state."""
        return self._routes is not None and not self.is_empty

    @property
    def has_workspaces(self) -> bool:
        """Return whether the configuration in force has workspaces."""
        return self._routes is not None and self._routes.key_index is not None

    @property
    def has_quotas(self) -> bool:
        """Return whether any workspace of the configuration has a quota."""
        return self._routes is not None and self._routes.has_quotas

    def items(self) -> tuple[store.Item, ...]:
        """Return the store items as received, for sending to other hosts."""
        return tuple(self._items.values())

    def servers(self) -> tuple[model.BackendServer, ...]:
        """Return the backend servers that are present."""
        return self._servers.entries()

    def hosts(self) -> tuple[model.EntryHost, ...]:
        """Return the entry hosts that are present."""
        return self._hosts.entries()

    def pop_new_routes(self) -> routes.RouteTable | None:
        """Return routes built since the last call, or None."""
        table, self._new_routes = self._new_routes, None
        return table

    def pop_host_removal(self, name: str) -> bool:
        """Return whether a host's entry was removed since the last call."""
        was_removed = name in self._removed_hosts
        self._removed_hosts.clear()
        return was_removed

    def start_grace_period(self, now_ms: int) -> None:
        """Retain entries that are removed shortly after a store outage."""
        self._servers.start_grace_period(now_ms)
        self._hosts.start_grace_period(now_ms)

    def expire(self, now_ms: int) -> bool:
        """End what is kept for a while; return whether anything changed."""
        servers = self._servers.expire(now_ms)
        for server in servers:
            # Its owner would have written the entry again by now.
            self._departures.record(server, now_ms)
        hosts = self._hosts.expire(now_ms)
        released = self._departures.pop_expired(now_ms)
        for server_id in released:
            self._release(server_id)
        return bool(servers or hosts or released)

    def _release(self, server_id: str) -> None:
        """Use a server that was held back and whose entry still exists."""
        item = self._items.get(wire.SERVERS_PREFIX + server_id)
        if item is None:
            return
        match entries.read_server(server_id, item.value):
            case Success(server):
                self._departures.record_ready(server, item.revision)
                self._servers.put(server_id, server)
                _log_server(server_id, 'no longer held back', item.revision)

    def changes_in(
        self, items: tuple[store.Item, ...], revision: int
    ) -> tuple[store.Event, ...]:
        """Return what has changed in a complete read, in order of revisions.

        Nothing if it does not continue this state's revisions. What was
        written while the pages were read is left to the watch that follows.
        """
        if self.is_empty or revisions.is_restored(self.revision, revision):
            return ()
        written = sorted(
            (
                item
                for item in items
                if self.revision < item.revision <= revision
            ),
            key=lambda item: item.revision,
        )
        keys = {item.key for item in items}
        removed = (
            store.Removal(key, revision)
            for key in self._items
            if key not in keys and key != wire.CONFIGURATION_KEY
        )
        return (*written, *removed)

    def replace(
        self, items: tuple[store.Item, ...], revision: int, now_ms: int
    ) -> None:
        """Replace the state by a complete read of the store."""
        is_restored = not self.is_empty and revisions.is_restored(
            self.revision, revision
        )
        if is_restored:
            self._start_era(revision)
        self.revision = max(self.revision, revision)
        keys = {item.key for item in items}
        for key in list(self._items):
            # The last configuration is kept for other hosts.
            if key in keys or key == wire.CONFIGURATION_KEY:
                continue
            if is_restored:
                self._retain(key, self._restored_at_ms(revision, now_ms))
            else:
                self.apply(store.Removal(key, revision), now_ms)
        if wire.CONFIGURATION_KEY not in keys and self.configuration_revision:
            self.configuration_revision = revision
        for item in items:
            self.apply(item, now_ms)

    def hear_of(self, revision: int, now_ms: int) -> None:
        """Record that another host has read the store at a revision."""
        known = self._heard_restore and self._heard_restore[0]
        if revisions.is_restored(known or self.revision, revision):
            self._heard_restore = (revision, now_ms)

    def _restored_at_ms(self, revision: int, now_ms: int) -> int:
        """Return when this host first heard of the era of a revision."""
        match self._heard_restore:
            case (heard, at_ms) if not revisions.is_restored(heard, revision):
                return at_ms
            case _:
                return now_ms

    def _start_era(self, revision: int) -> None:
        """Prepare for the content of a store that has been restored."""
        log.warning(
            'store restored from an older copy',
            extra={
                'era': revisions.era(revision),
                'era_before': revisions.era(self.revision),
                'revision': revisions.number(revision),
                'revision_before': revisions.number(self.revision),
            },
        )
        self._departures.record_restore(revision)

    def _retain(self, key: str, restored_at_ms: int) -> None:
        """Keep an entry that a restored store lacks for a while.

        Owners write again what was written since the copy was made.
        """
        del self._items[key]
        if key.startswith(wire.SERVERS_PREFIX):
            server_id = key.removeprefix(wire.SERVERS_PREFIX)
            self._departures.release(server_id)
            self._servers.retain(server_id, restored_at_ms)
        elif key.startswith(wire.ENTRY_HOSTS_PREFIX):
            name = key.removeprefix(wire.ENTRY_HOSTS_PREFIX)
            self._hosts.retain(name, restored_at_ms)
            self._removed_hosts.add(name)

    def apply(self, event: store.Event, now_ms: int) -> None:
        """Apply one change of the store; ignore one that cannot be applied.

        Anyone may have written the entry. An exception would drop all other
        changes that were read with it.
        """
        try:
            self._apply(event, now_ms)
        except Exception:
            log.exception(
                'store entry ignored: it raised an exception',
                extra={'key': event.key, 'revision': event.revision},
            )
            self._discard(event.key)

    def _discard(self, key: str) -> None:
        for prefix, entry_registry in (
            (wire.SERVERS_PREFIX, self._servers),
            (wire.ENTRY_HOSTS_PREFIX, self._hosts),
        ):
            if key.startswith(prefix):
                entry_registry.discard(key.removeprefix(prefix))

    def _apply(self, event: store.Event, now_ms: int) -> None:
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
        self.configuration_revision = max(
            self.configuration_revision or 0, event.revision
        )
        if isinstance(event, store.Removal):
            log.warning('configuration removed; keeping the last one')
            return
        match configuration.read_configuration(event.value):
            case Failure(error):
                log.error(
                    'invalid configuration ignored',
                    extra={'reason': str(error)},
                )
            case Success(decoded):
                current = self._routes
                if current is None or decoded.version > current.version:
                    self._routes = routes.build(decoded, current)
                    self._new_routes = self._routes
                    self.applied_revision = event.revision
                elif routes.build(decoded, current) == current:
                    self.applied_revision = max(
                        self.applied_revision or 0, event.revision
                    )

    def _apply_server(
        self, name: str, event: store.Event, now_ms: int
    ) -> None:
        if isinstance(event, store.Removal):
            self._departures.release(name)
            removed = self._servers.get(name)
            self._servers.remove(name, now_ms)
            # A retained server may only have expired, or be lacking in a copy.
            if removed is not None and not self._servers.is_retained(name):
                self._departures.record(removed, now_ms)
            _log_server(name, 'gone', event.revision)
            return
        match entries.read_server(name, event.value):
            case Failure(error):
                # The entry is all that shows that the server is present, so
                # the server is removed whoever wrote the invalid entry.
                self._servers.discard(name)
                log.warning(
                    'invalid server entry', extra={'reason': str(error)}
                )
            case Success(server):
                if server.state is model.ServerState.DRAINING:
                    self._departures.record(server, now_ms)
                elif self._departures.holds_back(
                    server, event.revision, now_ms
                ):
                    _log_server(name, 'held back', event.revision)
                    return
                previous = self._servers.get(name)
                if previous and previous.born_ms < server.born_ms:
                    self._departures.record(previous, now_ms)
                self._servers.put(name, server)
                _log_server(name, server.state.value, event.revision)

    def _apply_host(self, name: str, event: store.Event, now_ms: int) -> None:
        if isinstance(event, store.Removal):
            self._hosts.remove(name, now_ms)
            self._removed_hosts.add(name)
            return
        match entries.read_host(name, event.value):
            case Failure(error):
                self._hosts.discard(name)
                log.warning('invalid host entry', extra={'reason': str(error)})
            case Success(host):
                self._hosts.put(name, host)
                self._removed_hosts.discard(name)


def _log_server(name: str, state: str, revision: int) -> None:
    log.info(
        'server entry changed',
        extra={'server': name, 'state': state, 'revision': revision},
    )
