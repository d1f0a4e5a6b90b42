"""Tests of the store follower against a stand-in for the store."""

import itertools
import logging
import time
import unittest
from unittest import mock

import pykka
from returns.result import Failure
from returns.result import Success

from cardamomdeal.entry import messages
from cardamomdeal.entry import store_follower
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.platform import errors
from cardamomdeal.platform import store
from devel import fleet
from devel import store_standin
from tests import relay

HOSTS = 48
INTERVAL_MS = 150
SLOW_MS = 200


class KeyRecorder(pykka.ThreadingActor):
    """Actor that records the keys that the follower reports."""

    def __init__(self):
        super().__init__()
        self._keys = set()
        # Times from the question to the store until its answer is handled.
        self._ages_ms = []
        self._values = []

    def on_receive(self, message):
        asked_at_ms = getattr(message, 'asked_at_ms', None)
        if asked_at_ms is not None:
            self._ages_ms.append(clock.Clock().now_ms() - asked_at_ms)
        match message:
            case messages.StoreSnapshot(items, _):
                self._keys |= {item.key for item in items}
                self._values += [item.value for item in items]
            case messages.StoreChanged(_, events, _):
                self._keys |= {event.key for event in events}
                self._values += [event.value for event in events]
            case 'ages':
                return self._ages_ms
            case 'count':
                return len(self._keys)
            case 'values':
                return self._values
        return None


class FailingClient(store.StoreClient):
    """Client whose first read raises an exception of its own."""

    def __init__(self, server_address):
        super().__init__(server_address, 500)
        self._has_failed = False

    def range(self, prefix, stale=False):
        if not self._has_failed:
            self._has_failed = True
            raise OverflowError('number too large')
        return super().range(prefix, stale)


class PausesTest(unittest.TestCase):
    """Pauses of a follower whose calls fail, in simulated time."""

    def setUp(self):
        self.clock = clock.ManualClock(1_000_000)
        self.client = mock.Mock(spec=store.StoreClient)
        self.called_at_ms = []
        self.client.range.side_effect = self.call
        self.client.watch.side_effect = self.call
        self.answers = []
        self.follower = store_follower.StoreFollower(
            mock.Mock(), self.client, self.clock
        )
        self.enterContext(
            mock.patch.object(
                clock,
                'wait_ms',
                lambda _, delay_ms: self.clock.advance(delay_ms),
            )
        )

    def call(self, *_):
        self.called_at_ms.append(self.clock.now_ms())
        if self.answers:
            return self.answers.pop(0)
        return Failure(errors.PlatformUnavailable('503'))

    def poll_until_called(self, times):
        while len(self.called_at_ms) < times:
            self.follower.receive(messages.PollStore())

    def assert_pauses(self, expected_ms):
        pauses_ms = [
            after - before
            for before, after in itertools.pairwise(self.called_at_ms)
        ]
        self.assertEqual(len(expected_ms), len(pauses_ms))
        for expected, pause in zip(expected_ms, pauses_ms, strict=True):
            self.assertAlmostEqual(expected, pause, delta=0.31 * expected)

    def test_pauses_after_failed_calls_grow_up_to_their_maximum(self):
        # In an outage each host called the store as often as at its start.
        self.follower.receive(messages.FollowStore(True, 1_000, 0, 3_000))
        self.poll_until_called(5)
        self.answers.append(Success(store.Range((), 1)))
        self.poll_until_called(8)
        self.assert_pauses((1_000, 2_000, 3_000, 3_000, 3_000, 0, 1_000))

    def test_long_pause_ends_when_the_maximum_falls(self):
        # A host went on waiting for up to 3.9 s although others had told it
        # that the store serves them.
        self.follower.receive(messages.FollowStore(True, 1_000, 0, 3_000))
        self.poll_until_called(5)
        for _ in range(3):
            self.follower.receive(messages.PollStore())
        self.follower.receive(messages.FollowStore(True, 1_000, 0, 1_000))
        self.poll_until_called(7)
        self.assert_pauses((1_000, 2_000, 3_000, 3_000, 1_000, 1_000))


