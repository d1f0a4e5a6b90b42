"""Servers that have left, for a store that is restored from an older copy.

The copy still holds the entries that these servers had before. Their owners
or the expiry of the entries remove them again, some heartbeats later.
"""

from cardamomdeal.fleet import model

# The copy is some seconds old.
REMEMBERED_MS = 60_000
# An entry expires after three heartbeats without a renewal.
EXPIRY_HEARTBEATS = 3
# What expired while the store was away is written again in this time.
REWRITE_MS = 2_000


class Departures:
    """Servers that have left lately, and those held back after a restore."""

    def __init__(self, heartbeat_ms: int) -> None:
        self._hold_ms = EXPIRY_HEARTBEATS * heartbeat_ms + REWRITE_MS
        # Times of the departures, the oldest first.
        self._left_at_ms: dict[model.Incarnation, int] = {}
        # Ends of the holds by server ID.
        self._held_until_ms: dict[str, int] = {}
        self._restored_revision = 0

    def record(self, server: model.BackendServer, now_ms: int) -> None:
        """Record that a server is leaving or gone."""
        self._left_at_ms.pop(server.incarnation, None)
        self._left_at_ms[server.incarnation] = now_ms
        self._held_until_ms.pop(server.server_id, None)
        while self._left_at_ms:
            oldest = next(iter(self._left_at_ms))
            if now_ms - self._left_at_ms[oldest] <= REMEMBERED_MS:
                break
            del self._left_at_ms[oldest]

    def record_restore(self, revision: int) -> None:
        """Record the revision at which a restored store was read."""
        self._restored_revision = revision

    def holds_back(
        self, server: model.BackendServer, revision: int, now_ms: int
    ) -> bool:
        """Return whether a ready server's entry is that of an older copy.

        An entry that was written since the restore counts, as does one that
        has outlived the time in which it would have expired.
        """
        left_at_ms = self._left_at_ms.get(server.incarnation)
        is_held = (
            left_at_ms is not None
            and now_ms - left_at_ms <= REMEMBERED_MS
            and revision <= self._restored_revision
        )
        if is_held:
            # Several complete reads may bring the same entry.
            self._held_until_ms.setdefault(
                server.server_id, now_ms + self._hold_ms
            )
        else:
            self.forget(server)
        return is_held

    def forget(self, server: model.BackendServer) -> None:
        """Record that a server is in use again."""
        self._left_at_ms.pop(server.incarnation, None)
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
