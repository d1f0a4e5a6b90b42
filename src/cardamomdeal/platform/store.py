"""HTTP client of the platform's key-value store."""

import base64
import dataclasses
from typing import Annotated
from typing import Any
from urllib import parse

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import urllib3

from cardamomdeal.fleet import revisions
from cardamomdeal.internal import address
from cardamomdeal.internal import units
from cardamomdeal.platform import errors
from cardamomdeal.platform import wire

ABSENT_REVISION = 0
NO_LEASE = 0
# The store responds to a watch when its wait expires; the call fails if
# there is still no response this much later.
WATCH_TIMEOUT_MARGIN_MS = 400
# The era rises by one at each restore; a host may miss one or two.
MAX_ERA_STEP = 3

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
    # Era of the store that granted or renewed it; IDs are given out again.
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Body of a successful call, and the store's era."""

    body: bytes
    era: int

    def revision(self, number: int) -> int:
        """Return a revision that the body states by its number."""
        return revisions.pack(self.era, number)


_RevisionNumber = Annotated[int, pydantic.Field(ge=0, le=revisions.MAX_NUMBER)]


class _Reply(pydantic.BaseModel):
    # Errors are logged, and values may hold keys of workspaces.
    model_config = pydantic.ConfigDict(hide_input_in_errors=True)


class _ItemModel(_Reply):
    key: str
    value: pydantic.Base64Bytes = b''
    revision: _RevisionNumber
    # Present only in events that report a removed key.
    removed: bool = False


class _ItemReply(_ItemModel):
    store_revision: _RevisionNumber = 0


class _RangeReply(_Reply):
    items: list[_ItemModel]
    has_more: bool
    store_revision: _RevisionNumber


class _WatchReply(_Reply):
    events: list[_ItemModel]
    store_revision: _RevisionNumber


class _TransactionReply(_Reply):
    revision: _RevisionNumber


class _LeaseReply(_Reply):
    lease: int = NO_LEASE
    ttl_time: units.DurationMs


