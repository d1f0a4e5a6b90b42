"""Decisions on where requests go, each under the load it answers."""

import dataclasses
import random
import unittest

from cardamomdeal.balancing import avoidance
from cardamomdeal.balancing import budget
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import placement
from cardamomdeal.balancing import reuse
from cardamomdeal.balancing import second_chance
from cardamomdeal.balancing import service_load
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.settings import model as settings_model

HERE = 'a'
ERROR = outcomes.Symptom.ERROR
SILENT = outcomes.Symptom.SILENT
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


def candidate(
    name,
    suspicion=None,
    busy=0,
    data_centre=HERE,
    closed_ms=0,
    load_at_ms=10_000,
):
    return placement.Candidate(
        server=server(name, data_centre),
        in_flight=0,
        load=outcomes.Load(min(busy, 3), max(0, busy - 3), 3),
        load_at_ms=load_at_ms,
        sent_since_load=0,
        suspicion=suspicion,
        closed_until_ms=closed_ms,
        has_idle_connection=False,
        cold_until_ms=0,
    )


def suspicion(failures, failed_at_ms, symptom=ERROR):
    odds = 1.0 if failures == 1 else avoidance.MAX_ODDS
    return avoidance.Suspicion(
        odds, failed_at_ms, failures, symptom, failed_at_ms
    )


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
        self.avoidance = avoidance.Avoidance()

    def fails(self, *symptoms, at_ms=1_000):
        for symptom in symptoms:
            noted = self.avoidance.note_failure(('s', 1), symptom, at_ms)
        return noted

    def test_one_error_leaves_the_matter_open(self):
        probability = self.fails(ERROR).probability(1_000)
        self.assertGreater(probability, 0.3)
        self.assertLess(probability, 0.7)

    def test_second_error_leaves_little_doubt(self):
        probability = self.fails(ERROR, ERROR).probability(1_000)
        self.assertGreater(probability, 0.95)

    def test_one_missing_answer_says_less_than_one_error(self):
        # 1 request in 30 lasts longer than its time at a good server.
        self.assertLess(self.fails(SILENT).probability(1_000), 0.25)
        self.assertGreater(self.fails(SILENT).probability(1_000), 0.7)

    def test_server_whose_address_answers_for_another_is_gone(self):
        # Hosts that the store turned away asked crashed servers again
        # whose addresses others had taken over.
        result = outcomes.AnotherServer('i-2')
        noted = self.fails(outcomes.symptom(result))
        self.assertGreater(noted.probability(1_000), 0.99)
        self.assertGreater(noted.probability(4_000), 0.7)

    def test_doubt_fades(self):
        noted = self.fails(ERROR, ERROR)
        later_ms = 1_000 + 2 * avoidance.EPISODE_MS
        self.assertLess(noted.probability(later_ms), 0.2)

    def test_successes_end_the_suspicion(self):
        self.fails(ERROR)
        self.assertTrue(self.avoidance.note_success(('s', 1), 1_001, 1_200))
        self.assertTrue(self.avoidance.note_success(('s', 1), 1_201, 1_400))
        self.assertIsNone(self.avoidance.suspicion(('s', 1)))

    def test_success_after_many_failures_leaves_doubt(self):
        # A server that fails six of ten requests serves four.
        self.fails(ERROR, ERROR, ERROR)
        self.avoidance.note_success(('s', 1), 1_001, 1_200)
        remaining = self.avoidance.suspicion(('s', 1)).probability(1_200)
        self.assertGreater(remaining, 0.5)

    def test_success_of_work_begun_before_says_nothing(self):
        self.fails(ERROR)
        self.assertFalse(self.avoidance.note_success(('s', 1), 900, 1_200))
        self.assertIsNotNone(self.avoidance.suspicion(('s', 1)))

    def test_new_incarnation_is_not_suspected(self):
        self.fails(ERROR)
        self.assertIsNone(self.avoidance.suspicion(('s', 2)))


