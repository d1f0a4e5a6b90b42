"""Tests of how single errors are told from the beginning of an episode."""

import unittest

from cardamomdeal.balancing import failure_detector
from cardamomdeal.balancing import first_failures
from cardamomdeal.balancing import outcomes

ASSUMED_ODDS = 1.5
# Odds from which a server is suspected.
SUSPECT_ODDS = failure_detector.SUSPECT_PROBABILITY / (
    1 - failure_detector.SUSPECT_PROBABILITY
)


class FirstFailuresTest(unittest.TestCase):
    def setUp(self):
        self.learned = first_failures.FirstFailures()
        self.now_ms = 0

    def record(self, count, are_episodes=False, every_ms=300):
        for _ in range(count):
            self.now_ms += every_ms
            self.learned.record_failure(self.now_ms)
            if are_episodes:
                self.learned.record_episode(self.now_ms)

    def odds(self):
        return self.learned.odds(ASSUMED_ODDS, self.now_ms)

    def test_service_without_single_errors_is_judged_as_assumed(self):
        self.record(2)
        self.record(20, are_episodes=True)
        self.assertEqual(ASSUMED_ODDS, self.odds())

    def test_single_errors_raise_no_suspicion(self):
        self.record(30)
        self.assertLess(self.odds(), SUSPECT_ODDS)

    def test_a_few_episodes_end_a_long_calm(self):
        self.record(200)
        self.record(3, are_episodes=True, every_ms=100)
        self.assertGreater(self.odds(), SUSPECT_ODDS)

    def test_what_was_learned_is_forgotten(self):
        self.record(200)
        self.now_ms += 10 * first_failures.LONG_HALF_LIFE_MS
        self.assertEqual(ASSUMED_ODDS, self.odds())

    def test_second_failure_comes_sooner_at_a_busy_server(self):
        self.assertEqual(500, first_failures.follow_up_ms(8.0))
        for requests_per_s in (0.0, 0.5):
            self.assertEqual(
                first_failures.MAX_FOLLOW_UP_MS,
                first_failures.follow_up_ms(requests_per_s),
            )


class SingleErrorTest(unittest.TestCase):
    """A busy server of a service whose servers return a few errors each."""

    SERVER = ('s', 1)
    FOLLOW_UP_MS = 700

    def setUp(self):
        self.detector = failure_detector.FailureDetector()

    def fail_at(self, now_ms, first_error_odds=0.05):
        self.detector.forget_single_failure(
            self.SERVER, self.FOLLOW_UP_MS, now_ms
        )
        self.detector.record_failure(
            self.SERVER,
            outcomes.Symptom.ERROR,
            now_ms,
            first_error_odds=first_error_odds,
        )
        return self.detector.is_suspected(self.SERVER, now_ms)

    def test_single_errors_far_apart_do_not_add_up(self):
        for now_ms in range(0, 60_000, 3_000):
            self.assertFalse(self.fail_at(now_ms))

    def test_second_error_soon_after_convicts(self):
        self.assertFalse(self.fail_at(0))
        self.assertTrue(self.fail_at(300))

    def test_suspected_server_is_not_forgotten(self):
        # It gets no requests, so nothing is shown by its silence.
        self.assertTrue(self.fail_at(0, first_error_odds=1.5))
        self.assertTrue(self.fail_at(5_000))
