"""Workspaces and their keys, with entry host processes.

Servers see the name of the workspace that holds the key, and never the key.
"""

import time

from cardamomdeal.platform import wire
from devel import store_standin
from tests import entry_case

KEYS = ('key-of-the-bakery', 'key-that-is-removed')
UNKNOWN_KEY = 'key-that-nobody-has'
# The bound of the platform's deployments on the time until a configuration
# is in force.
APPLY_S = 2.5


class WorkspacesTest(entry_case.EntryHostCase):
    def setUp(self):
        super().setUp()
        self.put_keys(2, KEYS)
        for n, host in enumerate(self.hosts):
            self.wait_until(
                lambda n=n, host=host: (
                    self.call(f'before-{n}-{time.monotonic()}', host=host)
                    == 401
                ),
                APPLY_S,
            )

    def put_keys(self, version, keys):
        self.put_configuration(
            version,
            ['safe', 'unsafe', 'open'],
            tenants=[['bakery', keys, 1, None]],
            public=['open'],
        )

    def call(self, request_id, *headers, host=None, route='safe'):
        """Send a request with the given header lines; return its status."""
        with self.connect(host or self.hosts[0]) as opened:
            opened.sendall(self.encode(request_id, *headers, route=route))
            return self.read_response(opened).status

    def encode(self, request_id, *headers, route='safe'):
        lines = (
            f'GET /{route}/x HTTP/1.1',
            'Host: shop.example',
            f'{wire.REQUEST_ID}: {request_id}',
            *headers,
        )
        return ('\r\n'.join(lines) + '\r\n\r\n').encode()

    def received(self, request_id):
        """Return the headers that a server received."""
        (environ,) = (
            backend.environs[request_id]
            for backend in self.backends
            if request_id in backend.environs
        )
        return {
            name: value
            for name, value in environ.items()
            if name.startswith('HTTP_')
        }

    def test_server_gets_the_name_of_the_workspace_and_no_key(self):
        spellings = ('Cardamomdeal-Tenant', 'cardamomdeal_tenant')
        claims = [f'{spelling}: thief' for spelling in spellings]
        for n, key in enumerate(KEYS):
            sent = (f'authorization: Token {key}', *claims)
            self.assertEqual(200, self.call(f'r{n}', *sent))
            received = self.received(f'r{n}')
            self.assertEqual('bakery', received['HTTP_CARDAMOMDEAL_TENANT'])
            self.assertNotIn(key, str(received))
            self.assertEqual(200, self.call(f'o{n}', *sent, route='open'))
            received = self.received(f'o{n}')
            self.assertNotIn('thief', str(received))
            self.assertNotIn(key, str(received))

    def test_request_without_exactly_one_valid_key_does_not_run(self):
        valid = f'Authorization: Token {KEYS[0]}'
        cases = (
            (),
            (f'Authorization: Token {UNKNOWN_KEY}',),
            (f'Authorization: Token {KEYS[0][:-1]}',),
            (f'Authorization: Bearer {KEYS[0]}',),
            (f'{valid}, Token {KEYS[1]}',),
            (valid, valid),
            (f'Authorization: Token {UNKNOWN_KEY}', valid.lower()),
            # The HTTP server keeps only the last line of a folded header.
            (f'Authorization: Token {UNKNOWN_KEY}', f' Token {KEYS[0]}'),
        )
        for n, headers in enumerate(cases):
            with self.subTest(headers=headers):
                self.assertEqual(401, self.call(f'r{n}', *headers))
                self.assertEqual(0, self.run_count(f'r{n}'))

    def test_each_request_of_a_connection_is_checked(self):
        key = f'Authorization: Token {KEYS[0]}'
        with self.connect(self.hosts[0]) as opened:
            opened.sendall(
                self.encode('r0', key)
                + self.encode('r1')
                + self.encode('r2', key)
            )
            statuses = [self.read_response(opened).status for _ in range(3)]
            self.assertEqual([200, 401, 200], statuses)
            self.put_keys(3, KEYS[1:])
            time.sleep(APPLY_S)
            opened.sendall(self.encode('r3', key))
            self.assertEqual(401, self.read_response(opened).status)
        self.assertEqual(0, self.run_count('r1') + self.run_count('r3'))

    def test_removed_key_is_refused_by_every_host_and_never_logged(self):
        starting_host = self.start_host('entry-3', seeds=self.hosts)
        self.wait_until_ready(starting_host)
        hosts = [*self.hosts, starting_host]
        header = f'Authorization: Token {KEYS[1]}'
        for n, host in enumerate(hosts):
            self.assertEqual(200, self.call(f'r{n}', header, host=host))
        self.put_keys(3, KEYS[:1])
        time.sleep(APPLY_S)
        for n, host in enumerate(hosts):
            self.assertEqual(401, self.call(f's{n}', header, host=host))
            self.assertEqual(0, self.run_count(f's{n}'))
        for host in hosts:
            # A thread of its own writes the log.
            self.wait_until(
                lambda host=host: 'unknown key' in host['log'].read_text()
            )
            logged = host['log'].read_text()
            for key in (*KEYS, UNKNOWN_KEY):
                self.assertNotIn(key, logged)
        self.assertNotIn('key-', self.metrics())

    def test_host_that_learns_from_another_host_knows_the_keys(self):
        self.store.fault = store_standin.StoreFault.BUSY
        # Longer than the time after which a view of the store is stale.
        time.sleep(2)
        host = self.start_host('entry-3', seeds=self.hosts)
        self.wait_until_ready(host)
        header = f'Authorization: Token {KEYS[0]}'
        self.assertEqual(200, self.call('r1', header, host=host))
        self.assertEqual(401, self.call('r2', host=host))


class WithoutWorkspacesTest(entry_case.EntryHostCase):
    call = WorkspacesTest.call
    encode = WorkspacesTest.encode
    received = WorkspacesTest.received

    def test_header_of_the_caller_passes_and_its_claim_does_not(self):
        status = self.call(
            'r1', 'Authorization: Basic x', 'Cardamomdeal-Tenant: thief'
        )
        self.assertEqual(200, status)
        received = self.received('r1')
        self.assertEqual('Basic x', received['HTTP_AUTHORIZATION'])
        self.assertNotIn('HTTP_CARDAMOMDEAL_TENANT', received)
