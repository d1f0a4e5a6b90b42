"""Contract of KeyValueClient, tested against the store stand-in."""

import json
import threading
import unittest

import urllib3

from cardamomdeal.internal import address
from cardamomdeal.platform import errors
from cardamomdeal.platform import key_value
from cardamomdeal.platform import service
from devel import fleet
from devel import store_standin


class KeyValueClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.address = fleet.free_address()
        self.parsed_address = address.parse_address(self.address)
        self.standin = store_standin.StoreStandin(
            self.parsed_address.host, self.parsed_address.port
        )
        self.platform = key_value.KeyValueClient(self.parsed_address, 500)

    def tearDown(self) -> None:
        self.control('faults', {'outage': False, 'slow_ms': 0})
        self.standin.stop()

    def control(self, endpoint: str, body) -> None:
        urllib3.request(
            'POST',
            f'http://{self.address}/control/{endpoint}',
            body=json.dumps(body),
        )

    def test_write_requires_current_revision(self) -> None:
        self.assertIsNone(self.platform.get('a/b').unwrap())
        first = self.platform.compare_and_swap('a/b', 'one', 0).unwrap()
        self.assertEqual(first, self.platform.get('a/b').unwrap())
        for revision in (0, first.revision + 1):
            refused = self.platform.compare_and_swap('a/b', 'x', revision)
            self.assertIsInstance(refused.failure(), errors.RevisionConflict)
        second = self.platform.compare_and_swap('a/b', 'two', first.revision)
        self.assertGreater(second.unwrap().revision, first.revision)

    def test_watch_returns_next_write_or_none_on_timeout(self) -> None:
        state = self.platform.compare_and_swap('key', 'one', 0).unwrap()
        self.assertEqual(state, self.platform.watch('key', 0, 100).unwrap())
        self.assertIsNone(
            self.platform.watch('key', state.revision, 100).unwrap()
        )
        writer = key_value.KeyValueClient(self.parsed_address, 500)
        timer = threading.Timer(
            0.1,
            writer.compare_and_swap,
            ('key', 'two', state.revision),
        )
        timer.start()
        latest = self.platform.watch('key', state.revision, 5_000).unwrap()
        timer.join()
        self.assertEqual('two', latest.value)

    def test_hosts_returns_host_list(self) -> None:
        listed = [
            {'name': 'entry-1', 'address': '192.0.2.1:1', 'state': 'live'},
            {'name': 'b-1', 'address': '192.0.2.2:1', 'state': 'leaving'},
        ]
        self.control('hosts', listed)
        hosts = self.platform.hosts().unwrap()
        states = {host.name: host.state for host in hosts}
        self.assertEqual(
            {
                'entry-1': service.HostState.LIVE,
                'b-1': service.HostState.LEAVING,
            },
            states,
        )

    def test_outage_and_slow_responses_are_unavailable(self) -> None:
        cases = (
            ('outage', {'outage': True}),
            ('slow', {'outage': False, 'slow_ms': 2_000}),
        )
        for name, faults in cases:
            with self.subTest(name):
                self.control('faults', faults)
                for result in (
                    self.platform.get('key'),
                    self.platform.compare_and_swap('key', 'x', 0),
                    self.platform.hosts(),
                ):
                    self.assertIsInstance(
                        result.failure(), errors.PlatformUnavailable
                    )

    def test_write_with_lost_response_takes_effect(self) -> None:
        self.control('faults', {'lose_write_answers': 1})
        failed = self.platform.compare_and_swap('key', 'one', 0)
        self.assertIsInstance(failed.failure(), errors.PlatformUnavailable)
        self.assertEqual('one', self.platform.get('key').unwrap().value)

    def test_watch_recovers_from_dropped_history(self) -> None:
        state = self.platform.compare_and_swap('key', 'one', 0).unwrap()
        self.assertEqual(state, self.platform.watch('key', 0, 100).unwrap())
        self.platform.compare_and_swap('key', 'two', state.revision)
        self.standin.compact()
        latest = self.platform.watch('key', state.revision, 100).unwrap()
        self.assertEqual('two', latest.value)

    def test_watch_repeats_state_that_caller_did_not_adopt(self) -> None:
        state = self.platform.compare_and_swap('key', 'one', 0).unwrap()
        for _ in range(2):
            reported = self.platform.watch('key', 0, 100).unwrap()
            self.assertEqual(state, reported)
