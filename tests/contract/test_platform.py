"""The platform's client keeps its contract against the stand-in."""

import json
import threading
import unittest

import pykka
import urllib3

from cardamomdeal.internal import address
from cardamomdeal.platform import client
from cardamomdeal.platform import errors
from cardamomdeal.platform import service
from devel import fleet
from devel import platform_standin


class PlatformTest(unittest.TestCase):
    def setUp(self) -> None:
        self.address = fleet.free_address()
        self.at = address.parse_address(self.address)
        self.serving = platform_standin.start_server(self.at)
        self.platform = client.HttpPlatform(self.at, 500)

    def tearDown(self) -> None:
        self.control('faults', {'outage': False, 'slow_ms': 0})
        self.serving.finish()
        pykka.ActorRegistry.stop_all()

    def control(self, what: str, body) -> None:
        urllib3.request(
            'POST',
            f'http://{self.address}/control/{what}',
            body=json.dumps(body),
        )

    def test_a_write_needs_the_revision_that_is_there(self) -> None:
        self.assertIsNone(self.platform.get('a/b').unwrap())
        first = self.platform.compare_and_swap('a/b', 'one', 0).unwrap()
        self.assertEqual(first, self.platform.get('a/b').unwrap())
        for revision in (0, first.revision + 1):
            refused = self.platform.compare_and_swap('a/b', 'x', revision)
            self.assertIsInstance(refused.failure(), errors.RevisionConflict)
        second = self.platform.compare_and_swap('a/b', 'two', first.revision)
        self.assertGreater(second.unwrap().revision, first.revision)

    def test_a_watch_ends_with_the_next_write_or_with_nothing(self) -> None:
        state = self.platform.compare_and_swap('key', 'one', 0).unwrap()
        self.assertEqual(state, self.platform.watch('key', 0, 100).unwrap())
        self.assertIsNone(
            self.platform.watch('key', state.revision, 100).unwrap()
        )
        writer = client.HttpPlatform(self.at, 500)
        timer = threading.Timer(
            0.1,
            writer.compare_and_swap,
            ('key', 'two', state.revision),
        )
        timer.start()
        seen = self.platform.watch('key', state.revision, 5_000).unwrap()
        timer.join()
        self.assertEqual('two', seen.value)

    def test_the_host_list_is_read(self) -> None:
        listed = [
            {'name': 'entry-1', 'address': '192.0.2.1:1', 'state': 'live'},
            {'name': 'b-1', 'address': '192.0.2.2:1', 'state': 'leaving'},
        ]
        self.control('hosts', listed)
        hosts = self.platform.hosts().unwrap()
        self.assertEqual(['entry-1', 'b-1'], [host.name for host in hosts])
        self.assertIs(service.HostState.LEAVING, hosts[1].state)

    def test_every_kind_of_silence_is_unavailable(self) -> None:
        cases = (
            ('outage', {'outage': True}),
            ('slow', {'outage': False, 'slow_ms': 2_000}),
        )
        for name, faults in cases:
            with self.subTest(name):
                self.control('faults', faults)
                for answer in (
                    self.platform.get('key'),
                    self.platform.compare_and_swap('key', 'x', 0),
                    self.platform.hosts(),
                ):
                    self.assertIsInstance(
                        answer.failure(), errors.PlatformUnavailable
                    )

    def test_a_write_whose_answer_is_lost_took_effect(self) -> None:
        self.control('faults', {'lose_write_answers': 1})
        lost = self.platform.compare_and_swap('key', 'one', 0)
        self.assertIsInstance(lost.failure(), errors.PlatformUnavailable)
        self.assertEqual('one', self.platform.get('key').unwrap().value)
