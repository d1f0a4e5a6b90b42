"""Single keys and the host list, read through the store's client."""

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
    """Check one entry of the host list."""

    address: str
    state: service.HostState


@dataclasses.dataclass(frozen=True, slots=True)
class _Seen:
    """Hold what a watch told of a key, and how far it had read."""

    key_revision: int
    store_revision: int


class KeyService:
    """Offer single keys of the store; one task owns each instance."""

    def __init__(self, at: address.Address, timeout_ms: int) -> None:
        self._store = store.StoreClient(at, timeout_ms)
        self._seen: dict[str, _Seen] = {}

    def get(
        self, key: str
    ) -> Result[service.KeyState | None, errors.PlatformError]:
        """Read a key."""
        match self._store.get(key):
            case Success(item):
                return Success(_state(item))
            case Failure(errors.NotFound()):
                return Success(None)
            case failed:
                return failed

    def compare_and_swap(
        self, key: str, value: str, expected_revision: int
    ) -> Result[service.KeyState, errors.PlatformError]:
        """Write a key if its revision is the expected one."""
        written = self._store.write(key, value.encode(), expected_revision)
        return written.map(lambda revision: service.KeyState(value, revision))

    def watch(
        self, key: str, after_revision: int, wait_ms: int
    ) -> Result[service.KeyState | None, errors.PlatformError]:
        """Wait for a newer revision; None when none came in time."""
        seen = self._seen.get(key)
        if seen is None or seen.key_revision > after_revision:
            # What was told last was not taken over, or nothing was told.
            return self._read_again(key, after_revision)
        match self._store.watch(key, seen.store_revision, wait_ms):
            case Success(changes):
                pass
            case Failure(errors.HistoryLost()):
                return self._read_again(key, after_revision)
            case failed:
                return failed
        written = [
            event
            for event in changes.events
            if event.key == key and isinstance(event, store.Item)
        ]
        latest = _state(written[-1]) if written else None
        self._note(key, latest, after_revision, changes.revision)
        return Success(latest)

    def hosts(
        self,
    ) -> Result[tuple[service.ListedHost, ...], errors.PlatformError]:
        """Read the host list."""
        return self._store.range(LISTED_HOSTS_PREFIX).bind(_listed)

    def _read_again(
        self, key: str, after_revision: int
    ) -> Result[service.KeyState | None, errors.PlatformError]:
        match self._store.range(key):
            case Success(read):
                pass
            case failed:
                return failed
        newer = [
            _state(item)
            for item in read.items
            if item.key == key and item.revision > after_revision
        ]
        latest = newer[0] if newer else None
        self._note(key, latest, after_revision, read.revision)
        return Success(latest)

    def _note(
        self,
        key: str,
        latest: service.KeyState | None,
        after_revision: int,
        store_revision: int,
    ) -> None:
        key_revision = latest.revision if latest else after_revision
        self._seen[key] = _Seen(key_revision, store_revision)


def _state(item: store.Item) -> service.KeyState:
    return service.KeyState(item.value.decode(), item.revision)


def _listed(
    read: store.Range,
) -> Result[tuple[service.ListedHost, ...], errors.PlatformError]:
    hosts: list[service.ListedHost] = []
    for item in read.items:
        try:
            checked = ListedHostModel.model_validate_json(item.value)
        except ValueError as error:
            return Failure(errors.PlatformError(f'{item.key}: {error}'))
        name = item.key.removeprefix(LISTED_HOSTS_PREFIX)
        hosts.append(service.ListedHost(name, checked.address, checked.state))
    return Success(tuple(hosts))
