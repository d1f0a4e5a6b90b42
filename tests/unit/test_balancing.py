"""Decisions on where requests go, each under the load it answers."""

import random
import unittest

from cardamomdeal.balancing import avoidance
from cardamomdeal.balancing import budget
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import placement
from cardamomdeal.balancing import second_chance
from cardamomdeal.balancing import service_load
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.settings import model as settings_model

HERE = 'a'
BOUNDS = settings_model.Bounds(
    drain_ms=2_000,
    stop_grace_ms=6_000,
    max_keep_for_ms=5_000,
    repeat_ratio=0.2,
    repeat_window_ms=10_000,
    repeat_slack=64.0,
    capacity_floor=0.7,
)
CALM = second_chance.Service(
    rate_per_s=72.0, unserved_share=0.02, capacity_floor=0.7
)
FAILING = second_chance.Service(
    rate_per_s=72.0, unserved_share=0.2, capacity_floor=0.7
)


def server(name, data_centre=HERE):
    return model.BackendServer(
        server_id=name,
        born_ms=1,
        service='orders',
        address=address.Address('127.0.0.1', 9_000),
        data_centre=data_centre,
        slots=3,
        state=model.ServerState.READY,
        slow_start_ms=0,
    )


def candidate(name, suspicion=None, busy=0, data_centre=HERE, closed_ms=0):
    return placement.Candidate(
        server=server(name, data_centre),
        in_flight=0,
        load=outcomes.Load(min(busy, 3), max(0, busy - 3), 3),
        load_at_ms=10_000,
        sent_since_load=0,
        suspicion=suspicion,
        closed_until_ms=closed_ms,
        has_idle_connection=False,
        cold_until_ms=0,
    )


def suspicion(failures, failed_at_ms, until_ms=20_000, slow=False):
    return avoidance.Suspicion(failures, slow, failed_at_ms, until_ms)


def chosen(candidates, service=CALM, repeatable=False):
    """Return how often each server is chosen at 10 s, of 1,000 times."""
    randomness = random.Random(7)
    situation = placement.Situation(HERE, service, repeatable, 10_000)
    counts = {}
    for _ in range(1_000):
        choice = placement.choose(candidates, situation, randomness)
        name = choice.candidate.server.server_id
        counts[name] = counts.get(name, 0) + 1
    return counts


class AvoidanceTest(unittest.TestCase):
    def setUp(self):
        self.avoidance = avoidance.Avoidance(random.Random(1))

    def test_first_failure_pauses_briefly(self):
        noted = self.avoidance.note_failure(('s', 1), False, 1_000)
        pause_ms = noted.until_ms - 1_000
        self.assertLess(
            pause_ms, avoidance.FIRST_QUIET_MS + avoidance.RETURN_SPREAD_MS
        )

    def test_second_failure_pauses_for_seconds(self):
        self.avoidance.note_failure(('s', 1), False, 1_000)
        noted = self.avoidance.note_failure(('s', 1), False, 1_100)
        pause_ms = noted.until_ms - 1_100
        self.assertGreater(
            pause_ms, avoidance.FIRST_QUIET_MS + avoidance.RETURN_SPREAD_MS
        )

    def test_success_of_later_work_ends_the_suspicion(self):
        self.avoidance.note_failure(('s', 1), False, 1_000)
        self.assertTrue(self.avoidance.note_success(('s', 1), 1_001))
        self.assertIsNone(self.avoidance.suspicion(('s', 1)))

    def test_success_of_work_begun_before_says_nothing(self):
        self.avoidance.note_failure(('s', 1), False, 1_000)
        self.assertFalse(self.avoidance.note_success(('s', 1), 900))
        self.assertIsNotNone(self.avoidance.suspicion(('s', 1)))

    def test_new_incarnation_is_not_suspected(self):
        self.avoidance.note_failure(('s', 1), False, 1_000)
        self.assertIsNone(self.avoidance.suspicion(('s', 2)))

    def test_hosts_return_one_after_the_other(self):
        ends = {
            avoidance.Avoidance(random.Random(seed))
            .note_failure(('s', 1), False, 0)
            .until_ms
            for seed in range(48)
        }
        spread_ms = max(ends) - min(ends)
        self.assertGreater(spread_ms, avoidance.RETURN_SPREAD_MS / 2)


