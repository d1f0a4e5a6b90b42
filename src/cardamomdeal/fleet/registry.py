"""Entries of the store that count as present."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Generic
from typing import TypeVar

# Entries that ran out while the store was away are written again within
# about two seconds of its return; one still missing then is gone. Less
# than that, since the server may have left long before: new work must not
# reach it two seconds after this host could know.
LAPSE_HOLD_MS = 1_500

Entry = TypeVar('Entry')


@dataclasses.dataclass(frozen=True, slots=True)
class Held(Generic[Entry]):
    """Keep an entry whose absence may only be the store's."""

    entry: Entry
    until_ms: int


class Registry(Generic[Entry]):
    """Hold entries by name and tell a lapse from a leave."""

    def __init__(self) -> None:
        self._present: dict[str, Entry] = {}
        self._held: dict[str, Held[Entry]] = {}
        self._hold_until_ms = 0

    def note_store_returned(self, now_ms: int) -> None:
        """Begin the time in which absent entries may still come back."""
        self._hold_until_ms = now_ms + LAPSE_HOLD_MS

    def replace(self, entries: Mapping[str, Entry], now_ms: int) -> None:
        """Take over a whole reading of the store."""
        for name in self._present.keys() - entries.keys():
            self.remove(name, now_ms)
        for name, entry in entries.items():
            self.put(name, entry)

    def put(self, name: str, entry: Entry) -> None:
        """Take over one entry."""
        self._held.pop(name, None)
        self._present[name] = entry

    def remove(self, name: str, now_ms: int) -> None:
        """Drop an entry, after a while if the store had been away."""
        entry = self._present.pop(name, None)
        if entry is not None and now_ms < self._hold_until_ms:
            self._held[name] = Held(entry, self._hold_until_ms)

    def discard(self, name: str) -> None:
        """Drop an entry at once, for instance one that was overwritten."""
        self._present.pop(name, None)
        self._held.pop(name, None)

    def expire(self, now_ms: int) -> bool:
        """Drop entries that were held long enough; return if any were."""
        expired = [
            name
            for name, held in self._held.items()
            if held.until_ms <= now_ms
        ]
        for name in expired:
            del self._held[name]
        return bool(expired)

    def entries(self) -> tuple[Entry, ...]:
        """Return every entry that counts as present."""
        held = (held.entry for held in self._held.values())
        return (*self._present.values(), *held)

    def names(self) -> Iterable[str]:
        """Return the names of the entries that count as present."""
        return (*self._present, *self._held)
