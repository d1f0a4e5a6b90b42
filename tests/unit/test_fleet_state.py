"""What entry hosts know: configuration, entries, readers."""

import json
import random
import unittest

from returns.result import Failure
from returns.result import Success

from cardamomdeal.balancing import outcomes
from cardamomdeal.entry import knowledge
from cardamomdeal.fleet import freshness
from cardamomdeal.fleet import model
from cardamomdeal.fleet import registry
from cardamomdeal.fleet import routes
from cardamomdeal.fleet import store_readers
from cardamomdeal.fleet import view_transfer
from cardamomdeal.platform import configuration
from cardamomdeal.platform import entries
from cardamomdeal.platform import responses
from cardamomdeal.platform import store
from cardamomdeal.platform import wire

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


def encoded(value):
    return json.dumps(value).encode()


def table():
    match configuration.read_configuration(encoded(CONFIGURATION)):
        case Success(read):
            return routes.build(read)


class RoutesTest(unittest.TestCase):
    def test_longest_prefix_of_the_host(self):
        cases = (
            ('shop.example', '/orders/1', 'orders'),
            ('shop.example', '/orders', 'all'),
            ('SHOP.example', '/ordersx/1', 'all'),
            ('shop.example', '/', 'all'),
        )
        for hostname, path, expected in cases:
            with self.subTest(hostname=hostname, path=path):
                self.assertEqual(expected, table().find(hostname, path).name)

    def test_unknown_host(self):
        self.assertIsNone(table().find('other.example', '/orders/1'))

    def test_split_follows_the_weights(self):
        route = table().find('shop.example', '/orders/1')
        randomness = random.Random(3)
        new = sum(
            routes.choose_service(route, randomness) == 'new'
            for _ in range(10_000)
        )
        self.assertAlmostEqual(0.1, new / 10_000, delta=0.02)


class ConfigurationTest(unittest.TestCase):
    def test_times_and_kinds(self):
        route = table().find('shop.example', '/x')
        self.assertEqual(1_500, route.timeout_ms)
        self.assertEqual(model.Idempotent(), route.kind)

    def test_damaged_configuration_names_the_field(self):
        damaged = json.loads(encoded(CONFIGURATION))
        damaged['routes']['rows'][0][3] = 'sometimes'
        match configuration.read_configuration(encoded(damaged)):
            case Failure(error):
                self.assertIn('kind', str(error))
            case read:
                self.fail(f'accepted: {read}')


class ViewTransferTest(unittest.TestCase):
    """Replay hosts that start while the store is away."""

    def setUp(self):
        self.entries = [f'servers/{n}' for n in range(1_000)]
        self.parts = view_transfer.split(self.entries, [250] * 1_000)
        self.collector = view_transfer.ViewAssembler()

    def take(self, number, version=None, now_ms=0):
        return self.collector.add_part(
            version or view_transfer.ViewId('entry-1', 7),
            number,
            len(self.parts),
            self.parts[number],
            now_ms,
        )

    def test_parts_fit_a_datagram(self):
        for part in self.parts:
            part_bytes = len(part) * (250 + view_transfer.ENTRY_OVERHEAD_BYTES)
            self.assertLessEqual(part_bytes, view_transfer.MAX_PART_BYTES)

    def test_view_is_whole_in_any_order_of_its_parts(self):
        numbers = list(range(len(self.parts)))
        random.Random(5).shuffle(numbers)
        results = [self.take(number) for number in numbers]
        self.assertEqual([None] * (len(numbers) - 1), results[:-1])
        self.assertEqual(self.entries, list(results[-1]))

    def test_parts_of_two_views_are_not_mixed(self):
        other = view_transfer.ViewId('entry-2', 7)
        for number in range(len(self.parts) - 1):
            self.take(number)
        self.assertIsNone(self.take(len(self.parts) - 1, other))

    def test_lost_part_ends_the_view(self):
        for number in range(1, len(self.parts)):
            self.take(number)
        late_ms = view_transfer.REASSEMBLY_TIMEOUT_MS + 1
        self.assertIsNone(self.take(0, now_ms=late_ms))

    def test_part_that_cannot_be_is_dropped(self):
        version = view_transfer.ViewId('entry-1', 7)
        self.assertIsNone(self.collector.add_part(version, 3, 2, (), 0))

    def test_views_as_old_as_the_known_one_are_not_sent(self):
        cases = ((5_000, None, True), (5_000, 5_200, False), (40, 5_000, True))
        for age_ms, known_age_ms, expected in cases:
            with self.subTest(age_ms=age_ms, known_age_ms=known_age_ms):
                sent = view_transfer.is_worth_sending(age_ms, known_age_ms)
                self.assertEqual(expected, sent)

    def test_empty_view_has_one_part(self):
        self.assertEqual(((),), view_transfer.split([], []))


class FreshnessTest(unittest.TestCase):
    """Replay a change that is too large to be told, at 10 s."""

    def setUp(self):
        self.view = freshness.Freshness()
        self.view.confirm(10_000)

    def test_confirmed_view_is_not_read_again(self):
        self.assertFalse(self.view.needs_store_read(10_900))

    def test_view_that_nobody_confirms_is_read(self):
        self.assertTrue(self.view.needs_store_read(11_300))

    def test_changes_that_do_not_arrive_are_read_early(self):
        for now_ms in (10_100, 10_400, 10_700):
            self.view.record_missing_changes(now_ms)
        self.assertTrue(self.view.needs_store_read(10_700))

    def test_changes_that_arrive_late_need_no_reading(self):
        self.view.record_missing_changes(10_100)
        self.view.clear_missing_changes()
        self.assertFalse(self.view.needs_store_read(10_700))


