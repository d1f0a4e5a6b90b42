"""Tests of an entry host's fleet state, its sources and its transfer."""

import json
import random
import unittest

from returns.result import Failure
from returns.result import Success

from cardamomdeal.balancing import outcomes
from cardamomdeal.entry import fleet_state
from cardamomdeal.fleet import freshness
from cardamomdeal.fleet import model
from cardamomdeal.fleet import peers
from cardamomdeal.fleet import registry
from cardamomdeal.fleet import routes
from cardamomdeal.fleet import store_readers
from cardamomdeal.fleet import view_transfer
from cardamomdeal.internal import address
from cardamomdeal.platform import configuration
from cardamomdeal.platform import entries
from cardamomdeal.platform import responses
from cardamomdeal.platform import store
from cardamomdeal.platform import wire
from cardamomdeal.protocol import messages as protocol

CONFIGURATION = {
    'version': 7,
    'routes': {
        'columns': [
            'name',
            'hostname',
            'prefix',
            'kind',
            'timeout',
            'attempts',
            'priority',
            'service',
            'traffic_split',
        ],
        'rows': [
            ['all', 'shop.example', '/', 'safe', '1.5s', 2, 2, 'lager', None],
            [
                'orders',
                'shop.example',
                '/orders/',
                'unsafe',
                '2000ms',
                2,
                1,
                None,
                [
                    {'service': 'old', 'weight': 90},
                    {'service': 'new', 'weight': 10},
                ],
            ],
        ],
    },
    'services': {
        'columns': ['name', 'max_connections'],
        'rows': [['lager', 390], ['old', 390], ['new', 390]],
    },
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 1000,
        'header_timeout': '3000ms',
        'idle_timeout': '15000ms',
    },
}
SERVER = {
    'address': '127.0.0.1:8080',
    'born': 1788000000000,
    'info': {'service': 'lager', 'version': 'v1', 'zone': 'a', 'slots': 3},
    'status': {'state': 'ready', 'seq': 4, 'cold_remaining': '0ms'},
}
HEARTBEAT_MS = 1_500


def encoded(value):
    return json.dumps(value).encode()


def build_routes():
    match configuration.read_configuration(encoded(CONFIGURATION)):
        case Success(read):
            return routes.build(read)


class RoutesTest(unittest.TestCase):
    def test_longest_matching_prefix_wins(self):
        cases = (
            ('shop.example', '/orders/1', 'orders'),
            ('shop.example', '/orders', 'all'),
            ('SHOP.example', '/ordersx/1', 'all'),
            ('shop.example', '/', 'all'),
        )
        for hostname, path, expected in cases:
            with self.subTest(hostname=hostname, path=path):
                self.assertEqual(
                    expected, build_routes().find(hostname, path).name
                )

    def test_unknown_hostname_has_no_route(self):
        self.assertIsNone(build_routes().find('other.example', '/orders/1'))

    def test_traffic_split_follows_weights(self):
        route = build_routes().find('shop.example', '/orders/1')
        rng = random.Random(3)
        new = sum(
            routes.choose_service(route, rng) == 'new' for _ in range(10_000)
        )
        self.assertAlmostEqual(0.1, new / 10_000, delta=0.02)


class ConfigurationTest(unittest.TestCase):
    def test_timeout_and_kind_are_decoded(self):
        route = build_routes().find('shop.example', '/x')
        self.assertEqual(1_500, route.timeout_ms)
        self.assertEqual(model.Idempotent(), route.kind)

    def test_error_names_the_invalid_field(self):
        invalid = json.loads(encoded(CONFIGURATION))
        invalid['routes']['rows'][0][3] = 'sometimes'
        match configuration.read_configuration(encoded(invalid)):
            case Failure(error):
                self.assertIn('kind', str(error))
            case read:
                self.fail(f'accepted: {read}')