class PlacementTest(unittest.TestCase):
    def test_no_server(self):
        situation = placement.Situation(HERE, CALM, False, 0)
        self.assertIsNone(placement.choose([], situation, random.Random(1)))

    def test_failing_server_gets_nothing_while_others_have_room(self):
        counts = chosen(
            [candidate('bad', suspicion(2, 9_900)), candidate('good')]
        )
        self.assertEqual({'good': 1_000}, counts)

    def test_server_that_failed_once_stands_in_for_overloaded_ones(self):
        counts = chosen(
            [
                candidate('once', suspicion(1, 9_900)),
                candidate('crowded', busy=14),
            ]
        )
        self.assertEqual({'once': 1_000}, counts)

    def test_surely_bad_server_is_worse_than_waiting(self):
        counts = chosen(
            [
                candidate('bad', suspicion(3, 9_900)),
                candidate('waiting', busy=6),
            ]
        )
        self.assertEqual({'waiting': 1_000}, counts)

    def test_work_stays_in_the_data_centre_until_it_is_busy(self):
        near = [candidate('near')]
        far = [candidate('far', data_centre='b')]
        self.assertEqual({'near': 1_000}, chosen(near + far))
        near = [candidate('near', busy=9)]
        self.assertEqual({'far': 1_000}, chosen(near + far))

    def test_unreachable_servers_are_used_if_there_is_no_other(self):
        self.assertEqual(
            {'cut': 1_000}, chosen([candidate('cut', closed_ms=11_000)])
        )

    def test_nobody_is_avoided_when_all_fail(self):
        counts = chosen(
            [candidate(str(n), suspicion(2, 9_000 + n)) for n in range(6)]
        )
        self.assertTrue(counts)


class SecondChanceTest(unittest.TestCase):
    def test_unsafe_work_does_not_probe_in_calm_times(self):
        found = second_chance.find(
            [suspicion(2, 0)] * 8, 13, CALM, False, 10_000
        )
        self.assertEqual(second_chance.NONE, found)

    def test_repeatable_work_probes_all_but_slow_servers(self):
        found = second_chance.find(
            [suspicion(2, 0), suspicion(2, 0, slow=True)],
            13,
            CALM,
            True,
            10_000,
        )
        self.assertEqual((0,), found.places)

    def test_floor_binds_while_many_fail(self):
        # 8 of 21 servers are avoided: 15 have to be in use, so two more.
        found = second_chance.find(
            [suspicion(2, 0)] * 8, 13, FAILING, False, 10_000
        )
        self.assertEqual((0, 1), found.places)

    def test_floor_does_not_count_servers_that_failed_just_now(self):
        found = second_chance.find(
            [suspicion(2, 9_000)] * 8, 13, FAILING, False, 10_000
        )
        self.assertEqual(second_chance.NONE, found)

    def test_share_of_requests_at_risk_is_bounded(self):
        quiet = second_chance.Service(1.0, 0.2, 0.7)
        found = second_chance.find(
            [suspicion(2, 0)] * 8, 2, quiet, False, 10_000
        )
        self.assertLessEqual(found.share, second_chance.MAX_SHARE)


class ServiceLoadTest(unittest.TestCase):
    def test_failures_of_all_hosts_against_requests_of_all(self):
        load = service_load.ServiceLoad()
        for n in range(10):
            load.note_request(n)
        for _ in range(48):
            load.note_peer_failure(10, 100)
        self.assertAlmostEqual(0.1, load.unserved_share(48, 1_000))

    def test_old_work_does_not_count(self):
        load = service_load.ServiceLoad()
        load.note_request(0)
        load.note_unserved(0)
        self.assertEqual(0, load.unserved_share(1, 10_000))


class RepeatBudgetTest(unittest.TestCase):
    def spent_by_fleet(self, hosts, told_hosts, requests_each):
        """Spend all that each of the hosts allows itself."""
        spent = 0
        for _ in range(hosts):
            one = budget.RepeatBudget(BOUNDS)
            for n in range(requests_each):
                one.note_request(n, told_hosts[0])
            for told in told_hosts:
                while one.take(5_000, told):
                    spent += 1
        return spent

    def test_fleet_stays_in_bounds_when_every_request_fails(self):
        spent = self.spent_by_fleet(48, (48,), 25)
        self.assertLessEqual(spent, 0.2 * 48 * 25 + 64)

    def test_hosts_that_left_have_spent_their_part(self):
        # Rolling stops: each host sees 48 hosts, then only 24.
        spent = self.spent_by_fleet(48, (48, 24), 25)
        self.assertLessEqual(spent, 0.2 * 48 * 25 + 64)

    def test_budget_returns_with_time(self):
        one = budget.RepeatBudget(BOUNDS)
        while one.take(0, 48):
            pass
        self.assertTrue(one.take(10_001, 1))


class OutcomeTest(unittest.TestCase):
    def test_what_may_have_run(self):
        cases = (
            (outcomes.NotConnected('refused'), False),
            (outcomes.NotExecuted(503, None), False),
            (outcomes.AnotherServer('i-2'), False),
            (outcomes.Answered(500, 1, None), True),
            (outcomes.Broken(1, 'reset'), True),
            (outcomes.TimedOut(1), True),
        )
        for result, expected in cases:
            with self.subTest(result=result):
                self.assertEqual(expected, outcomes.may_have_run(result))
