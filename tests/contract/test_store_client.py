"""Contract of StoreClient, tested against the store stand-in."""

import unittest

from returns.result import Failure
from returns.result import Success

from cardamomdeal.fleet import revisions
from cardamomdeal.internal import address
from cardamomdeal.platform import errors
from cardamomdeal.platform import store
from cardamomdeal.platform import wire
from devel import fleet
from devel import store_standin
from tests import broken_answers
from tests import scripted_server

TIMEOUT_MS = 500
RANGE = b'{"items": [], "has_more": false, "store_revision": 7}'


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

    def test_get_of_absent_key_is_not_found(self):
        self.assertIsInstance(self.client.get('k').failure(), errors.NotFound)

    def test_write_requires_expected_revision(self):
        revision = self.client.write('k', b'1', store.ABSENT_REVISION)
        self.client.write('k', b'2', revision.unwrap()).unwrap()
        outdated = self.client.write('k', b'3', revision.unwrap())
        self.assertIsInstance(outdated.failure(), errors.RevisionConflict)

    def test_watch_returns_writes_and_removals(self):
        self.standin.put('a/1', b'x')
        read = self.client.range('a/').unwrap()
        self.standin.put('a/2', b'y')
        self.standin.remove('a/1')
        changes = self.client.watch('a/', read.revision, 100).unwrap()
        self.assertEqual(
            ['a/2', 'a/1'], [event.key for event in changes.events]
        )
        self.assertIsInstance(changes.events[1], store.Removal)

    def test_watch_without_changes_times_out_empty(self):
        read = self.client.range('').unwrap()
        changes = self.client.watch('', read.revision, 50).unwrap()
        self.assertEqual((), changes.events)

    def test_watch_from_compacted_revision_fails(self):
        read = self.client.range('').unwrap()
        self.standin.put('a', b'x')
        self.standin.compact()
        changes = self.client.watch('', read.revision, 50)
        self.assertIsInstance(changes.failure(), errors.RevisionCompacted)

    def test_revoking_lease_removes_its_keys(self):
        lease = self.client.grant_lease(1_000).unwrap()
        self.client.write('k', b'x', lease_id=lease.lease_id).unwrap()
        self.client.renew_lease(lease).unwrap()
        self.client.revoke_lease(lease).unwrap()
        self.assertEqual((), self.standin.existing_keys())
        renewal = self.client.renew_lease(lease)
        self.assertIsInstance(renewal.failure(), errors.NotFound)

    def test_store_failures_map_to_distinct_errors(self):
        cases = (
            (store_standin.StoreFault.BUSY, errors.PlatformUnavailable),
            (store_standin.StoreFault.TOO_MANY, errors.PlatformRateLimited),
            (store_standin.StoreFault.RESPONSES_LOST, errors.PlatformError),
        )
        for fault, expected in cases:
            with self.subTest(fault=fault):
                self.standin.fault = fault
                result = self.client.write('k', b'x')
                self.assertIsInstance(result, Failure)
                self.assertIsInstance(result.failure(), expected)


class RestoredStoreTest(unittest.TestCase):
    """The store is restored from a copy and gives revisions out again.

    A watch from such a revision returned later changes as if none were
    missing, and a smaller revision counted as older.
    """

    def setUp(self):
        port = fleet.free_port()
        self.standin = store_standin.StoreStandin('127.0.0.1', port)
        self.addCleanup(self.standin.stop)
        self.client = store.StoreClient(
            address.Address('127.0.0.1', port), TIMEOUT_MS
        )
        self.addCleanup(self.client.close)

    def put(self, *keys):
        for key in keys:
            self.standin.put(key, b'x')

    def test_revisions_rise_although_the_numbers_go_back(self):
        copy = self.standin.copy()
        self.put('a', 'b')
        before = self.client.range('').unwrap()
        self.standin.restore(copy)
        after = self.client.range('').unwrap()
        self.assertGreater(after.revision, before.revision)
        self.assertLess(
            revisions.number(after.revision),
            revisions.number(before.revision),
        )

    def test_watch_from_before_the_restore_fails(self):
        copy = self.standin.copy()
        self.put('lost')
        read = self.client.range('').unwrap()
        for keys in ((), ('a', 'b', 'c')):
            # With the keys, the watched revision exists again.
            with self.subTest(keys=keys):
                self.standin.restore(copy)
                self.put(*keys)
                changes = self.client.watch('', read.revision, 50)
                self.assertIsInstance(
                    changes.failure(), errors.RevisionCompacted
                )

    def test_write_expects_a_revision_that_was_given_out_again(self):
        copy = self.standin.copy()
        revision = self.client.write('k', b'lost').unwrap()
        self.standin.restore(copy)
        self.put('k')
        written = self.client.write('k', b'y', revision)
        self.assertIsInstance(written.failure(), errors.RevisionConflict)
        # Now the client knows of the restore before it writes.
        calls = self.client.calls
        written = self.client.write('k', b'z', revision)
        self.assertIsInstance(written.failure(), errors.RevisionConflict)
        self.assertEqual(calls, self.client.calls)