class ViewTransferTest(unittest.TestCase):
    """Transfer of a view to a host that starts while the store is down."""

    def setUp(self):
        self.entries = [f'servers/{n}' for n in range(1_000)]
        self.parts = view_transfer.split(self.entries, [250] * 1_000)
        self.assembler = view_transfer.ViewAssembler()

    def add_part(self, number, view_id=None, now_ms=0):
        return self.assembler.add_part(
            view_id or view_transfer.ViewId('entry-1', 7),
            number,
            len(self.parts),
            self.parts[number],
            now_ms,
        )

    def test_parts_fit_a_datagram(self):
        for part in self.parts:
            part_bytes = len(part) * (250 + view_transfer.ENTRY_OVERHEAD_BYTES)
            self.assertLessEqual(part_bytes, view_transfer.MAX_PART_BYTES)

    def test_view_is_assembled_from_parts_in_any_order(self):
        numbers = list(range(len(self.parts)))
        random.Random(5).shuffle(numbers)
        results = [self.add_part(number) for number in numbers]
        self.assertEqual([None] * (len(numbers) - 1), results[:-1])
        self.assertEqual(self.entries, list(results[-1]))

    def test_parts_of_two_views_are_not_mixed(self):
        other = view_transfer.ViewId('entry-2', 7)
        for number in range(len(self.parts) - 1):
            self.add_part(number)
        self.assertIsNone(self.add_part(len(self.parts) - 1, other))

    def test_late_part_does_not_complete_the_view(self):
        for number in range(1, len(self.parts)):
            self.add_part(number)
        late_ms = view_transfer.REASSEMBLY_TIMEOUT_MS + 1
        self.assertIsNone(self.add_part(0, now_ms=late_ms))

    def test_part_number_out_of_range_is_rejected(self):
        view_id = view_transfer.ViewId('entry-1', 7)
        self.assertIsNone(self.assembler.add_part(view_id, 3, 2, (), 0))

    def test_only_clearly_newer_views_are_sent(self):
        cases = ((5_000, None, True), (5_000, 5_200, False), (40, 5_000, True))
        for age_ms, known_age_ms, expected in cases:
            with self.subTest(age_ms=age_ms, known_age_ms=known_age_ms):
                sent = view_transfer.is_worth_sending(age_ms, known_age_ms)
                self.assertEqual(expected, sent)

    def test_empty_view_has_one_part(self):
        self.assertEqual(((),), view_transfer.split([], []))

    def test_changes_are_split_between_revisions_only(self):
        # Entries of one revision in two parts: the second one would be
        # ignored, since its revision has already been applied.
        changed = [
            protocol.StoreEntry(f'servers/{n}', b'', 10 + n // 100)
            for n in range(300)
        ]
        parts = view_transfer.split_changes(changed, [250] * 300, 9, 20)
        self.assertEqual(
            [(9, 10), (10, 11), (11, 20)],
            [(part.after_revision, part.revision) for part in parts],
        )
        self.assertEqual(
            changed, [entry for part in parts for entry in part.entries]
        )

    def test_no_changes_still_advance_the_revision(self):
        (part,) = view_transfer.split_changes([], [], 9, 20)
        self.assertEqual((9, 20), (part.after_revision, part.revision))


class FreshnessTest(unittest.TestCase):
    """Age of a view that was last confirmed at 10 s.

    Some changes are too large to be sent to other hosts, which then have to
    read them from the store.
    """

    def setUp(self):
        self.view = freshness.Freshness(HEARTBEAT_MS)
        self.view.confirm(10_000)

    def test_recently_confirmed_view_needs_no_store_read(self):
        self.assertFalse(self.view.needs_store_read(10_900))

    def test_unconfirmed_view_needs_store_read(self):
        self.assertTrue(self.view.needs_store_read(11_300))

    def test_missing_changes_need_early_store_read(self):
        for now_ms in (10_100, 10_400, 10_700):
            self.view.record_missing_changes(now_ms)
        self.assertTrue(self.view.needs_store_read(10_700))

    def test_late_changes_need_no_store_read(self):
        self.view.record_missing_changes(10_100)
        self.view.clear_missing_changes()
        self.assertFalse(self.view.needs_store_read(10_700))

    def test_entries_may_expire_only_in_a_long_outage(self):
        # A host that is not served while others are, or that was suspended,
        # must not take the entries of servers that left for expired ones.
        self.view.record_failure(11_500)
        self.assertFalse(self.view.may_miss_expired_entries(12_000))
        self.assertTrue(self.view.may_miss_expired_entries(13_000))
        self.view.confirm(12_900)
        self.assertFalse(self.view.may_miss_expired_entries(18_000))


class ServerEntryTest(unittest.TestCase):
    def test_complete_entry_is_decoded(self):
        match entries.read_server('i-1', encoded(SERVER)):
            case Success(server):
                self.assertEqual(('i-1', 1788000000000), server.incarnation)
                self.assertEqual(model.ServerState.READY, server.state)
            case failed:
                self.fail(str(failed))

    def test_invalid_entries_are_rejected(self):
        cases = (
            ('address', 'somewhere'),
            ('address', 7),
            ('born', '1788'),
            ('info', {'service': 'lager', 'zone': 'a', 'slots': '3'}),
            ('info', {'service': 3, 'zone': 'a', 'slots': 3}),
            ('status', {'state': 'resting'}),
            ('status', None),
        )
        for field, value in cases:
            with self.subTest(field=field, value=value):
                read = entries.read_server(
                    'i-1', encoded(SERVER | {field: value})
                )
                self.assertIsInstance(read, Failure)

    def test_undecodable_entry_is_rejected(self):
        self.assertIsInstance(entries.read_server('i', b'\xff\x00'), Failure)

    def test_host_entry_round_trip(self):
        match entries.read_server('i-1', encoded(SERVER)):
            case Success(server):
                at = server.address
        host = model.EntryHost('h1', 5, 'r', 'a', at, at, 10.0)
        match entries.read_host('h1', entries.write_host(host)):
            case Success(read):
                self.assertEqual(host, read)
            case failed:
                self.fail(str(failed))


class FleetStateTest(unittest.TestCase):
    def setUp(self):
        self.state = fleet_state.FleetState()
        self.state.replace(
            (
                store.Item(wire.CONFIGURATION_KEY, encoded(CONFIGURATION), 3),
                store.Item('servers/i-1', encoded(SERVER), 4),
            ),
            5,
            0,
        )

    def test_older_configuration_is_ignored(self):
        self.state.pop_new_routes()
        older = CONFIGURATION | {'version': 6}
        self.state.apply(
            store.Item(wire.CONFIGURATION_KEY, encoded(older), 6), 0
        )
        self.assertIsNone(self.state.pop_new_routes())

    def test_invalid_entry_removes_the_server(self):
        self.state.apply(store.Item('servers/i-1', b'{}', 6), 0)
        self.assertEqual((), self.state.servers())

    def test_removed_server_disappears_immediately(self):
        self.state.apply(store.Removal('servers/i-1', 6), 0)
        self.assertEqual((), self.state.servers())

    def test_complete_read_removes_missing_servers(self):
        self.state.replace((), 9, 0)
        self.assertEqual((), self.state.servers())


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = registry.Registry()
        self.registry.put('s', 'entry')

    def test_entry_expired_during_outage_is_retained(self):
        self.registry.start_grace_period(1_000)
        self.registry.remove('s', 1_100)
        self.assertEqual(('entry',), self.registry.entries())

    def test_entry_not_rewritten_is_removed_within_2_s(self):
        # A host that was disconnected for long learns that a server has left
        # only from the missing entry. Expiry is checked once per tick of
        # 300 ms, and after 2 s the server must get no more requests.
        self.registry.start_grace_period(1_000)
        self.registry.remove('s', 1_100)
        self.assertTrue(self.registry.expire(1_000 + 2_000 - 300))
        self.assertEqual((), self.registry.entries())

    def test_rewritten_entry_is_kept(self):
        self.registry.start_grace_period(1_000)
        self.registry.remove('s', 1_100)
        self.registry.put('s', 'again')
        self.registry.expire(9_000)
        self.assertEqual(('again',), self.registry.entries())


class PeersTest(unittest.TestCase):
    """Other hosts that messages are sent to.

    A host that the store turned away lost its entry there, and with it all
    further changes of the configuration.
    """

    def setUp(self):
        self.peers = peers.Peers('host-0')
        self.hosts = [
            model.EntryHost(
                f'host-{n}', 1, 'r', 'ab'[n % 2], at, at, link_mbps=10.0
            )
            for n in range(4)
            for at in [address.Address(f'10.0.0.{n}', 7_200)]
        ]
        self.peers.set_registered(self.hosts, 0)

    def numbers(self, now_ms, data_centre=None):
        found = self.peers.addresses(now_ms, data_centre)
        return sorted(int(peer.host.rpartition('.')[2]) for peer in found)

    def test_host_itself_is_no_peer(self):
        self.assertEqual([1, 2, 3], self.numbers(0))

    def test_peers_of_one_data_centre(self):
        self.assertEqual([1, 3], self.numbers(0, 'b'))

    def test_unregistered_host_is_retained(self):
        self.peers.set_registered(self.hosts[:3], 1_000)
        self.assertEqual([1, 2, 3], self.numbers(30_000))
        self.assertEqual([1, 3], self.numbers(30_000, 'b'))

    def test_silent_unregistered_host_is_forgotten(self):
        self.peers.set_registered(self.hosts[:3], 1_000)
        self.assertEqual([1, 2], self.numbers(31_000))

    def test_unregistered_host_is_kept_while_it_is_heard(self):
        self.peers.set_registered(self.hosts[:3], 1_000)
        self.peers.record_heard(self.hosts[3].peers, 30_000)
        self.assertEqual([1, 2, 3], self.numbers(59_000))

    def test_unknown_host_that_is_heard_becomes_a_peer(self):
        self.peers.record_heard(address.Address('10.0.0.9', 7_200), 1_000)
        self.assertEqual([1, 2, 3, 9], self.numbers(1_000))
        self.assertEqual([1, 3], self.numbers(1_000, 'b'))

    def test_host_is_listed_once_after_it_is_registered_again(self):
        self.peers.set_registered(self.hosts[:3], 1_000)
        self.peers.set_registered(self.hosts, 2_000)
        self.assertEqual([1, 2, 3], self.numbers(2_000))


class StoreReadersTest(unittest.TestCase):
    NAMES = tuple(f'host-{n}' for n in range(48))

    def readers_by_name(self):
        readers_by_name = {
            name: store_readers.StoreReaders(name) for name in self.NAMES
        }
        for readers in readers_by_name.values():
            readers.set_hosts(dict.fromkeys(self.NAMES, 10.0), 0)
        return readers_by_name

    def reading_hosts(self, readers_by_name, now_ms):
        return {
            name
            for name, readers in readers_by_name.items()
            if readers.is_reader(now_ms)
        }

    def test_hosts_with_fastest_links_are_preferred(self):
        link_mbps = dict.fromkeys(self.NAMES, 10.0)
        link_mbps |= {'host-7': 200.0, 'host-30': 200.0}
        readers = store_readers.StoreReaders('host-1')
        readers.set_hosts(link_mbps, 0)
        self.assertEqual({'host-7', 'host-30'}, set(readers.preferred()))

    def test_all_hosts_read_without_reports_of_others(self):
        self.assertEqual(
            set(self.NAMES), self.reading_hosts(self.readers_by_name(), 0)
        )

    def test_reader_count_when_all_hosts_report(self):
        readers_by_name = self.readers_by_name()
        for readers in readers_by_name.values():
            for name in self.NAMES:
                readers.record_report(name, 100, 1_000)
        self.assertEqual(
            store_readers.READER_COUNT,
            len(self.reading_hosts(readers_by_name, 1_100)),
        )

    def test_silent_readers_are_replaced(self):
        readers_by_name = self.readers_by_name()
        for readers in readers_by_name.values():
            for name in self.NAMES:
                readers.record_report(name, 100, 1_000)
        silent = self.reading_hosts(readers_by_name, 1_100)
        later_ms = 1_100 + store_readers.REPORT_TIMEOUT_MS
        for readers in readers_by_name.values():
            for name in set(self.NAMES) - silent:
                readers.record_report(name, 100, later_ms)
        replacements = self.reading_hosts(readers_by_name, later_ms) - silent
        self.assertEqual(store_readers.READER_COUNT, len(replacements))

    def test_hosts_with_old_views_do_not_count_as_readers(self):
        readers_by_name = self.readers_by_name()
        for readers in readers_by_name.values():
            for name in self.NAMES:
                readers.record_report(
                    name, store_readers.MAX_VIEW_AGE_MS + 1, 1_000
                )
        self.assertEqual(
            set(self.NAMES), self.reading_hosts(readers_by_name, 1_100)
        )

    def sending_hosts(self, readers_by_name, now_ms):
        return {
            name
            for name, readers in readers_by_name.items()
            if readers.should_send_changes(now_ms)
        }

    def test_only_preferred_readers_send_changes_at_first(self):
        # Every host reads the store until it hears from the readers.
        readers_by_name = self.readers_by_name()
        preferred = set(readers_by_name['host-1'].preferred())
        self.assertEqual(preferred, self.sending_hosts(readers_by_name, 500))

    def test_other_readers_send_changes_if_preferred_ones_are_silent(self):
        readers_by_name = self.readers_by_name()
        later_ms = 1 + store_readers.REPORT_TIMEOUT_MS
        self.assertEqual(
            set(self.NAMES), self.sending_hosts(readers_by_name, later_ms)
        )
        for readers in readers_by_name.values():
            for name in self.NAMES:
                readers.record_report(name, 100, later_ms)
        self.assertEqual(
            set(readers_by_name['host-1'].preferred()),
            self.sending_hosts(readers_by_name, later_ms),
        )

    def test_host_that_has_just_started_is_not_settled(self):
        # Alone in its view, it took itself for a settled reader, and many
        # hosts that started together called the store every 150 ms.
        started_ms = 10**9
        readers = store_readers.StoreReaders('host-1', started_ms)
        self.assertTrue(readers.is_preferred_reader())
        self.assertFalse(readers.is_settled_reader(started_ms + 100))
        later_ms = started_ms + 1 + store_readers.REPORT_TIMEOUT_MS
        self.assertTrue(readers.is_settled_reader(later_ms))

    def test_new_host_with_a_slow_link_does_not_delay_sending(self):
        readers = store_readers.StoreReaders('host-1')
        hosts = {'host-1': 10.0, 'host-2': 200.0, 'host-3': 200.0}
        readers.set_hosts(hosts, 0)
        later_ms = 1 + store_readers.REPORT_TIMEOUT_MS
        readers.set_hosts(hosts | {'host-4': 5.0}, later_ms)
        self.assertTrue(readers.should_send_changes(later_ms))
        readers.set_hosts(hosts | {'host-4': 200.0}, later_ms)
        readers.set_hosts(
            {'host-1': 10.0, 'host-4': 200.0, 'host-5': 200.0}, later_ms
        )
        self.assertFalse(readers.should_send_changes(later_ms))


class ServerResponseTest(unittest.TestCase):
    def test_classification_by_status_and_headers(self):
        signed = {wire.SIGNATURE: 'x'}
        cases = (
            (200, signed, outcomes.Answered),
            (500, signed, outcomes.Answered),
            (404, signed, outcomes.Answered),
            (200, {}, outcomes.Broken),
            (503, signed, outcomes.Broken),
            (429, {}, outcomes.Broken),
            (503, {wire.NOT_EXECUTED: '1'}, outcomes.NotExecuted),
            (400, {wire.NOT_EXECUTED: '1'}, outcomes.NotExecuted),
            (421, {wire.SERVER_ID: 'i-2'}, outcomes.AnotherServer),
        )
        for status, headers, expected in cases:
            with self.subTest(status=status, headers=headers):
                result = responses.classify(status, headers, 5)
                self.assertIsInstance(result, expected)

    def test_invalid_load_header_is_ignored(self):
        # Without slots, a load is full whatever runs.
        for text in ('', '1,2', '1,2,x', '1,2,3,4', '0,0,0', '1,2,00'):
            headers = {wire.SIGNATURE: 'x', wire.SERVER_LOAD: text}
            with self.subTest(text=text):
                result = responses.classify(200, headers, 5)
                self.assertIsNone(result.load)
