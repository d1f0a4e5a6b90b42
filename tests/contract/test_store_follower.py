"""Tests of the store follower against a stand-in for the store."""

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


class KeyRecorder(pykka.ThreadingActor):
    """Actor that records the keys that the follower reports."""

    def __init__(self):
        super().__init__()
        self._keys = set()

    def on_receive(self, message):
        match message:
            case messages.StoreSnapshot(items, _):
                self._keys |= {item.key for item in items}
            case messages.StoreChanged(_, events, _):
                self._keys |= {event.key for event in events}
            case 'count':
                return len(self._keys)
        return None


class StoreFollowerTest(unittest.TestCase):
    """Simulate the start of a fleet: all hosts are published at once."""

    def setUp(self):
        self.addCleanup(pykka.ActorRegistry.stop_all)
        port = fleet.free_port()
        self.store = store_standin.StoreStandin('127.0.0.1', port)
        self.addCleanup(self.store.stop)
        self.key_recorder = KeyRecorder.start()
        self.follower = store_follower.StoreFollower.start(
            self.key_recorder,
            store.StoreClient(address.Address('127.0.0.1', port), 500),
            clock.Clock(),
        )

    def test_burst_of_changes_takes_limited_number_of_calls(self):
        self.follower.tell(messages.FollowStore(True, 100))
        started_s = time.monotonic()
        for n in range(HOSTS):
            self.store.put(f'hosts/{n}', b'{}')
            time.sleep(0.02)
        elapsed_ms = 1_000 * (time.monotonic() - started_s)
        max_calls = elapsed_ms / store_follower.MIN_CALL_INTERVAL_MS + 2
        self.assertLessEqual(self.store.calls.total(), max_calls)
        self.wait_until_all_reported()

    def wait_until_all_reported(self):
        deadline_s = time.monotonic() + 5
        while time.monotonic() < deadline_s:
            if self.key_recorder.ask('count') == HOSTS:
                return
            time.sleep(0.05)
        self.fail('changes are missing')
