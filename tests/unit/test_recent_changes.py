"""Recent changes are handed out only if none is missing."""

import dataclasses
import unittest

from cardamomdeal.fleet import recent_changes


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    revision: int


class RecentChangesTest(unittest.TestCase):
    def setUp(self):
        self.changes = recent_changes.RecentChanges()
        self.changes.clear(100)

    def record(self, first, last):
        self.changes.record([Change(r) for r in range(first, last + 1)])

    def revisions_since(self, revision):
        changes = self.changes.since(revision)
        return changes and [change.revision for change in changes]

    def test_changes_after_the_known_revision(self):
        self.record(101, 104)
        self.assertEqual([103, 104], self.revisions_since(102))
        self.assertEqual([101, 102, 103, 104], self.revisions_since(100))
        self.assertIsNone(self.revisions_since(99))

    def test_dropped_changes_are_not_complete(self):
        # The changes of one response of the store may be too many.
        for batch in (1, 7, recent_changes.MAX_CHANGES + 50):
            with self.subTest(batch=batch):
                self.changes.clear(100)
                last = 100
                while last < 100 + recent_changes.MAX_CHANGES + 50:
                    self.record(last + 1, last + batch)
                    last += batch
                first_kept = last - recent_changes.MAX_CHANGES + 1
                self.assertIsNone(self.revisions_since(first_kept - 2))
                self.assertEqual(
                    list(range(first_kept, last + 1)),
                    self.revisions_since(first_kept - 1),
                )

    def test_changes_of_one_revision_are_dropped_together(self):
        self.changes.record([Change(101)] * (recent_changes.MAX_CHANGES + 1))
        self.assertIsNone(self.revisions_since(100))
        self.assertEqual([], self.revisions_since(101))
