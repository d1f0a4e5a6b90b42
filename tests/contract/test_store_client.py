"""The store's client against the store's protocol."""

import unittest

from returns.result import Failure
from returns.result import Success

from cardamomdeal.internal import address
from cardamomdeal.platform import errors
from cardamomdeal.platform import store
from devel import fleet
from devel import store_standin

TIMEOUT_MS = 500


class StoreClientTest(unittest.TestCase):
    def setUp(self):
        port = fleet.free_port()
        self.standin = store_standin.StoreStandin('127.0.0.1', port)
        self.addCleanup(self.standin.stop)
        self.client = store.StoreClient(
            address.Address('127.0.0.1', port), TIMEOUT_MS
        )
        self.addCleanup(self.client.close)

    def test_write_and_read(self):
        written = self.client.write('k', b'\x00value')
        item = self.client.get('k').unwrap()
        self.assertEqual(b'\x00value', item.value)
        self.assertEqual(Success(item.revision), written)

    def test_absent_key(self):
        self.assertIsInstance(self.client.get('k').failure(), errors.NotFound)

    def test_write_under_a_condition(self):
        revision = self.client.write('k', b'1', store.ABSENT_REVISION)
        self.client.write('k', b'2', revision.unwrap()).unwrap()
        late = self.client.write('k', b'3', revision.unwrap())
        self.assertIsInstance(late.failure(), errors.RevisionConflict)

    def test_watch_tells_writes_and_removals(self):
        self.standin.put('a/1', b'x')
        read = self.client.range('a/').unwrap()
        self.standin.put('a/2', b'y')
        self.standin.remove('a/1')
        changes = self.client.watch('a/', read.revision, 100).unwrap()
        self.assertEqual(
            ['a/2', 'a/1'], [event.key for event in changes.events]
        )
        self.assertIsInstance(changes.events[1], store.Removal)

    def test_watch_without_news_ends(self):
        read = self.client.range('').unwrap()
        changes = self.client.watch('', read.revision, 50).unwrap()
        self.assertEqual((), changes.events)

    def test_watch_after_the_history_was_dropped(self):
        read = self.client.range('').unwrap()
        self.standin.put('a', b'x')
        self.standin.drop_history()
        changes = self.client.watch('', read.revision, 50)
        self.assertIsInstance(changes.failure(), errors.HistoryLost)

    def test_keys_go_with_their_lease(self):
        lease = self.client.grant_lease(1_000).unwrap()
        self.client.write('k', b'x', lease_id=lease.lease_id).unwrap()
        self.client.keep_lease(lease).unwrap()
        self.client.end_lease(lease).unwrap()
        self.assertEqual((), self.standin.present_keys())
        ended = self.client.keep_lease(lease)
        self.assertIsInstance(ended.failure(), errors.NotFound)

    def test_troubles_are_told_apart(self):
        cases = (
            (store_standin.Trouble.BUSY, errors.PlatformUnavailable),
            (store_standin.Trouble.TOO_MANY, errors.PlatformBusy),
            (store_standin.Trouble.ANSWERS_LOST, errors.PlatformError),
        )
        for trouble, expected in cases:
            with self.subTest(trouble=trouble):
                self.standin.trouble = trouble
                answer = self.client.write('k', b'x')
                self.assertIsInstance(answer, Failure)
                self.assertIsInstance(answer.failure(), expected)
