"""Hands a whole view of the store from one host to another in parts."""

from collections.abc import Sequence
import dataclasses
from typing import Generic
from typing import TypeVar

# Entries of one part together: fits a datagram with room to spare.
PART_BYTES = 32_000
# Key and revision of an entry beside its value.
ENTRY_OVERHEAD_BYTES = 64
# Parts of a view arrive one after the other; what is missing after this was
# lost, and the view is asked for again.
COLLECT_MS = 1_000

# A view that is younger by less than this is not worth its bytes.
FRESHER_MS = 500

Entry = TypeVar('Entry')


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """Name a view: who sent it and how far it had read the store."""

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
        if parts[-1] and part_bytes + entry_bytes > PART_BYTES:
            parts.append([])
            part_bytes = 0
        parts[-1].append(entry)
        part_bytes += entry_bytes
    return tuple(tuple(part) for part in parts)


def is_worth_sending(age_ms: int, known_age_ms: int | None) -> bool:
    """Return whether a view tells more than the one that a host has.

    While the store is away from all hosts, all views are as old, and
    sending them around would only load the links.
    """
    return known_age_ms is None or age_ms + FRESHER_MS < known_age_ms


class Collector(Generic[Entry]):
    """Put the parts of one view together.

    Load it answers: many hosts that start while the store is away and ask
    the same few others; parts of several answers arrive mixed.
    """

    def __init__(self) -> None:
        self._parts: dict[Version, dict[int, tuple[Entry, ...]]] = {}
        self._begun_at_ms: dict[Version, int] = {}

    def take(
        self,
        version: Version,
        number: int,
        count: int,
        entries: tuple[Entry, ...],
        now_ms: int,
    ) -> tuple[Entry, ...] | None:
        """Take one part; return every entry once the view is whole."""
        self._expire(now_ms)
        if not 0 <= number < count:
            return None
        self._begun_at_ms.setdefault(version, now_ms)
        parts = self._parts.setdefault(version, {})
        parts[number] = entries
        if len(parts) < count:
            return None
        self._forget(version)
        return tuple(e for place in sorted(parts) for e in parts[place])

    def _expire(self, now_ms: int) -> None:
        for version, begun_at_ms in list(self._begun_at_ms.items()):
            if now_ms - begun_at_ms > COLLECT_MS:
                self._forget(version)

    def _forget(self, version: Version) -> None:
        del self._begun_at_ms[version]
        del self._parts[version]
