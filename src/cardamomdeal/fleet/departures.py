"""Servers that have left, for a store that is restored from an older copy.

The copy still holds the entries that these servers had before. Their owners
or the expiry of the entries remove them again, some heartbeats later.
"""

import dataclasses

from cardamomdeal.fleet import model
from cardamomdeal.fleet import revisions

# The copy is some seconds old.
REMEMBERED_MS = 60_000
# An entry expires after three heartbeats without a renewal.
EXPIRY_HEARTBEATS = 3
# What expired while the store was away is written again in this time.
REWRITE_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """When a server left, and the highest number of its ready entries.

    Not only the last number: each restore may bring an earlier content back.
    """

    at_ms: int
    ready_number: int


class Departures:
    """Servers that have left lately, and those held back after a restore."""

    def __init__(self, heartbeat_ms: int) -> None:
        self._hold_ms = EXPIRY_HEARTBEATS * heartbeat_ms + REWRITE_MS
        # Highest numbers of the revisions of servers that are ready.
        self._ready_numbers: dict[model.Incarnation, int] = {}
        # The oldest departure first.
        self._departures: dict[model.Incarnation, Departure] = {}
        # Ends of the holds by server ID.
        self._held_until_ms: dict[str, int] = {}
        self._restored_revision = 0

    def record(self, server: model.BackendServer, now_ms: int) -> None:
        """Record that a server is leaving or gone."""
        incarnation = server.incarnation
        earlier = self._departures.pop(incarnation, None)
        self._departures[incarnation] = Departure(
            now_ms,
            self._ready_numbers.pop(
                incarnation,
                earlier.ready_number if earlier else revisions.MAX_NUMBER,
            ),
        )
        self._held_until_ms.pop(server.server_id, None)
        while self._departures:
            oldest = next(iter(self._departures))
            if now_ms - self._departures[oldest].at_ms <= REMEMBERED_MS:
                break
            del self._departures[oldest]

    def record_restore(self, revision: int) -> None:
        """Record the revision at which a restored store was read."""
        self._restored_revision = revision
        # An entry in this copy has its own time to expire.
        self._held_until_ms.clear()

    def holds_back(
        self, server: model.BackendServer, revision: int, now_ms: int
    ) -> bool:
        """Return whether a ready server's entry is that of an older copy.

        An entry that was written since the restore counts, as does one that
        has outlived the time in which it would have expired. The copy holds
        an entry that was seen before the departure, or an earlier one.
        """
        departure = self._departures.get(server.incarnation)
        is_held = (
            departure is not None
            and now_ms - departure.at_ms <= REMEMBERED_MS
            and revision <= self._restored_revision
            and revisions.number(revision) <= departure.ready_number
        )
        if is_held:
            # Several complete reads may bring the same entry.
            self._held_until_ms.setdefault(
                server.server_id, now_ms + self._hold_ms
            )
        else:
            self.record_ready(server, revision)
        return is_held

    def record_ready(self, server: model.BackendServer, revision: int) -> None:
        """Record that a server is in use, by the entry of a revision."""
        incarnation = server.incarnation
        numbers = [
            revisions.number(revision),
            self._ready_numbers.get(incarnation, 0),
        ]
        departure = self._departures.pop(incarnation, None)
        if departure is not None:
            numbers.append(departure.ready_number)
        self._ready_numbers[incarnation] = max(numbers)
        self._held_until_ms.pop(server.server_id, None)

    def release(self, server_id: str) -> None:
        """End the hold of a server whose entry is gone."""
        self._held_until_ms.pop(server_id, None)

    def pop_expired(self, now_ms: int) -> list[str]:
        """Return the servers whose hold has ended since the last call."""
        expired = [
            server_id
            for server_id, until_ms in self._held_until_ms.items()
            if until_ms <= now_ms
        ]
        for server_id in expired:
            del self._held_until_ms[server_id]
        return expired
