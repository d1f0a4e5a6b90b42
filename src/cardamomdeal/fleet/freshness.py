"""Decides when a host's view of the store has to be refreshed."""

# A view that no reader confirmed for this long is this host's to refresh.
STALE_MS = 1_200
# A host that knows of changes and was not sent them in this time, since they
# are lost or too large for a datagram, reads them from the store.
BEHIND_MS = 500


class Freshness:
    """Track how old a host's view is and whether it lacks changes.

    Load it answers: one large change, which no datagram can carry, and
    which every host must have in force within two seconds.
    """

    def __init__(self) -> None:
        self._confirmed_at_ms: int | None = None
        self._behind_since_ms: int | None = None

    def confirm(self, at_ms: int) -> None:
        """Note that the view was whole at a time."""
        self._confirmed_at_ms = max(self._confirmed_at_ms or 0, at_ms)

    def note_behind(self, now_ms: int) -> None:
        """Note that there are changes which this host has not got."""
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms

    def note_caught_up(self) -> None:
        """Note that changes were taken over."""
        self._behind_since_ms = None

    @property
    def was_confirmed(self) -> bool:
        """Return whether the view was ever whole."""
        return self._confirmed_at_ms is not None

    def age_ms(self, now_ms: int) -> int:
        """Return for how long the view was not confirmed."""
        if self._confirmed_at_ms is None:
            return STALE_MS + 1
        return now_ms - self._confirmed_at_ms

    def known_age_ms(self, now_ms: int) -> int | None:
        """Return the age of the view, or None if it was never whole."""
        return self.age_ms(now_ms) if self.was_confirmed else None

    def is_stale(self, now_ms: int) -> bool:
        """Return whether nobody confirmed the view for too long."""
        return self.age_ms(now_ms) > STALE_MS

    def needs_reading(self, now_ms: int) -> bool:
        """Return whether this host must read the store itself."""
        since_ms = self._behind_since_ms
        is_behind = since_ms is not None and now_ms - since_ms > BEHIND_MS
        return is_behind or self.is_stale(now_ms)