class StoreFollowerTest(unittest.TestCase):
    """Simulate the start of a fleet: all hosts are published at once."""

    def setUp(self):
        self.addCleanup(pykka.ActorRegistry.stop_all)
        port = fleet.free_port()
        self.store = store_standin.StoreStandin('127.0.0.1', port)
        self.addCleanup(self.store.stop)
        self.store_address = address.Address('127.0.0.1', port)
        self.key_recorder = KeyRecorder.start()
        self.follower = store_follower.StoreFollower.start(
            self.key_recorder,
            store.StoreClient(self.store_address, 500),
            clock.Clock(),
        )

    def test_burst_of_changes_takes_limited_number_of_calls(self):
        self.follower.tell(messages.FollowStore(True, 100, INTERVAL_MS))
        started_s = time.monotonic()
        for n in range(HOSTS):
            self.store.put(f'hosts/{n}', b'{}')
            time.sleep(0.02)
        elapsed_ms = 1_000 * (time.monotonic() - started_s)
        max_calls = elapsed_ms / INTERVAL_MS + 2
        self.assertLessEqual(self.store.calls.total(), max_calls)
        self.wait_until_all_reported()

    def test_answer_dates_from_the_question(self):
        self.store.slow_ms = SLOW_MS
        self.follower.tell(messages.FollowStore(True, 100, INTERVAL_MS))
        for n in range(HOSTS):
            self.store.put(f'hosts/{n}', b'{}')
        self.wait_until_all_reported()
        ages_ms = self.key_recorder.ask('ages')
        # Times are in whole milliseconds.
        self.assertGreaterEqual(min(ages_ms), SLOW_MS - 1)

    def test_unexpected_exception_does_not_end_the_polling(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        client = FailingClient(self.store_address)
        follower = store_follower.StoreFollower.start(
            self.key_recorder, client, clock.Clock()
        )
        follower.tell(messages.FollowStore(True, 100, INTERVAL_MS))
        for n in range(HOSTS):
            self.store.put(f'hosts/{n}', b'{}')
        self.wait_until_all_reported()

    def test_keys_of_workspaces_do_not_enter_the_process(self):
        # Values were kept and passed on to other hosts as they are stored.
        value = b'{"tenants": [{"name": "a", "api_keys": ["a-key-%d"]}]}'
        self.store.put('op/config', value % 1)
        self.follower.tell(messages.FollowStore(True, 100, INTERVAL_MS))
        for n in (2, 3):
            time.sleep(2 * INTERVAL_MS / 1_000)
            self.store.put('op/config', value % n)
        deadline_s = time.monotonic() + 5
        while len(received := self.key_recorder.ask('values')) < 3:
            self.assertLess(time.monotonic(), deadline_s)
            time.sleep(0.05)
        self.assertNotIn(b'a-key', b''.join(received))

    def test_follower_that_waits_makes_no_call_after_it_was_stopped(self):
        # Each host that stopped reading made one more call.
        self.follower.tell(messages.FollowStore(True, 100, 400))
        time.sleep(0.1)
        self.store.put('hosts/0', b'{}')
        time.sleep(0.1)
        calls = self.store.calls.total()
        self.follower.tell(messages.FollowStore(False, 100, 400))
        time.sleep(0.6)
        self.assertEqual(calls, self.store.calls.total())

    def test_connection_that_died_while_it_was_idle_is_not_used(self):
        # A host that had to read again lost a timeout and a long pause to it.
        listen = address.Address('127.0.0.1', fleet.free_port())
        between = relay.Relay(listen, self.store_address)
        self.addCleanup(between.close)
        follower = store_follower.StoreFollower.start(
            self.key_recorder, store.StoreClient(listen, 500), clock.Clock()
        )
        follower.tell(messages.FollowStore(True, 1_500, INTERVAL_MS))
        self.store.put('hosts/0', b'{}')
        self.wait_until_reported(1)
        follower.tell(messages.FollowStore(False, 1_500, INTERVAL_MS))
        time.sleep((store_follower.WATCH_MS + 200) / 1_000)
        between.drop_in_open_connections('to caller')
        self.store.put('hosts/1', b'{}')
        started_s = time.monotonic()
        follower.tell(messages.FollowStore(True, 1_500, INTERVAL_MS))
        self.wait_until_reported(2)
        self.assertLess(time.monotonic() - started_s, 2.0)

    def test_watch_that_withholds_changes_is_repeated(self):
        # A store that is about to lose its history may state a newer revision
        # without the changes before it. The next watch began behind them.
        client = mock.Mock(spec=store.StoreClient)
        client.range.return_value = Success(store.Range((), 5))
        item = store.Item('a', b'', 7)
        client.watch.side_effect = [
            Success(store.Changes((), 9)),
            Success(store.Changes((item,), 9)),
            Success(store.Changes((), 9)),
        ]
        follower = store_follower.StoreFollower(
            mock.Mock(), client, clock.Clock()
        )
        follower.receive(messages.FollowStore(True, 0, 0))
        for _ in range(4):
            follower.receive(messages.PollStore())
        watched = [call.args[1] for call in client.watch.call_args_list]
        self.assertEqual([5, 5, 7], watched)

    def test_lost_history_is_made_up_for_at_once(self):
        # The interval between two calls delayed the complete read.
        client = mock.Mock(spec=store.StoreClient)
        client.range.return_value = Success(store.Range((), 1))
        client.watch.return_value = Failure(errors.RevisionCompacted('410'))
        time_ms = clock.ManualClock(1_000_000)
        follower = store_follower.StoreFollower(mock.Mock(), client, time_ms)
        follower.receive(messages.FollowStore(True, 0, INTERVAL_MS))
        follower.receive(messages.PollStore())
        time_ms.advance(INTERVAL_MS)
        follower.receive(messages.PollStore())
        self.assertEqual(1, client.range.call_count)
        follower.receive(messages.PollStore())
        self.assertEqual(2, client.range.call_count)

    def wait_until_all_reported(self):
        self.wait_until_reported(HOSTS)

    def wait_until_reported(self, count):
        deadline_s = time.monotonic() + 5
        while time.monotonic() < deadline_s:
            if self.key_recorder.ask('count') == count:
                return
            time.sleep(0.05)
        self.fail('changes are missing')
