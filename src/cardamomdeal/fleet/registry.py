"""Store entries that count as present, also shortly after an outage."""

from collections.abc import Mapping
import dataclasses
from typing import Generic
from typing import TypeVar

# Entries that expired during an outage of the store are rewritten within
# about two seconds of its return; owners of those still missing have
# stopped. The grace period is shorter, since an owner may have stopped long
# before: a server must get no new requests two seconds after this host could
# have learned of it.
EXPIRY_GRACE_MS = 1_500

Entry = TypeVar('Entry')


@dataclasses.dataclass(frozen=True, slots=True)
class RetainedEntry(Generic[Entry]):
    """An entry that is missing, possibly because of the store's outage."""

    entry: Entry
    until_ms: int


class Registry(Generic[Entry]):
    """Entries by name, kept for a while if they expired in an outage.

    An entry that goes missing right after an outage stays present for a
    grace period, in which its owner may write it again.
    """

    def __init__(self) -> None:
        self._present: dict[str, Entry] = {}
        self._retained: dict[str, RetainedEntry[Entry]] = {}
        self._grace_until_ms = 0

    def start_grace_period(self, now_ms: int) -> None:
        """Retain entries that go missing from now, after an outage."""
        self._grace_until_ms = now_ms + EXPIRY_GRACE_MS

    def replace(self, entries: Mapping[str, Entry], now_ms: int) -> None:
        """Replace all entries by those of a complete read of the store."""
        for name in self._present.keys() - entries.keys():
            self.remove(name, now_ms)
        for name, entry in entries.items():
            self.put(name, entry)

    def put(self, name: str, entry: Entry) -> None:
        """Add or replace one entry."""
        self._retained.pop(name, None)
        self._present[name] = entry

    def get(self, name: str) -> Entry | None:
        """Return the entry of this name that the store has, or None."""
        return self._present.get(name)

    def remove(self, name: str, now_ms: int) -> None:
        """Remove an entry, at the end of the grace period if one runs."""
        entry = self._present.pop(name, None)
        if entry is not None and now_ms < self._grace_until_ms:
            self._retained[name] = RetainedEntry(entry, self._grace_until_ms)

    def retain(self, name: str, restored_at_ms: int) -> None:
        """Keep an entry that a restored store lacks for a grace period."""
        entry = self._present.pop(name, None)
        if entry is not None:
            until_ms = restored_at_ms + EXPIRY_GRACE_MS
            self._retained[name] = RetainedEntry(entry, until_ms)

    def is_retained(self, name: str) -> bool:
        """Return whether an entry is missing but still counts as present."""
        return name in self._retained

    def discard(self, name: str) -> None:
        """Remove an entry at once, for instance if it was overwritten."""
        self._present.pop(name, None)
        self._retained.pop(name, None)

    def expire(self, now_ms: int) -> list[Entry]:
        """Remove and return the retained entries that are overdue."""
        expired = [
            name
            for name, retained in self._retained.items()
            if retained.until_ms <= now_ms
        ]
        return [self._retained.pop(name).entry for name in expired]

    def entries(self) -> tuple[Entry, ...]:
        """Return every entry that counts as present."""
        retained = (retained.entry for retained in self._retained.values())
        return (*self._present.values(), *retained)
