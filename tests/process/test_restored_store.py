"""The store comes back from an older copy, and its revisions go back.

Hosts ordered what they read by its revision alone. They took the new content
for an old one, and ignored what the operator and the servers wrote until the
revisions had caught up.
"""

import itertools

from cardamomdeal.platform import wire
from tests import entry_case

# Written after the copy and lost: far more than the tests write after it.
LOST_WRITES = 200
APPLY_S = 5.0
OK = 200
NO_ROUTE = 404


class RestoredStoreTest(entry_case.EntryHostCase):
    def setUp(self):
        super().setUp()
        # Two of the hosts read the store, and the others hear from them.
        for name in ('entry-3', 'entry-4'):
            self.hosts.append(self.start_host(name))
            self.wait_until_ready(self.hosts[-1])
        self.request_ids = (f'r{n}' for n in itertools.count())
        self.copy = self.store.copy()
        for number in range(LOST_WRITES):
            self.store.put('servers/i-other', str(number).encode())
        # All hosts have read the writes that will be lost.
        self.put_configuration(2, ['safe', 'unsafe', 'lost'])
        self.wait_for_status('lost', OK)

    def statuses(self, route):
        return {
            self.send(host, route, next(self.request_ids)).status
            for host in self.hosts
        }

    def wait_for_status(self, route, status):
        self.wait_until(lambda: self.statuses(route) == {status}, APPLY_S)

    def servers_in_use(self):
        """Return the servers that get some of twenty requests."""
        counts = {
            backend.server_id: backend.request_count
            for backend in self.backends
        }
        for host in self.hosts * 5:
            self.send(host, 'safe', next(self.request_ids))
        return {
            backend.server_id
            for backend in self.backends
            if backend.request_count > counts[backend.server_id]
        }

    def put_draining(self, backend):
        self.store.put(
            f'servers/{backend.server_id}', backend.store_entry('draining')
        )

    def test_route_added_after_the_restore_is_served(self):
        self.store.restore(self.copy)
        self.put_configuration(3, ['safe', 'unsafe', 'added'])
        self.wait_for_status('added', OK)
        self.wait_for_status('lost', NO_ROUTE)

    def test_server_that_leaves_after_the_restore_gets_no_requests(self):
        self.store.restore(self.copy)
        self.put_draining(self.backends[1])
        self.wait_until(lambda: self.servers_in_use() == {'i-1'}, APPLY_S)

    def test_second_restore_soon_after_the_first(self):
        self.store.restore(self.copy)
        self.put_configuration(3, ['safe', 'unsafe', 'added'])
        self.store.restore(self.copy)
        self.put_configuration(4, ['safe', 'unsafe', 'later'])
        self.wait_for_status('later', OK)

    def test_configuration_in_force_is_kept_until_it_is_written_again(self):
        self.store.restore(self.copy)
        self.wait_until(lambda: self.logged('store restored'), APPLY_S)
        self.assertEqual({OK}, self.statuses('lost'))

    def test_server_that_left_before_the_restore_gets_no_requests(self):
        self.put_draining(self.backends[1])
        self.wait_until(lambda: self.servers_in_use() == {'i-1'}, APPLY_S)
        self.store.restore(self.copy)
        self.wait_until(lambda: self.logged('store restored'), APPLY_S)
        self.assertEqual({'i-1'}, self.servers_in_use())

    def test_hosts_register_again(self):
        keys = {f'{wire.ENTRY_HOSTS_PREFIX}entry-{n}' for n in (1, 2, 3, 4)}
        for key in keys:
            self.wait_until(lambda key=key: key in self.store.existing_keys())
        self.store.restore(self.copy)
        self.wait_until(
            lambda: keys <= set(self.store.existing_keys()), APPLY_S
        )