class ServerEntryTest(unittest.TestCase):
    def test_whole_entry(self):
        match entries.read_server('i-1', encoded(SERVER)):
            case Success(server):
                self.assertEqual(('i-1', 1788000000000), server.incarnation)
                self.assertEqual(model.ServerState.READY, server.state)
            case failed:
                self.fail(str(failed))

    def test_damaged_entries_are_refused(self):
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

    def test_bytes_that_are_no_entry(self):
        self.assertIsInstance(entries.read_server('i', b'\xff\x00'), Failure)

    def test_host_entry_comes_back_as_it_was_written(self):
        match entries.read_server('i-1', encoded(SERVER)):
            case Success(server):
                at = server.address
        host = model.EntryHost('h1', 5, 'r', 'a', at, at)
        match entries.read_host('h1', entries.write_host(host)):
            case Success(read):
                self.assertEqual(host, read)
            case failed:
                self.fail(str(failed))


class KnowledgeTest(unittest.TestCase):
    def setUp(self):
        self.knowledge = knowledge.Knowledge()
        self.knowledge.replace(
            (
                store.Item(wire.CONFIGURATION_KEY, encoded(CONFIGURATION), 3),
                store.Item('servers/i-1', encoded(SERVER), 4),
            ),
            5,
            0,
        )

    def test_older_configuration_is_not_taken(self):
        self.knowledge.take_new_routes()
        older = CONFIGURATION | {'version': 6}
        self.knowledge.apply(
            store.Item(wire.CONFIGURATION_KEY, encoded(older), 6), 0
        )
        self.assertIsNone(self.knowledge.take_new_routes())

    def test_damaged_entry_names_no_server(self):
        self.knowledge.apply(store.Item('servers/i-1', b'{}', 6), 0)
        self.assertEqual((), self.knowledge.servers())

    def test_removed_server_is_gone_at_once(self):
        self.knowledge.apply(store.Removal('servers/i-1', 6), 0)
        self.assertEqual((), self.knowledge.servers())

    def test_whole_reading_drops_what_it_lacks(self):
        self.knowledge.replace((), 9, 0)
        self.assertEqual((), self.knowledge.servers())


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = registry.Registry()
        self.registry.put('s', 'entry')

    def test_entry_that_lapsed_with_the_store_is_held(self):
        self.registry.start_grace_period(1_000)
        self.registry.remove('s', 1_100)
        self.assertEqual(('entry',), self.registry.entries())

    def test_entry_that_stays_away_is_gone_within_the_drain_time(self):
        # A host that was cut off for long learns of a leave only from the
        # missing entry; with one tick on top no work may arrive at 2 s.
        self.registry.start_grace_period(1_000)
        self.registry.remove('s', 1_100)
        self.assertTrue(self.registry.expire(1_000 + 2_000 - 300))
        self.assertEqual((), self.registry.entries())

    def test_entry_that_comes_back_stays(self):
        self.registry.start_grace_period(1_000)
        self.registry.remove('s', 1_100)
        self.registry.put('s', 'again')
        self.registry.expire(9_000)
        self.assertEqual(('again',), self.registry.entries())


class ReadersTest(unittest.TestCase):
    NAMES = tuple(f'host-{n}' for n in range(48))

    def fleet(self):
        fleet = {name: store_readers.StoreReaders(name) for name in self.NAMES}
        for one in fleet.values():
            one.set_hosts(self.NAMES)
        return fleet

    def reading(self, fleet, now_ms):
        return {name for name, one in fleet.items() if one.is_reader(now_ms)}

    def test_all_read_until_they_hear_others(self):
        self.assertEqual(set(self.NAMES), self.reading(self.fleet(), 0))

    def test_two_read_when_all_hear_each_other(self):
        fleet = self.fleet()
        for one in fleet.values():
            for name in self.NAMES:
                one.record_report(name, 100, 1_000)
        self.assertEqual(
            store_readers.READER_COUNT, len(self.reading(fleet, 1_100))
        )

    def test_readers_that_fall_silent_are_replaced(self):
        fleet = self.fleet()
        for one in fleet.values():
            for name in self.NAMES:
                one.record_report(name, 100, 1_000)
        first = self.reading(fleet, 1_100)
        later_ms = 1_100 + store_readers.REPORT_TIMEOUT_MS
        for one in fleet.values():
            for name in set(self.NAMES) - first:
                one.record_report(name, 100, later_ms)
        now = self.reading(fleet, later_ms) - first
        self.assertEqual(store_readers.READER_COUNT, len(now))

    def test_reader_that_is_cut_from_the_store_does_not_count(self):
        fleet = self.fleet()
        for one in fleet.values():
            for name in self.NAMES:
                one.record_report(
                    name, store_readers.MAX_VIEW_AGE_MS + 1, 1_000
                )
        self.assertEqual(set(self.NAMES), self.reading(fleet, 1_100))


class ServerAnswerTest(unittest.TestCase):
    def test_results(self):
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

    def test_damaged_load_is_no_load(self):
        for text in ('', '1,2', '1,2,x', '1,2,3,4'):
            headers = {wire.SIGNATURE: 'x', wire.SERVER_LOAD: text}
            with self.subTest(text=text):
                result = responses.classify(200, headers, 5)
                self.assertIsNone(result.load)
