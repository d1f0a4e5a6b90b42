"""Access to single keys and the host list through the store client."""

import dataclasses

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.internal import address
from cardamomdeal.platform import errors
from cardamomdeal.platform import service
from cardamomdeal.platform import store

LISTED_HOSTS_PREFIX = 'listed-hosts/'


class ListedHostModel(pydantic.BaseModel):
    """Schema of an entry of the host list."""

    address: str
    state: service.HostState


@dataclasses.dataclass(frozen=True, slots=True)
class _WatchPosition:
    """Newest revision reported for a key, and store revision read so far."""

    key_revision: int
    store_revision: int


class KeyValueClient:
    """Client of single keys; each instance is owned by one task."""

    def __init__(
        self, server_address: address.Address, timeout_ms: int
    ) -> None:
        self._store = store.StoreClient(server_address, timeout_ms)
        self._positions: dict[str, _WatchPosition] = {}

    def get(
        self, key: str
    ) -> Result[service.KeyState | None, errors.PlatformError]:
        """Read a key; None when it does not exist."""
        match self._store.get(key):
            case Success(item):
                return Success(_key_state(item))
            case Failure(errors.NotFound()):
                return Success(None)
            case failed:
                return failed

    def compare_and_swap(
        self, key: str, value: str, expected_revision: int
    ) -> Result[service.KeyState, errors.PlatformError]:
        """Write a key if it is still at the expected revision."""
        written = self._store.write(key, value.encode(), expected_revision)
        return written.map(lambda revision: service.KeyState(value, revision))

    def watch(
        self, key: str, after_revision: int, wait_ms: int
    ) -> Result[service.KeyState | None, errors.PlatformError]:
        """Wait for a newer revision; None when the wait expires."""
        position = self._positions.get(key)
        if position is None or position.key_revision > after_revision:
            # The caller did not adopt the revision reported last, or this is
            # the first watch of the key.
            return self._resync(key, after_revision)
        match self._store.watch(key, position.store_revision, wait_ms):
            case Success(changes):
                pass
            case Failure(errors.RevisionCompacted()):
                return self._resync(key, after_revision)
            case failed:
                return failed
        written = [
            event
            for event in changes.events
            if event.key == key and isinstance(event, store.Item)
        ]
        latest = _key_state(written[-1]) if written else None
        self._record_position(key, latest, after_revision, changes.revision)
        return Success(latest)

    def hosts(
        self,
    ) -> Result[tuple[service.ListedHost, ...], errors.PlatformError]:
        """Read the host list."""
        return self._store.range(LISTED_HOSTS_PREFIX).bind(_parse_hosts)

    def _resync(
        self, key: str, after_revision: int
    ) -> Result[service.KeyState | None, errors.PlatformError]:
        match self._store.range(key):
            case Success(read):
                pass
            case failed:
                return failed
        newer = [
            _key_state(item)
            for item in read.items
            if item.key == key and item.revision > after_revision
        ]
        latest = newer[0] if newer else None
        self._record_position(key, latest, after_revision, read.revision)
        return Success(latest)

    def _record_position(
        self,
        key: str,
        latest: service.KeyState | None,
        after_revision: int,
        store_revision: int,
    ) -> None:
        key_revision = latest.revision if latest else after_revision
        self._positions[key] = _WatchPosition(key_revision, store_revision)


def _key_state(item: store.Item) -> service.KeyState:
    return service.KeyState(item.value.decode(), item.revision)


def _parse_hosts(
    read: store.Range,
) -> Result[tuple[service.ListedHost, ...], errors.PlatformError]:
    hosts: list[service.ListedHost] = []
    for item in read.items:
        try:
            parsed = ListedHostModel.model_validate_json(item.value)
        except ValueError as error:
            return Failure(errors.PlatformError(f'{item.key}: {error}'))
        name = item.key.removeprefix(LISTED_HOSTS_PREFIX)
        hosts.append(service.ListedHost(name, parsed.address, parsed.state))
    return Success(tuple(hosts))
