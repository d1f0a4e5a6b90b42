"""Keys that are taken away while hosts cannot learn of it.

Entry host processes ran requests with such a key for as long as the store
was away.
"""

import signal
import time

from cardamomdeal.platform import wire
from devel import store_standin
from tests import entry_case

KEY = 'key-of-the-bakery'
REVOKE_S = 2.0
# After the store is back; a second, and as much for slow processes.
RETURN_S = 2.0
# A watch that was asked for before the store went away has ended.
WATCH_S = 1.2


class RevocationTest(entry_case.EntryHostCase):
    BOUNDS = {'fail_closed': True, 'revoke': f'{REVOKE_S}s'}

    def setUp(self):
        super().setUp()
        self.calls = 0
        self.put_keys(2, [KEY])
        for host in self.hosts:
            # Until the configuration with keys is in force.
            self.wait_until(
                lambda host=host: (
                    self.answer(host, key='unknown').status == 401
                )
            )
        self.wait_until(lambda: self.statuses() == [200, 200])

    def put_keys(self, version, keys):
        self.put_configuration(
            version,
            ['safe', 'open'],
            tenants=[['bakery', keys, 1, None]],
            public=['open'],
        )

    def answer(self, host, route='safe', key=KEY):
        self.calls += 1
        lines = (
            f'GET /{route}/x HTTP/1.1',
            'Host: shop.example',
            f'{wire.REQUEST_ID}: r{self.calls}',
            f'Authorization: Token {key}',
        )
        with self.connect(host) as opened:
            opened.sendall(('\r\n'.join(lines) + '\r\n\r\n').encode())
            return self.read_response(opened)

    def status(self, host):
        return self.answer(host).status

    def statuses(self):
        return [self.status(host) for host in self.hosts]

    def test_withdrawn_key_does_not_run_while_the_store_is_away(self):
        self.store.fault = store_standin.StoreFault.BUSY
        time.sleep(WATCH_S)
        self.put_keys(3, [])
        time.sleep(REVOKE_S)
        for host in self.hosts:
            refused = self.answer(host)
            self.assertEqual(503, refused.status)
            self.assertLessEqual(float(refused.headers['Retry-After']), 1)
            self.assertEqual(200, self.answer(host, 'open').status)
        self.store.fault = store_standin.StoreFault.NONE
        self.wait_until(lambda: self.statuses() == [401, 401], RETURN_S)

    def test_valid_key_runs_again_soon_after_the_store_is_back(self):
        self.store.fault = store_standin.StoreFault.BUSY
        time.sleep(2 * REVOKE_S)
        self.assertEqual([503, 503], self.statuses())
        self.store.fault = store_standin.StoreFault.NONE
        self.wait_until(lambda: self.statuses() == [200, 200], RETURN_S)

    def test_suspended_host_asks_before_it_runs_anything(self):
        host = self.hosts[0]
        host['process'].send_signal(signal.SIGSTOP)
        time.sleep(0.2)
        self.put_keys(3, [])
        time.sleep(REVOKE_S)
        host['process'].send_signal(signal.SIGCONT)
        for _ in range(20):
            self.assertIn(self.status(host), (401, 503))
