"""What a host knows of each server, as entries and results come in."""

import dataclasses
import unittest

from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import server_views
from cardamomdeal.fleet import model
from cardamomdeal.internal import address

SERVER = model.BackendServer(
    server_id='i-1',
    born_ms=1,
    service='orders',
    address=address.Address('127.0.0.1', 9_000),
    data_centre='a',
    slots=3,
    state=model.ServerState.READY,
    slow_start_ms=0,
)


class ServerViewsTest(unittest.TestCase):
    def setUp(self):
        self.views = server_views.ServerViews()
        self.views.replace([SERVER], 1_000)
        self.view = self.views.find(SERVER.incarnation)

    def test_draining_server_takes_no_new_work(self):
        draining = dataclasses.replace(
            SERVER, state=model.ServerState.DRAINING
        )
        self.views.replace([draining], 2_000)
        self.assertIsNone(self.views.find(SERVER.incarnation))
        self.assertEqual([], list(self.views.of_service('orders')))

    def test_what_is_known_outlasts_a_new_reading(self):
        self.view.note_sent()
        self.views.replace([SERVER], 2_000)
        self.assertEqual(1, self.views.find(SERVER.incarnation).in_flight)

    def test_new_life_of_a_server_begins_without_a_past(self):
        self.view.note_sent()
        born_again = dataclasses.replace(SERVER, born_ms=2)
        self.views.replace([born_again], 2_000)
        self.assertEqual(0, self.views.find(born_again.incarnation).in_flight)
        self.assertIsNone(self.views.find(SERVER.incarnation))

    def test_service_that_a_server_left_does_not_get_it(self):
        moved = dataclasses.replace(SERVER, service='stock', born_ms=2)
        self.views.replace([moved], 2_000)
        self.assertEqual([], list(self.views.of_service('orders')))

    def test_how_long_a_server_is_left_alone_after_a_result(self):
        cases = (
            (outcomes.NotExecuted(503, None), server_views.FULL_MS),
            (outcomes.NotConnected('cut'), server_views.UNREACHABLE_MS),
            (outcomes.AnotherServer('i-2'), server_views.UNREACHABLE_MS),
        )
        for result, expected_ms in cases:
            with self.subTest(result=result):
                self.view.note_sent()
                self.view.note_ended(result, 5_000)
                self.assertEqual(
                    5_000 + expected_ms, self.view.closed_until_ms
                )
        self.assertEqual(0, self.view.in_flight)

    def test_report_counts_what_was_sent_before_it(self):
        self.view.note_sent()
        self.view.note_load(outcomes.Load(2, 0, 3), 1_500)
        self.assertEqual(0, self.view.sent_since_load)
