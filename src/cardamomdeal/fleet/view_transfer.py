"""Splits a complete view of the store into datagrams and reassembles it."""

from collections.abc import Sequence
import dataclasses
from typing import Generic
from typing import Protocol
from typing import TypeVar

# Maximum size of the entries of one part. Slow links drop larger datagrams
# more often, and one lost part makes a view useless.
MAX_PART_BYTES = 16_000
# Key and revision that are sent with the value of each entry.
ENTRY_OVERHEAD_BYTES = 64
# The parts of a view are sent one after the other. Parts that are missing
# after this time are lost, and the view is requested again.
REASSEMBLY_TIMEOUT_MS = 1_000

# A view is sent only if it is newer than the receiver's by more than this.
MIN_AGE_GAIN_MS = 500


class HasRevision(Protocol):
    """An entry with the revision of the store that wrote it."""

    revision: int


Entry = TypeVar('Entry', bound=HasRevision)


@dataclasses.dataclass(frozen=True, slots=True)
class Changes(Generic[Entry]):
    """The changes from one revision of the store to another."""

    after_revision: int
    revision: int
    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ViewId:
    """Sender of a view and the store revision that it had read."""

    host: str
    revision: int


def split(
    entries: Sequence[Entry], sizes_bytes: Sequence[int]
) -> tuple[tuple[Entry, ...], ...]:
    """Group entries into parts; an empty view has one empty part."""
    parts: list[list[Entry]] = [[]]
    part_bytes = 0
    for entry, size_bytes in zip(entries, sizes_bytes, strict=True):
        entry_bytes = size_bytes + ENTRY_OVERHEAD_BYTES
        if parts[-1] and part_bytes + entry_bytes > MAX_PART_BYTES:
            parts.append([])
            part_bytes = 0
        parts[-1].append(entry)
        part_bytes += entry_bytes
    return tuple(tuple(part) for part in parts)


def split_changes(
    entries: Sequence[Entry],
    sizes_bytes: Sequence[int],
    after_revision: int,
    revision: int,
) -> list['Changes[Entry]']:
    """Split changes into parts that are applied one after the other.

    A receiver ignores what is not newer than its revision, so entries of one
    revision stay together.
    """
    parts: list[Changes[Entry]] = []
    part: list[Entry] = []
    part_bytes = 0
    for entry, size_bytes in zip(entries, sizes_bytes, strict=True):
        entry_bytes = size_bytes + ENTRY_OVERHEAD_BYTES
        is_full = part_bytes + entry_bytes > MAX_PART_BYTES
        if part and is_full and entry.revision > part[-1].revision:
            parts.append(
                Changes(after_revision, part[-1].revision, tuple(part))
            )
            after_revision = part[-1].revision
            part, part_bytes = [], 0
        part.append(entry)
        part_bytes += entry_bytes
    return [*parts, Changes(after_revision, revision, tuple(part))]


def is_worth_sending(age_ms: int, receiver_age_ms: int | None) -> bool:
    """Return whether a view is sufficiently newer than the receiver's.

    While no host can reach the store all views are equally old, and sending
    them would only load the network.
    """
    return (
        receiver_age_ms is None or age_ms + MIN_AGE_GAIN_MS < receiver_age_ms
    )


class ViewAssembler(Generic[Entry]):
    """Reassembles views from their parts.

    Keeps the views apart: many hosts that start while the store is down ask
    the same few hosts, and the parts of several views arrive interleaved.
    """

    def __init__(self) -> None:
        self._parts: dict[ViewId, dict[int, tuple[Entry, ...]]] = {}
        self._started_at_ms: dict[ViewId, int] = {}

    def add_part(
        self,
        view_id: ViewId,
        number: int,
        count: int,
        entries: tuple[Entry, ...],
        now_ms: int,
    ) -> tuple[Entry, ...] | None:
        """Add one part; return all entries once the view is complete."""
        self._expire(now_ms)
        if not 0 <= number < count:
            return None
        self._started_at_ms.setdefault(view_id, now_ms)
        parts = self._parts.setdefault(view_id, {})
        parts[number] = entries
        if len(parts) < count:
            return None
        self._discard(view_id)
        return tuple(
            entry for index in sorted(parts) for entry in parts[index]
        )

    def _expire(self, now_ms: int) -> None:
        for view_id, started_at_ms in list(self._started_at_ms.items()):
            if now_ms - started_at_ms > REASSEMBLY_TIMEOUT_MS:
                self._discard(view_id)

    def _discard(self, view_id: ViewId) -> None:
        del self._started_at_ms[view_id]
        del self._parts[view_id]
