"""Decides when a host must read the store to refresh its view."""

# A host reads the store itself if no store reader has confirmed its view for
# this long.
STALE_MS = 1_200
# A host that knows of changes but has not received them within this time
# reads them from the store: they were lost or are too large for a datagram.
MISSING_CHANGES_TIMEOUT_MS = 500
# The store turns a host away for this long after a failed call. While it lacks
# changes the next call comes earlier.
TURNED_AWAY_MS = 5_000
# An entry expires after three heartbeats without a renewal, the last of which
# may have been due just before the outage; it may also have come early.
MIN_OUTAGE_HEARTBEATS = 1.7


class Freshness:
    """Age of a host's view of the store, and whether it lacks changes.

    Covers a change that is too large for a datagram: every host must apply
    it within two seconds, so each one reads it from the store, or gets it in
    fragments from another host if the store turns it away.
    """

    def __init__(self, heartbeat_ms: int) -> None:
        self._min_outage_ms = round(MIN_OUTAGE_HEARTBEATS * heartbeat_ms)
        self._confirmed_at_ms: int | None = None
        self._failed_at_ms: int | None = None
        self._has_failed_last = False
        self._missing_changes_since_ms: int | None = None
        self._is_outdated = False

    def confirm(self, at_ms: int) -> None:
        """Record that the view was complete at the given time."""
        self._confirmed_at_ms = max(self._confirmed_at_ms or 0, at_ms)

    def record_failure(self, now_ms: int) -> None:
        """Record that this host could not read the store."""
        self._failed_at_ms = now_ms
        self._has_failed_last = True

    def record_response(self) -> None:
        """Record that the store has answered this host."""
        self._has_failed_last = False

    def record_missing_changes(self, now_ms: int) -> None:
        """Record that there are changes which this host has not received."""
        if self._missing_changes_since_ms is None:
            self._missing_changes_since_ms = now_ms

    def record_restore(self) -> None:
        """Record that the store was restored since the view was read.

        No changes lead from the view to the store's new content.
        """
        self._is_outdated = True

    def clear_missing_changes(self) -> None:
        """Record that changes were received and applied."""
        self._missing_changes_since_ms = None
        self._is_outdated = False

    @property
    def lacks_changes(self) -> bool:
        """Return whether other hosts have read changes that this one lacks."""
        return self._missing_changes_since_ms is not None

    @property
    def was_confirmed(self) -> bool:
        """Return whether the view has ever been complete."""
        return self._confirmed_at_ms is not None

    def age_ms(self, now_ms: int) -> int:
        """Return the time since the view was last confirmed."""
        if self._confirmed_at_ms is None:
            return STALE_MS + 1
        return now_ms - self._confirmed_at_ms

    def known_age_ms(self, now_ms: int) -> int | None:
        """Return the age of the view, or None if it was never complete."""
        return self.age_ms(now_ms) if self.was_confirmed else None

    def is_stale(self, now_ms: int) -> bool:
        """Return whether the view was last confirmed too long ago."""
        return self.age_ms(now_ms) > STALE_MS

    def is_turned_away(self, now_ms: int) -> bool:
        """Return whether the store does not serve this host."""
        return (
            self._has_failed_last
            and self._failed_at_ms is not None
            and now_ms - self._failed_at_ms <= TURNED_AWAY_MS
        )

    def may_miss_expired_entries(self, now_ms: int) -> bool:
        """Return whether entries may have expired in an outage of the store.

        A view also gets stale when the store turns only the store readers
        away. Other hosts then read it before an entry can expire.
        """
        if self._confirmed_at_ms is None or self._failed_at_ms is None:
            return False
        has_failed = self._failed_at_ms >= self._confirmed_at_ms
        return has_failed and self.age_ms(now_ms) >= self._min_outage_ms

    def needs_store_read(self, now_ms: int) -> bool:
        """Return whether this host must read the store itself."""
        since_ms = self._missing_changes_since_ms
        is_overdue = (
            since_ms is not None
            and now_ms - since_ms > MISSING_CHANGES_TIMEOUT_MS
        )
        return is_overdue or self._is_outdated or self.is_stale(now_ms)
