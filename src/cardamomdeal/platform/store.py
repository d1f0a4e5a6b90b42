"""Client of the platform's store."""

import base64
import dataclasses
from typing import Any
from urllib import parse

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import urllib3

from cardamomdeal.internal import address
from cardamomdeal.internal import units
from cardamomdeal.platform import errors

ABSENT_REVISION = 0
NO_LEASE = 0
# A watch answers when its wait is over; this much later it counts as lost.
WATCH_MARGIN_MS = 400

_PATH = '/cardamomdeal/'


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Hold a key as it was written."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """Tell that a key was removed."""

    key: str
    revision: int


Event = Item | Removal


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Hold the items of a prefix; the store was read at the revision."""

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Hold what changed up to a revision of the store."""

    events: tuple[Event, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Name a lease and how long it runs after each renewal."""

    lease_id: int
    duration_ms: int


class _ItemModel(pydantic.BaseModel):
    key: str
    value: pydantic.Base64Bytes = b''
    revision: int
    # Only present in events of removed keys.
    removed: bool = False


class _ItemReply(_ItemModel):
    store_revision: int = 0


class _RangeReply(pydantic.BaseModel):
    items: list[_ItemModel]
    has_more: bool
    store_revision: int


class _WatchReply(pydantic.BaseModel):
    events: list[_ItemModel]
    store_revision: int


class _TransactionReply(pydantic.BaseModel):
    revision: int


class _LeaseReply(pydantic.BaseModel):
    lease: int = NO_LEASE
    ttl_time: units.DurationMs


class StoreClient:
    """Call the store; one task owns each instance."""

    def __init__(self, at: address.Address, timeout_ms: int) -> None:
        self.calls = 0
        self._timeout_ms = timeout_ms
        self._at = at
        self._pool = _connect(at)

    def use_address(self, at: address.Address) -> None:
        """Call the store at another address from now on."""
        if at == self._at:
            return
        self._pool.close()
        self._at = at
        self._pool = _connect(at)

    def get(self, key: str) -> Result[Item, errors.PlatformError]:
        """Read a key; NotFound when it does not exist."""
        answer = self._call('GET', 'kv-key', {'key': key})
        return answer.bind(lambda data: _checked(_ItemReply, data)).map(_item)

    def range(
        self, prefix: str, stale: bool = False
    ) -> Result[Range, errors.PlatformError]:
        """Read every item of a prefix, page after page."""
        items: list[Item] = []
        first_revision: int | None = None
        after: str | None = None
        while True:
            query: dict[str, Any] = {'prefix': prefix}
            if after is not None:
                query['after'] = after
            if stale:
                query['allow_stale'] = 1
            answer = self._call('GET', 'kv-range', query)
            match answer.bind(lambda data: _checked(_RangeReply, data)):
                case Success(page):
                    pass
                case failed:
                    return failed
            items.extend(_item(item) for item in page.items)
            if first_revision is None:
                # Pages are no snapshot: what changed after the first one
                # was read is seen again by a watch from its revision.
                first_revision = page.store_revision
            if not page.has_more or not page.items:
                return Success(Range(tuple(items), first_revision))
            after = page.items[-1].key

    def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Result[Changes, errors.PlatformError]:
        """Wait for changes after a revision; none when the wait is over."""
        answer = self._call(
            'GET',
            'kv-watch',
            {'prefix': prefix, 'after': after_revision, 'wait_ms': wait_ms},
            timeout_ms=wait_ms + WATCH_MARGIN_MS,
        )
        return answer.bind(lambda data: _checked(_WatchReply, data)).map(
            lambda reply: Changes(
                tuple(_event(event) for event in reply.events),
                reply.store_revision,
            )
        )

    def write(
        self,
        key: str,
        value: bytes,
        expected_revision: int | None = None,
        lease_id: int = NO_LEASE,
    ) -> Result[int, errors.PlatformError]:
        """Write a key, on condition of its revision if one is given."""
        body: dict[str, Any] = {
            'puts': [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'lease': lease_id,
                }
            ]
        }
        if expected_revision is not None:
            body['expected_revision'] = [
                {'key': key, 'revision': expected_revision}
            ]
        return self._transact(body)

    def delete(self, key: str) -> Result[int, errors.PlatformError]:
        """Remove a key."""
        return self._transact({'deletes': [key]})

    def grant_lease(
        self, duration_ms: int
    ) -> Result[Lease, errors.PlatformError]:
        """Begin a lease."""
        answer = self._call(
            'POST', 'kv-lease', body={'ttl_time': f'{duration_ms}ms'}
        )
        return answer.bind(lambda data: _checked(_LeaseReply, data)).map(
            lambda reply: Lease(reply.lease, reply.ttl_time)
        )

    def keep_lease(self, lease: Lease) -> Result[Lease, errors.PlatformError]:
        """Renew a lease; LeaseEnded when it has run out."""
        answer = self._call('POST', f'kv-keep/{lease.lease_id}')
        return answer.bind(lambda data: _checked(_LeaseReply, data)).map(
            lambda reply: Lease(lease.lease_id, reply.ttl_time)
        )

    def end_lease(self, lease: Lease) -> Result[None, errors.PlatformError]:
        """End a lease, which removes its keys."""
        return self._call('DELETE', f'kv-lease-end/{lease.lease_id}').map(
            lambda _: None
        )

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _transact(
        self, body: dict[str, Any]
    ) -> Result[int, errors.PlatformError]:
        answer = self._call('POST', 'kv-txn', body=body)
        return answer.bind(lambda data: _checked(_TransactionReply, data)).map(
            lambda reply: reply.revision
        )

    def _call(
        self,
        method: str,
        name: str,
        query: dict[str, Any] | None = None,
        body: dict[str, Any] | None = None,
        timeout_ms: int | None = None,
    ) -> Result[bytes, errors.PlatformError]:
        self.calls += 1
        target = _PATH + name
        if query:
            target += '?' + parse.urlencode(query)
        try:
            answer = self._pool.request(
                method,
                target,
                json=body,
                timeout=(timeout_ms or self._timeout_ms) / 1000,
            )
        except urllib3.exceptions.HTTPError as error:
            return Failure(errors.PlatformUnavailable(str(error)))
        return _by_status(name, answer)


def _connect(at: address.Address) -> urllib3.HTTPConnectionPool:
    # A connection that lost an answer returns nothing further, so a
    # failed call always closes its connection (urllib3 does so).
    return urllib3.HTTPConnectionPool(
        at.host, at.port, maxsize=1, retries=False
    )


def _by_status(
    name: str, answer: urllib3.BaseHTTPResponse
) -> Result[bytes, errors.PlatformError]:
    match answer.status:
        case 200 | 204:
            return Success(answer.data)
        case 404:
            return Failure(errors.NotFound(name))
        case 410:
            return Failure(errors.HistoryLost(name))
        case 412:
            return Failure(errors.RevisionConflict('the key has changed'))
        case 429:
            return Failure(errors.PlatformBusy(name))
        case status if status >= 500:
            return Failure(
                errors.PlatformUnavailable(f'{name}: status {status}')
            )
        case status:
            return Failure(errors.PlatformError(f'{name}: status {status}'))


def _checked(schema: type[Any], data: bytes) -> Result[Any, Any]:
    try:
        return Success(schema.model_validate_json(data))
    except ValueError as error:
        return Failure(errors.PlatformError(f'unexpected answer: {error}'))


def _item(checked: _ItemModel) -> Item:
    return Item(checked.key, checked.value, checked.revision)


def _event(checked: _ItemModel) -> Event:
    if checked.removed:
        return Removal(checked.key, checked.revision)
    return _item(checked)
