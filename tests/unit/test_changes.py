"""Changes are accepted once, whatever the store does."""

import unittest

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.admin import changes
from cardamomdeal.admin import errors
from cardamomdeal.configuration import records
from cardamomdeal.internal import clock
from cardamomdeal.platform import errors as platform_errors
from cardamomdeal.platform import service

LOST = Failure(platform_errors.PlatformUnavailable('answer lost'))


class SteppingClock(clock.ManualClock):
    """Move on by itself, so that loops with a time limit end."""

    def now_ms(self) -> int:
        self.advance(50)
        return super().now_ms()


class FakeStore:
    """Hold keys and lose answers as told."""

    def __init__(self) -> None:
        self.keys: dict[str, service.KeyState] = {}
        self.lose_answers = 0
        self.lose_requests = 0
        self.down = False
        # Called once, just before the next write arrives.
        self.before_write = lambda: None

    def get(self, key: str) -> Result:
        if self.down:
            return LOST
        return Success(self.keys.get(key))

    def compare_and_swap(
        self, key: str, value: str, expected_revision: int
    ) -> Result:
        if self.down:
            return LOST
        before, self.before_write = self.before_write, lambda: None
        before()
        if self.lose_requests:
            self.lose_requests -= 1
            return LOST
        known = self.keys.get(key)
        revision = known.revision if known else 0
        if revision != expected_revision:
            return Failure(platform_errors.RevisionConflict('changed'))
        self.keys[key] = service.KeyState(value, revision + 1)
        if self.lose_answers:
            self.lose_answers -= 1
            return LOST
        return Success(self.keys[key])


def change(change_id: str = 'change-1', expected: int | None = 0):
    return changes.Change('trial', 'digest', change_id, expected)


class ChangesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        self.writer = changes.Changes(self.store, 1_000, SteppingClock())
        # The pauses between tries need not be waited for.
        self.writer._pause.set()

    def versions(self) -> list[str]:
        record = self.writer.read('trial').unwrap().record
        return [item.change_id for item in record.changes]

    def test_a_change_is_accepted_when_its_answer_is_lost(self) -> None:
        self.store.lose_answers = 1
        accepted = self.writer.apply(change()).unwrap()
        self.assertEqual(1, accepted.version)
        self.assertEqual(['change-1'], self.versions())

    def test_a_change_is_accepted_when_its_request_is_lost(self) -> None:
        self.store.lose_requests = 2
        self.assertEqual(1, self.writer.apply(change()).unwrap().version)

    def test_the_same_change_again_is_the_same_version(self) -> None:
        first = self.writer.apply(change()).unwrap()
        self.writer.apply(change('change-2', 1)).unwrap()
        self.assertEqual(first, self.writer.apply(change()).unwrap())
        self.assertEqual(['change-1', 'change-2'], self.versions())

    def test_one_of_two_operators_at_once_is_refused(self) -> None:
        def other_operator() -> None:
            changes.Changes(self.store, 1_000, SteppingClock()).apply(
                change('change-2')
            ).unwrap()

        self.store.before_write = other_operator
        refused = self.writer.apply(change()).failure()
        self.assertIsInstance(refused, errors.ChangeConflict)
        self.assertIn('version 1', str(refused))
        self.assertEqual(['change-2'], self.versions())

    def test_a_lost_answer_behind_another_change_is_still_accepted(
        self,
    ) -> None:
        writer = self.writer
        store = self.store
        store.lose_answers = 1
        real_get = store.get

        def other_operator_first(key: str) -> Result:
            if len(self.versions_of(real_get(key))) == 1:
                following = changes.Changes(store, 1_000, SteppingClock())
                store.get = real_get
                following.apply(change('change-2', 1)).unwrap()
            return real_get(key)

        store.get = other_operator_first
        self.assertEqual(1, writer.apply(change()).unwrap().version)
        self.assertEqual(['change-1', 'change-2'], self.versions())

    @staticmethod
    def versions_of(state: Result) -> tuple:
        known = state.unwrap()
        if known is None:
            return ()
        return records.decode_record(known.value).unwrap().changes

    def test_a_store_that_is_down_leaves_nothing_changed(self) -> None:
        self.store.down = True
        failed = self.writer.apply(change()).failure()
        self.assertIsInstance(failed, errors.StoreUnavailable)

    def test_a_write_that_never_answers_is_unknown(self) -> None:
        self.store.lose_requests = 1_000
        failed = self.writer.apply(change()).failure()
        self.assertIsInstance(failed, errors.ChangeUnknown)
        self.assertIn('change-1', str(failed))

    def test_a_change_id_of_another_document_is_refused(self) -> None:
        self.writer.apply(change()).unwrap()
        other = changes.Change('trial', 'other', 'change-1', None)
        refused = self.writer.apply(other).failure()
        self.assertIsInstance(refused, errors.ChangeRefused)
