"""Changes are accepted exactly once, even if the store loses messages."""

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

UNAVAILABLE = Failure(platform_errors.PlatformUnavailable('response lost'))


class SteppingClock(clock.ManualClock):
    """Clock that advances on each reading, so that loops with a limit end."""

    def now_ms(self) -> int:
        self.advance(50)
        return super().now_ms()


class FakeStore:
    """In-memory store that can lose requests and responses."""

    def __init__(self) -> None:
        self.keys: dict[str, service.KeyState] = {}
        self.responses_to_lose = 0
        self.requests_to_lose = 0
        self.down = False
        # Called once, immediately before the next write.
        self.before_write = lambda: None

    def get(self, key: str) -> Result:
        if self.down:
            return UNAVAILABLE
        return Success(self.keys.get(key))

    def compare_and_swap(
        self, key: str, value: str, expected_revision: int
    ) -> Result:
        if self.down:
            return UNAVAILABLE
        before, self.before_write = self.before_write, lambda: None
        before()
        if self.requests_to_lose:
            self.requests_to_lose -= 1
            return UNAVAILABLE
        state = self.keys.get(key)
        revision = state.revision if state else 0
        if revision != expected_revision:
            return Failure(platform_errors.RevisionConflict('changed'))
        self.keys[key] = service.KeyState(value, revision + 1)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            return UNAVAILABLE
        return Success(self.keys[key])


def change(change_id: str = 'change-1', expected: int | None = 0):
    return changes.RequestedChange('trial', 'digest', change_id, expected)


class ChangesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        self.writer = changes.ChangeWriter(self.store, 1_000, SteppingClock())
        # A set event makes the writer retry without waiting.
        self.writer._retry_event.set()

    def accepted_ids(self) -> list[str]:
        record = self.writer.read_record('trial').unwrap().record
        return [item.change_id for item in record.changes]

    def test_change_is_accepted_if_store_response_is_lost(self) -> None:
        self.store.responses_to_lose = 1
        accepted = self.writer.apply(change()).unwrap()
        self.assertEqual(1, accepted.version)
        self.assertEqual(['change-1'], self.accepted_ids())

    def test_change_is_accepted_if_store_requests_are_lost(self) -> None:
        self.store.requests_to_lose = 2
        self.assertEqual(1, self.writer.apply(change()).unwrap().version)

    def test_repeated_change_keeps_its_version(self) -> None:
        first = self.writer.apply(change()).unwrap()
        self.writer.apply(change('change-2', 1)).unwrap()
        self.assertEqual(first, self.writer.apply(change()).unwrap())
        self.assertEqual(['change-1', 'change-2'], self.accepted_ids())

    def test_concurrent_change_is_rejected(self) -> None:
        def apply_other_change() -> None:
            changes.ChangeWriter(self.store, 1_000, SteppingClock()).apply(
                change('change-2')
            ).unwrap()

        self.store.before_write = apply_other_change
        rejected = self.writer.apply(change()).failure()
        self.assertIsInstance(rejected, errors.ChangeConflict)
        self.assertIn('version 1', str(rejected))
        self.assertEqual(['change-2'], self.accepted_ids())

    def test_change_is_found_after_lost_response_and_another_change(
        self,
    ) -> None:
        writer = self.writer
        store = self.store
        store.responses_to_lose = 1
        real_get = store.get

        def get_after_other_change(key: str) -> Result:
            if len(self.changes_in(real_get(key))) == 1:
                other_writer = changes.ChangeWriter(
                    store, 1_000, SteppingClock()
                )
                store.get = real_get
                other_writer.apply(change('change-2', 1)).unwrap()
            return real_get(key)

        store.get = get_after_other_change
        self.assertEqual(1, writer.apply(change()).unwrap().version)
        self.assertEqual(['change-1', 'change-2'], self.accepted_ids())

    @staticmethod
    def changes_in(read: Result) -> tuple:
        state = read.unwrap()
        if state is None:
            return ()
        return records.decode_record(state.value).unwrap().changes

    def test_unavailable_store_fails_the_change(self) -> None:
        self.store.down = True
        failed = self.writer.apply(change()).failure()
        self.assertIsInstance(failed, errors.StoreUnavailable)

    def test_write_without_response_has_unknown_outcome(self) -> None:
        self.store.requests_to_lose = 1_000
        failed = self.writer.apply(change()).failure()
        self.assertIsInstance(failed, errors.ChangeOutcomeUnknown)
        self.assertIn('change-1', str(failed))

    def test_change_id_of_another_document_is_rejected(self) -> None:
        self.writer.apply(change()).unwrap()
        other = changes.RequestedChange('trial', 'other', 'change-1', None)
        rejected = self.writer.apply(other).failure()
        self.assertIsInstance(rejected, errors.ChangeRejected)