class ErasTest(unittest.TestCase):
    """What an answer says of its era is not trusted blindly."""

    def read_all(self, *eras):
        """Read once for each era, which may be missing."""
        answers = []
        for era in eras:
            fields = [b'Content-Length: %d' % len(RANGE)]
            if era is not None:
                fields.append(wire.STORE_ERA.encode() + b': ' + era)
            answers.append(
                broken_answers.answer(b'\r\n'.join(fields), body=RANGE)
            )
        server = scripted_server.ScriptedServer(answers)
        self.addCleanup(server.close)
        client = store.StoreClient(server.address, TIMEOUT_MS)
        self.addCleanup(client.close)
        return [client.range('') for _ in eras]

    def test_store_without_eras(self):
        first, second = self.read_all(None, None)
        self.assertEqual(7, first.unwrap().revision)
        self.assertEqual(7, second.unwrap().revision)

    def test_invalid_era_is_named_and_not_used(self):
        for era in (b'', b'x', b'-1', b'1.5', b'1e3', b'9' * 5_000, b'32768'):
            with self.subTest(era=era[:20]):
                invalid, valid = self.read_all(era, b'2')
                self.assertIsInstance(invalid.failure(), errors.InvalidEra)
                self.assertIn(wire.STORE_ERA, str(invalid.failure()))
                self.assertEqual(2, revisions.era(valid.unwrap().revision))

    def test_era_far_above_the_last_one_needs_a_second_answer(self):
        # One wrong era made all later answers invalid.
        _, wrong, right = self.read_all(b'2', b'32000', b'3')
        self.assertIsInstance(wrong.failure(), errors.InvalidEra)
        self.assertEqual(3, revisions.era(right.unwrap().revision))
        *_, second = self.read_all(b'2', b'32000', b'32000')
        self.assertEqual(32_000, revisions.era(second.unwrap().revision))

    def test_restore_between_two_pages(self):
        page = (
            b'{"items": [{"key": "a", "revision": 6}], "has_more": %s,'
            b' "store_revision": 7}'
        )
        answers = [
            broken_answers.answer(
                b'Content-Length: %d\r\n%s: %d'
                % (len(body), wire.STORE_ERA.encode(), era),
                body=body,
            )
            for era, body in ((1, page % b'true'), (2, page % b'false'))
        ]
        server = scripted_server.ScriptedServer(answers)
        self.addCleanup(server.close)
        client = store.StoreClient(server.address, TIMEOUT_MS)
        self.addCleanup(client.close)
        self.assertIsInstance(client.range('').failure(), errors.StoreRestored)

    def test_era_that_is_missing_or_goes_back_is_not_used(self):
        for era in (None, b'2'):
            with self.subTest(era=era):
                _, earlier, same = self.read_all(b'3', era, b'3')
                self.assertIsInstance(earlier.failure(), errors.InvalidEra)
                self.assertEqual(3, revisions.era(same.unwrap().revision))


class BrokenAnswersTest(unittest.TestCase):
    """The store's answers are malformed.

    A negative chunk size raised an error that nobody expects from a call.
    """

    def read(self, answer):
        server = scripted_server.ScriptedServer([answer])
        self.addCleanup(server.close)
        client = store.StoreClient(server.address, TIMEOUT_MS)
        self.addCleanup(client.close)
        return client.range('a/')

    def test_malformed_chunks_give_a_failure_or_the_whole_value(self):
        for body in broken_answers.MALFORMED_CHUNKS:
            body = body.replace(b'4\r\nbody', b'%x\r\n' % len(RANGE) + RANGE)
            result = self.read(
                broken_answers.answer(b'Transfer-Encoding: chunked', body=body)
            )
            with self.subTest(body=body):
                self.assert_failed_or_whole(result)

    def test_malformed_heads_give_a_failure_or_the_whole_value(self):
        for field in (
            *broken_answers.INVALID_LENGTHS,
            *broken_answers.INVALID_CODINGS,
            *broken_answers.MALFORMED_LINES,
            *broken_answers.MALFORMED_NAMES,
            *broken_answers.MALFORMED_VALUES,
        ):
            result = self.read(broken_answers.answer(field, body=RANGE))
            with self.subTest(field=field[:120]):
                self.assert_failed_or_whole(result)

    def test_invalid_status_gives_a_failure(self):
        for line in broken_answers.INVALID_STATUSES:
            length = b'Content-Length: %d' % len(RANGE)
            result = self.read(broken_answers.answer(length, line, RANGE))
            with self.subTest(line=line):
                self.assertIsInstance(result, Failure)

    def assert_failed_or_whole(self, result):
        match result:
            case Success(read):
                self.assertEqual(store.Range((), 7), read)
            case Failure(error):
                self.assertIsInstance(error, errors.PlatformError)
