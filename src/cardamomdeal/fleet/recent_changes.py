"""Recent changes of the store, kept for hosts that missed them."""

import collections
from collections.abc import Sequence
from typing import Generic

from cardamomdeal.fleet import view_transfer

MAX_CHANGES = 200


class RecentChanges(Generic[view_transfer.Entry]):
    """The newest changes, complete after a known revision."""

    def __init__(self) -> None:
        self._complete_after_revision = 0
        self._changes: collections.deque[view_transfer.Entry] = (
            collections.deque()
        )

    def clear(self, revision: int) -> None:
        """Start again with the changes after a revision."""
        self._changes.clear()
        self._complete_after_revision = revision

    def record(self, changes: Sequence[view_transfer.Entry]) -> None:
        """Add changes; drop the oldest ones that are too many."""
        self._changes.extend(changes)
        while len(self._changes) > MAX_CHANGES:
            dropped = self._changes.popleft()
            self._complete_after_revision = max(
                self._complete_after_revision, dropped.revision
            )

    def since(self, revision: int) -> list[view_transfer.Entry] | None:
        """Return all changes after a revision, or None if some are gone."""
        if revision < self._complete_after_revision:
            return None
        return [
            change for change in self._changes if change.revision > revision
        ]
