"""A host that the store turns away follows a configuration of any size.

What did not fit a datagram was dropped, and held up each later change.
"""

import itertools
import json
import random

from devel import fleet
from tests import entry_case

# Some 400 KB, and above 200 KB when compressed.
ROUTES = 3_000
NAME_BITS = 256
# The users allow 2 s, and 5 s more while the store turns hosts away.
APPLY_S = 7.0
OK = 200


class LargeConfigurationTest(entry_case.EntryHostCase):
    def setUp(self):
        super().setUp()
        self.request_ids = (f'r{n}' for n in itertools.count())
        rng = random.Random(7)
        self.names = [
            f'{rng.getrandbits(NAME_BITS):064x}' for _ in range(ROUTES)
        ]
        self.put_configuration(2, ['safe', 'large', *self.names])
        for host in self.hosts:
            self.wait_for_route(host, 'large')
        self.turned_away = self.hosts[0]
        self.turn_away(self.turned_away)

    def turn_away(self, host):
        """Let a host call a port that refuses connections for the store."""
        path = host['settings']
        settings = json.loads(path.read_text().split('\n', 1)[1])
        settings['store'] = f'127.0.0.1:{fleet.free_port()}'
        path.write_text('// Settings.\n' + json.dumps(settings))
        self.wait_until(lambda: self.logged('store unavailable'))

    def wait_for_route(self, host, route):
        self.wait_until(
            lambda: (
                self.send(host, route, next(self.request_ids)).status == OK
            ),
            APPLY_S,
        )

    def test_change_and_departure_reach_the_host(self):
        self.put_configuration(3, ['safe', 'added', *self.names])
        leaving = self.backends[1]
        self.store.remove(f'servers/{leaving.server_id}')
        self.wait_for_route(self.turned_away, 'added')
        self.wait_until(lambda: not self.uses(leaving), APPLY_S)
        self.assertTrue(self.logged('large values received'))

    def uses(self, backend):
        """Return whether a server gets some of ten requests."""
        count = backend.request_count
        for _ in range(10):
            self.send(self.turned_away, 'safe', next(self.request_ids))
        return backend.request_count > count
