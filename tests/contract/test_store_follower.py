"""Tests of the store follower against a stand-in for the store."""

import logging
import time
import unittest

import pykka

from cardamomdeal.entry import messages
from cardamomdeal.entry import store_follower
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.platform import store
from devel import fleet
from devel import store_standin

HOSTS = 48
INTERVAL_MS = 150


class KeyRecorder(pykka.ThreadingActor):
    """Actor that records the keys that the follower reports."""

    def __init__(self):
        super().__init__()
        self._keys = set()
        self._values = []

    def on_receive(self, message):
        match message:
            case messages.StoreSnapshot(items, _):
                self._keys |= {item.key for item in items}
                self._values += [item.value for item in items]
            case messages.StoreChanged(_, events, _):
                self._keys |= {event.key for event in events}
                self._values += [event.value for event in events]
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

    def wait_until_all_reported(self):
        deadline_s = time.monotonic() + 5
        while time.monotonic() < deadline_s:
            if self.key_recorder.ask('count') == HOSTS:
                return
            time.sleep(0.05)
        self.fail('changes are missing')
