"""Judgement of servers from counted evidence."""

import random
import unittest

from cardamomdeal.health import evidence
from cardamomdeal.health import outlier_detection
from cardamomdeal.protocol import messages

SERVERS = tuple(f'lager-{number}' for number in range(1, 12))
REPORTERS = (('entry-1', 'a'), ('entry-2', 'b'), ('entry-3', 'c'))
SEED = 20261204


class Bench:
    """Feed a window with drawn results, one interval a second."""

    def __init__(self, seed: int = SEED) -> None:
        self.random = random.Random(seed)
        self.window = evidence.EvidenceWindow()
        self.now_ms = 0

    def second(
        self, attempts: int, draw
    ) -> dict[str, outlier_detection.Verdict]:
        """Add a second in which each reporter sees each server."""
        for reporter, centre in REPORTERS:
            report = messages.EvidenceReport(
                reporter=reporter,
                data_centre=centre,
                service='lager',
                asked_at_ms=self.now_ms,
                evidence=tuple(
                    self._evidence(server, centre, attempts, draw)
                    for server in SERVERS
                ),
            )
            self.window.add(report, self.now_ms)
        self.window.expire(self.now_ms)
        verdicts = outlier_detection.judge(self.window)
        self.now_ms += 1_000
        return verdicts

    def _evidence(
        self, server: str, centre: str, attempts: int, draw
    ) -> messages.ServerEvidence:
        failures = 0
        latencies = [0] * 20
        for _ in range(attempts):
            failed, latency_ms = draw(self.random, server, centre)
            failures += failed
            latencies[latency_ms.bit_length()] += 1
        return messages.ServerEvidence(
            server=server,
            work_kind='stock',
            successes=attempts - failures,
            failures=failures,
            refusals=0,
            latencies=tuple(latencies),
        )


def healthy(rng: random.Random, server: str, centre: str) -> tuple[bool, int]:
    """Draw a well answer, with rare failures and stragglers."""
    latency_ms = int(rng.lognormvariate(2.0, 0.5))
    if rng.random() < 0.03:
        latency_ms *= 40
    return rng.random() < 0.002, latency_ms


def bad(verdicts: dict[str, outlier_detection.Verdict]) -> set[str]:
    """Return the servers judged bad."""
    return {
        server
        for server, verdict in verdicts.items()
        if isinstance(verdict, outlier_detection.BadServer)
    }


class JudgementTest(unittest.TestCase):
    def test_a_bad_server_is_found_and_no_other(self) -> None:
        def gray(change):
            def draw(rng, server, centre):
                failed, latency_ms = healthy(rng, server, centre)
                if server == 'lager-4':
                    return change(rng, failed, latency_ms)
                return failed, latency_ms

            return draw

        cases = {
            'fails always': lambda rng, f, ms: (True, ms),
            'fails half': lambda rng, f, ms: (rng.random() < 0.5, ms),
            'fails a fifth': lambda rng, f, ms: (rng.random() < 0.2, ms),
            'eight times slower': lambda rng, f, ms: (f, ms * 8),
            'half are slow': lambda rng, f, ms: (
                f,
                ms * 20 if rng.random() < 0.5 else ms,
            ),
        }
        for name, change in cases.items():
            with self.subTest(name):
                bench = Bench()
                for _ in range(20):
                    self.assertEqual(set(), bad(bench.second(3, healthy)))
                found: set[str] = set()
                for _ in range(30):
                    found |= bad(bench.second(3, gray(change)))
                self.assertEqual({'lager-4'}, found)

    def test_nobody_is_judged_bad_when_all_get_slow_together(self) -> None:
        bench = Bench()
        found: set[str] = set()
        for second in range(120):
            factor = 1 + 30 * (second % 40 > 20)

            def draw(rng, server, centre, factor=factor):
                failed, latency_ms = healthy(rng, server, centre)
                return failed, latency_ms * factor

            found |= bad(bench.second(2, draw))
        self.assertEqual(set(), found)

    def test_nobody_is_judged_bad_when_all_fail_together(self) -> None:
        bench = Bench()
        found: set[str] = set()
        for second in range(60):
            share = 0.6 if 20 < second < 40 else 0.002

            def draw(rng, server, centre, share=share):
                return rng.random() < share, 8

            found |= bad(bench.second(3, draw))
        self.assertEqual(set(), found)

    def test_a_path_that_one_data_centre_has_lost_is_not_the_server(
        self,
    ) -> None:
        def draw(rng, server, centre):
            if server == 'lager-4' and centre == 'a':
                return True, 500
            return healthy(rng, server, centre)

        bench = Bench()
        seen: set[type] = set()
        for _ in range(30):
            verdicts = bench.second(4, draw)
            self.assertEqual(set(), bad(verdicts))
            seen.add(type(verdicts['lager-4']))
        self.assertIn(outlier_detection.BadPath, seen)

    def test_what_only_one_agent_sees_is_its_path_also_in_quiet_times(
        self,
    ) -> None:
        window = evidence.EvidenceWindow()
        for reporter, centre, successes, failures in (
            ('entry-1', 'a', 0, 6),
            ('entry-2', 'b', 1, 0),
            ('entry-3', 'c', 1, 0),
        ):
            seen = [
                messages.ServerEvidence(
                    'lager-4', 'stock', successes, failures, 0, ()
                ),
                *(
                    messages.ServerEvidence(name, 'stock', 10, 0, 0, ())
                    for name in ('lager-1', 'lager-2', 'lager-3')
                ),
            ]
            window.add(
                messages.EvidenceReport(
                    reporter=reporter,
                    data_centre=centre,
                    service='lager',
                    asked_at_ms=0,
                    evidence=tuple(seen),
                ),
                0,
            )
        verdict = outlier_detection.judge(window)['lager-4']
        self.assertIsInstance(verdict, outlier_detection.BadPath)

    def test_no_healthy_server_is_judged_bad_in_an_hour(self) -> None:
        bench = Bench()
        found: set[str] = set()
        for second in range(3600):
            burst = 6 if second % 60 < 5 else 1
            found |= bad(bench.second(burst, healthy))
        self.assertEqual(set(), found)

    def test_two_servers_are_too_few_to_compare(self) -> None:
        window = evidence.EvidenceWindow()
        window.add(
            messages.EvidenceReport(
                reporter='entry-1',
                data_centre='a',
                service='lager',
                asked_at_ms=0,
                evidence=(
                    messages.ServerEvidence('one', 'stock', 0, 50, 0, ()),
                    messages.ServerEvidence('two', 'stock', 50, 0, 0, ()),
                ),
            ),
            0,
        )
        self.assertEqual(set(), bad(outlier_detection.judge(window)))