class StoreClient:
    """Client of the store; each instance is owned by one task."""

    def __init__(
        self, server_address: address.Address, timeout_ms: int
    ) -> None:
        self.calls = 0
        # Newest era that an answer stated; None before the first answer.
        self._era: int | None = None
        # An era far above it, until another answer states it too.
        self._unconfirmed_era: int | None = None
        self._timeout_ms = timeout_ms
        self._server_address = server_address
        self._pool = _connect(server_address)

    def set_address(self, server_address: address.Address) -> None:
        """Send further calls to another address."""
        if server_address == self._server_address:
            return
        self._server_address = server_address
        self.reconnect()

    def reconnect(self) -> None:
        """Let the next call open a new connection."""
        self._pool.close()
        self._pool = _connect(self._server_address)

    def get(self, key: str) -> Result[Item, errors.PlatformError]:
        """Read a key; NotFound when it does not exist."""
        response = self._call('GET', 'kv-key', {'key': key})
        return response.bind(
            lambda answer: _parse(_ItemReply, answer).map(
                lambda item: _to_item(item, answer)
            )
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
            match self._call('GET', 'kv-range', query):
                case Success(answer):
                    pass
                case failed:
                    return failed
            match _parse(_RangeReply, answer):
                case Success(page):
                    pass
                case failed:
                    return failed
            items.extend(_to_item(item, answer) for item in page.items)
            revision = answer.revision(page.store_revision)
            if first_revision is None:
                # The pages are not a consistent snapshot. A watch from the
                # first page's revision reports all changes made since then.
                first_revision = revision
            elif revisions.is_restored(first_revision, revision):
                return Failure(
                    errors.StoreRestored('restored between two pages')
                )
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
            {
                'prefix': prefix,
                'after': revisions.number(after_revision),
                'wait_ms': wait_ms,
            },
            timeout_ms=wait_ms + margin_ms,
        )
        return response.bind(
            lambda answer: _read_changes(answer, after_revision)
        )

    def write(
        self,
        key: str,
        value: bytes,
        expected_revision: int | None = None,
        lease_id: int = NO_LEASE,
    ) -> Result[int, errors.PlatformError]:
        """Write a key, only at `expected_revision` if that is given.

        A conflict is also reported if the store was restored meanwhile: then
        the condition may have been met by another value, and the write done.
        """
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
            if self._is_outdated(expected_revision):
                return Failure(errors.RevisionConflict('store was restored'))
            body['expected_revision'] = [
                {
                    'key': key,
                    'revision': revisions.number(expected_revision),
                }
            ]
        return self._transact(body).bind(
            lambda revision: _check_condition(expected_revision, revision)
        )

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
        return response.bind(
            lambda answer: _parse(_LeaseReply, answer).map(
                lambda reply: Lease(reply.lease, reply.ttl_time, answer.era)
            )
        )

    def renew_lease(self, lease: Lease) -> Result[Lease, errors.PlatformError]:
        """Renew a lease; NotFound when it has expired."""
        response = self._call('POST', f'kv-keep/{lease.lease_id}')
        return response.bind(
            lambda answer: _parse(_LeaseReply, answer).map(
                lambda reply: Lease(lease.lease_id, reply.ttl_time, answer.era)
            )
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
        return response.bind(
            lambda answer: _parse(_TransactionReply, answer).map(
                lambda reply: answer.revision(reply.revision)
            )
        )

    def _is_outdated(self, revision: int) -> bool:
        """Return whether a revision is known to be from before a restore."""
        return (
            revision != ABSENT_REVISION
            and self._era is not None
            and revisions.era(revision) < self._era
        )

    def _call(
        self,
        method: str,
        name: str,
        query: dict[str, Any] | None = None,
        body: dict[str, Any] | None = None,
        timeout_ms: int | None = None,
    ) -> Result[_Answer, errors.PlatformError]:
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
        return _result_for_status(name, response).bind(
            lambda data: self._record_era(
                response.headers.get(wire.STORE_ERA)
            ).map(lambda era: _Answer(data, era))
        )

    def _record_era(
        self, stated: str | None
    ) -> Result[int, errors.PlatformError]:
        """Return the era of an answer; fail if it cannot be trusted."""
        era = 0 if stated is None else _read_era(stated)
        if era is None or not self._is_plausible(era):
            return Failure(
                errors.InvalidEra(
                    f'{wire.STORE_ERA} is {stated!r}, '
                    f'the last one was {self._era}'
                )
            )
        self._era = era
        return Success(era)

    def _is_plausible(self, era: int) -> bool:
        """Return whether the era may follow the last one.

        A wrong era that is too high would make all right ones invalid.
        """
        if self._era is None or self._era <= era <= self._era + MAX_ERA_STEP:
            return True
        is_confirmed = era > self._era and era == self._unconfirmed_era
        self._unconfirmed_era = era
        return is_confirmed


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


def _read_era(stated: str) -> int | None:
    if not (stated.isascii() and stated.isdecimal()):
        return None
    digits = stated.lstrip('0')
    if len(digits) > len(str(revisions.MAX_ERA)):
        return None
    era = int(digits or '0')
    return era if era <= revisions.MAX_ERA else None


def _check_condition(
    expected_revision: int | None, revision: int
) -> Result[int, errors.PlatformError]:
    """Fail if the condition was met by a revision that was given out again."""
    if expected_revision and revisions.is_restored(
        expected_revision, revision
    ):
        return Failure(errors.RevisionConflict('store was restored'))
    return Success(revision)


def _read_changes(
    answer: _Answer, after_revision: int
) -> Result[Changes, errors.PlatformError]:
    known_era = revisions.era(after_revision)
    if answer.era > known_era:
        # Its changes follow a revision that was given out again.
        return Failure(
            errors.StoreRestored(f'era {answer.era} after {known_era}')
        )
    if answer.era < known_era:
        return Failure(
            errors.InvalidEra(f'era {answer.era} after {known_era}')
        )
    return _parse(_WatchReply, answer).map(
        lambda reply: Changes(
            tuple(_to_event(event, answer) for event in reply.events),
            answer.revision(reply.store_revision),
        )
    )


def _parse(schema: type[Any], answer: _Answer) -> Result[Any, Any]:
    try:
        return Success(schema.model_validate_json(answer.body))
    except ValueError as error:
        return Failure(errors.PlatformError(f'unexpected answer: {error}'))


def _to_item(parsed: _ItemModel, answer: _Answer) -> Item:
    return Item(parsed.key, parsed.value, answer.revision(parsed.revision))


def _to_event(parsed: _ItemModel, answer: _Answer) -> Event:
    if parsed.removed:
        return Removal(parsed.key, answer.revision(parsed.revision))
    return _to_item(parsed, answer)
