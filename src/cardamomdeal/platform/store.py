"""HTTP client of the platform's key-value store."""

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
# The store responds to a watch when its wait expires; the call fails if
# there is still no response this much later.
WATCH_TIMEOUT_MARGIN_MS = 400

_PATH_PREFIX = '/cardamomdeal/'


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Key with its value and the revision that wrote it."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Removal:
    """Removal of a key."""

    key: str
    revision: int


Event = Item | Removal


@dataclasses.dataclass(frozen=True, slots=True)
class Range:
    """Items under a prefix, and the store revision they were read at."""

    items: tuple[Item, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to a revision of the store."""

    events: tuple[Event, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Lease and its duration from each renewal."""

    lease_id: int
    duration_ms: int


class _Reply(pydantic.BaseModel):
    # Errors are logged, and values may hold keys of workspaces.
    model_config = pydantic.ConfigDict(hide_input_in_errors=True)


class _ItemModel(_Reply):
    key: str
    value: pydantic.Base64Bytes = b''
    revision: int
    # Present only in events that report a removed key.
    removed: bool = False


class _ItemReply(_ItemModel):
    store_revision: int = 0


class _RangeReply(_Reply):
    items: list[_ItemModel]
    has_more: bool
    store_revision: int


class _WatchReply(_Reply):
    events: list[_ItemModel]
    store_revision: int


class _TransactionReply(_Reply):
    revision: int


class _LeaseReply(_Reply):
    lease: int = NO_LEASE
    ttl_time: units.DurationMs


class StoreClient:
    """Client of the store; each instance is owned by one task."""

    def __init__(
        self, server_address: address.Address, timeout_ms: int
    ) -> None:
        self.calls = 0
        self._timeout_ms = timeout_ms
        self._server_address = server_address
        self._pool = _connect(server_address)

    def set_address(self, server_address: address.Address) -> None:
        """Send further calls to another address."""
        if server_address == self._server_address:
            return
        self._pool.close()
        self._server_address = server_address
        self._pool = _connect(server_address)

    def get(self, key: str) -> Result[Item, errors.PlatformError]:
        """Read a key; NotFound when it does not exist."""
        response = self._call('GET', 'kv-key', {'key': key})
        return response.bind(lambda data: _parse(_ItemReply, data)).map(
            _to_item
        )

    def range(
        self, prefix: str, stale: bool = False
    ) -> Result[Range, errors.PlatformError]:
        """Read all items under a prefix, page by page."""
        items: list[Item] = []
        first_revision: int | None = None
        after: str | None = None
        while True:
            query: dict[str, Any] = {'prefix': prefix}
            if after is not None:
                query['after'] = after
            if stale:
                query['allow_stale'] = 1
            response = self._call('GET', 'kv-range', query)
            match response.bind(lambda data: _parse(_RangeReply, data)):
                case Success(page):
                    pass
                case failed:
                    return failed
            items.extend(_to_item(item) for item in page.items)
            if first_revision is None:
                # The pages are not a consistent snapshot. A watch from the
                # first page's revision reports all changes made since then.
                first_revision = page.store_revision
            if not page.has_more or not page.items:
                return Success(Range(tuple(items), first_revision))
            after = page.items[-1].key

    def watch(
        self,
        prefix: str,
        after_revision: int,
        wait_ms: int,
        margin_ms: int = WATCH_TIMEOUT_MARGIN_MS,
    ) -> Result[Changes, errors.PlatformError]:
        """Wait for changes after a revision; empty when the wait expires."""
        response = self._call(
            'GET',
            'kv-watch',
            {'prefix': prefix, 'after': after_revision, 'wait_ms': wait_ms},
            timeout_ms=wait_ms + margin_ms,
        )
        return response.bind(lambda data: _parse(_WatchReply, data)).map(
            lambda reply: Changes(
                tuple(_to_event(event) for event in reply.events),
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
        """Write a key, only at `expected_revision` if that is given."""
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
        """Create a lease."""
        response = self._call(
            'POST', 'kv-lease', body={'ttl_time': f'{duration_ms}ms'}
        )
        return response.bind(lambda data: _parse(_LeaseReply, data)).map(
            lambda reply: Lease(reply.lease, reply.ttl_time)
        )

    def renew_lease(self, lease: Lease) -> Result[Lease, errors.PlatformError]:
        """Renew a lease; NotFound when it has expired."""
        response = self._call('POST', f'kv-keep/{lease.lease_id}')
        return response.bind(lambda data: _parse(_LeaseReply, data)).map(
            lambda reply: Lease(lease.lease_id, reply.ttl_time)
        )

    def revoke_lease(self, lease: Lease) -> Result[None, errors.PlatformError]:
        """Revoke a lease, which removes its keys."""
        return self._call('DELETE', f'kv-lease-end/{lease.lease_id}').map(
            lambda _: None
        )

    def close(self) -> None:
        """Close the connection."""
        self._pool.close()

    def _transact(
        self, body: dict[str, Any]
    ) -> Result[int, errors.PlatformError]:
        response = self._call('POST', 'kv-txn', body=body)
        return response.bind(lambda data: _parse(_TransactionReply, data)).map(
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
        target = _PATH_PREFIX + name
        if query:
            target += '?' + parse.urlencode(query)
        try:
            response = self._pool.request(
                method,
                target,
                json=body,
                timeout=(timeout_ms or self._timeout_ms) / 1000,
            )
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            # urllib3 raises ValueError for a chunk of negative size.
            return Failure(errors.PlatformUnavailable(str(error)))
        return _result_for_status(name, response)


def _connect(server_address: address.Address) -> urllib3.HTTPConnectionPool:
    # A connection on which a response was lost delivers no more data, so it
    # must be closed after every failed call; urllib3 does this.
    return urllib3.HTTPConnectionPool(
        server_address.host, server_address.port, maxsize=1, retries=False
    )


def _result_for_status(
    name: str, response: urllib3.BaseHTTPResponse
) -> Result[bytes, errors.PlatformError]:
    match response.status:
        case 200 | 204:
            return Success(response.data)
        case 404:
            return Failure(errors.NotFound(name))
        case 410:
            return Failure(errors.RevisionCompacted(name))
        case 412:
            return Failure(errors.RevisionConflict('the key has changed'))
        case 429:
            return Failure(errors.PlatformRateLimited(name))
        case status if status >= 500:
            return Failure(
                errors.PlatformUnavailable(f'{name}: status {status}')
            )
        case status:
            return Failure(errors.PlatformError(f'{name}: status {status}'))


def _parse(schema: type[Any], data: bytes) -> Result[Any, Any]:
    try:
        return Success(schema.model_validate_json(data))
    except ValueError as error:
        return Failure(errors.PlatformError(f'unexpected answer: {error}'))


def _to_item(parsed: _ItemModel) -> Item:
    return Item(parsed.key, parsed.value, parsed.revision)


def _to_event(parsed: _ItemModel) -> Event:
    if parsed.removed:
        return Removal(parsed.key, parsed.revision)
    return _to_item(parsed)