class _Server:
    """Model a server that turns bad for seconds now and then."""

    def __init__(self, randomness):
        self.random = randomness
        self.bad = randomness.random() < 0.3
        self.turns_at_ms = 0
        self.ends_at_ms = []
        self._turn_later(0)

    def _turn_later(self, now_ms):
        mean_ms = 9_000 if self.bad else 21_000
        self.turns_at_ms = now_ms + self.random.expovariate(1 / mean_ms)

    def advance(self, now_ms):
        while self.turns_at_ms <= now_ms:
            self.bad = not self.bad
            self._turn_later(self.turns_at_ms)
        self.ends_at_ms = [e for e in self.ends_at_ms if e > now_ms]

    def run(self, now_ms):
        """Return whether one request succeeds; errors come at once."""
        if self.random.random() < (0.9 if self.bad else 0.012):
            return False
        free_ms = [0, 0, 0, *sorted(self.ends_at_ms)][-3]
        took_ms = self.random.lognormvariate(5.2, 0.4)
        self.ends_at_ms.append(max(now_ms, free_ms) + took_ms)
        return True


class GrayEpisodesTest(unittest.TestCase):
    """Replay work that runs at most once before servers that turn bad."""

    def served_share(self, servers, rate_per_s, seconds, seed):
        randomness = random.Random(seed)
        known = avoidance.Avoidance()
        models = {str(n): _Server(randomness) for n in range(servers)}
        service = second_chance.Service(rate_per_s, 0.02, 0.7)
        now_ms, served, asked = 100_000, 0, 0
        for one in models.values():
            one.turns_at_ms += now_ms
        while now_ms < 100_000 + 1_000 * seconds:
            now_ms += randomness.expovariate(rate_per_s / 1_000)
            candidates = []
            for name, one in models.items():
                one.advance(now_ms)
                candidates.append(
                    candidate(
                        name,
                        known.suspicion((name, 1)),
                        busy=len(one.ends_at_ms),
                        load_at_ms=now_ms,
                    )
                )
            situation = placement.Situation(HERE, service, False, now_ms)
            choice = placement.choose(candidates, situation, randomness)
            name = choice.candidate.server.server_id
            asked += 1
            if models[name].run(now_ms):
                served += 1
                known.note_success((name, 1), now_ms, now_ms)
            else:
                known.note_failure((name, 1), ERROR, now_ms)
        return served / asked

    def test_orders_are_served_while_a_third_of_the_servers_fail(self):
        # 97% is the target for quiet days; 1.2% fail at good servers too.
        for rate_per_s in (45, 72, 110):
            with self.subTest(rate_per_s=rate_per_s):
                shares = [
                    self.served_share(21, rate_per_s, 40, seed)
                    for seed in range(4)
                ]
                self.assertGreaterEqual(sum(shares) / 4, 0.97)


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

    def test_server_that_has_joined_gets_work(self):
        # All others told of a free slot lately, and a new server that was
        # taken for as busy as they are never came out cheapest.
        joined = dataclasses.replace(candidate('joined'), load=None)
        known = [candidate(str(n), busy=1) for n in range(4)]
        self.assertIn('joined', chosen([joined, *known]))

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
            [suspicion(2, 0), suspicion(2, 0, SILENT)],
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

    def test_replaced_server_gets_no_second_chance(self):
        gone = [suspicion(2, 0, outcomes.Symptom.REPLACED)] * 8
        for service, repeatable in ((CALM, True), (FAILING, False)):
            found = second_chance.find(gone, 13, service, repeatable, 10_000)
            self.assertEqual(second_chance.NONE, found)

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


class ReuseLimitTest(unittest.TestCase):
    def setUp(self):
        self.limit = reuse.ReuseLimit()

    def test_loss_halves_the_time_that_connections_are_trusted(self):
        self.limit.note_lost(2_000, 10_000)
        self.assertEqual(1_000, self.limit.limit_ms(10_001))

    def test_losses_after_ever_shorter_times_end_reuse(self):
        self.limit.note_lost(2_000, 10_000)
        self.limit.note_lost(600, 10_100)
        self.assertEqual(0, self.limit.limit_ms(10_101))

    def test_trust_returns(self):
        self.limit.note_lost(100, 10_000)
        later_ms = 10_000 + reuse.CAUTION_MS
        self.assertEqual(reuse.USUAL_IDLE_MS, self.limit.limit_ms(later_ms))


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
