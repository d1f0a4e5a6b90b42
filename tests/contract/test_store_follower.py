"""The task that watches the store, against the store's protocol."""

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


class Core(pykka.ThreadingActor):
    """Collect the keys that the follower tells of."""

    def __init__(self):
        super().__init__()
        self._keys = set()

    def on_receive(self, message):
        match message:
            case messages.StoreRead(items, _):
                self._keys |= {item.key for item in items}
            case messages.StoreChanged(_, events, _):
                self._keys |= {event.key for event in events}
            case 'count':
                return len(self._keys)
        return None


class StoreFollowerTest(unittest.TestCase):
    """Play the start of a fleet: every host publishes itself at once."""

    def setUp(self):
        self.addCleanup(pykka.ActorRegistry.stop_all)
        port = fleet.free_port()
        self.store = store_standin.StoreStandin('127.0.0.1', port)
        self.addCleanup(self.store.stop)
        self.core = Core.start()
        self.follower = store_follower.StoreFollower.start(
            self.core,
            store.StoreClient(address.Address('127.0.0.1', port), 500),
            clock.Clock(),
        )

    def test_a_burst_of_changes_takes_few_calls(self):
        self.follower.tell(messages.FollowStore(True, 100))
        started_s = time.monotonic()
        for n in range(HOSTS):
            self.store.put(f'hosts/{n}', b'{}')
            time.sleep(0.02)
        took_ms = 1_000 * (time.monotonic() - started_s)
        allowed = took_ms / store_follower.CALL_GAP_MS + 2
        self.assertLessEqual(self.store.calls.total(), allowed)
        self.wait_until_all_are_told()

    def wait_until_all_are_told(self):
        ends_at_s = time.monotonic() + 5
        while time.monotonic() < ends_at_s:
            if self.core.ask('count') == HOSTS:
                return
            time.sleep(0.05)
        self.fail('changes are missing')
