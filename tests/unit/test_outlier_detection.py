"""Outlier detection on simulated results of requests."""

import random
import unittest

from cardamomdeal.health import evidence
from cardamomdeal.health import outlier_detection
from cardamomdeal.protocol import messages

SERVERS = tuple(f'lager-{number}' for number in range(1, 12))
REPORTERS = (('entry-1', 'a'), ('entry-2', 'b'), ('entry-3', 'c'))
SEED = 20261204


class Simulation:
    """Evidence window that is filled with random results by the second."""

    def __init__(self, seed: int = SEED) -> None:
        self.random = random.Random(seed)
        self.window = evidence.EvidenceWindow()
        self.now_ms = 0

    def run_second(
        self, attempts: int, sample
    ) -> dict[str, outlier_detection.Verdict]:
        """Add one second of reports on every server by every reporter."""
        for reporter, centre in REPORTERS:
            report = messages.EvidenceReport(
                reporter=reporter,
                data_centre=centre,
                service='lager',
                asked_at_ms=self.now_ms,
                evidence=tuple(
                    self._evidence(server, centre, attempts, sample)
                    for server in SERVERS
                ),
            )
            self.window.add(report, self.now_ms)
        self.window.expire(self.now_ms)
        verdicts = outlier_detection.detect_outliers(self.window)
        self.now_ms += 1_000
        return verdicts

    def _evidence(
        self, server: str, centre: str, attempts: int, sample
    ) -> messages.ServerEvidence:
        failures = 0
        latencies = [0] * 20
        for _ in range(attempts):
            failed, latency_ms = sample(self.random, server, centre)
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


def sample_healthy(
    rng: random.Random, server: str, centre: str
) -> tuple[bool, int]:
    """Return a random result with few failures and slow responses."""
    latency_ms = int(rng.lognormvariate(2.0, 0.5))
    if rng.random() < 0.03:
        latency_ms *= 40
    return rng.random() < 0.002, latency_ms


def faulty_servers(verdicts: dict[str, outlier_detection.Verdict]) -> set[str]:
    """Return the servers with the verdict that they are faulty."""
    return {
        server
        for server, verdict in verdicts.items()
        if isinstance(verdict, outlier_detection.FaultyServer)
    }


class OutlierDetectionTest(unittest.TestCase):
    def test_only_the_faulty_server_is_detected(self) -> None:
        def degrade(change):
            def sample(rng, server, centre):
                failed, latency_ms = sample_healthy(rng, server, centre)
                if server == 'lager-4':
                    return change(rng, failed, latency_ms)
                return failed, latency_ms

            return sample

        cases = {
            'fails always': lambda rng, failed, ms: (True, ms),
            'fails half': lambda rng, failed, ms: (rng.random() < 0.5, ms),
            'fails a fifth': lambda rng, failed, ms: (rng.random() < 0.2, ms),
            'eight times slower': lambda rng, failed, ms: (failed, ms * 8),
            'half are slow': lambda rng, failed, ms: (
                failed,
                ms * 20 if rng.random() < 0.5 else ms,
            ),
        }
        for name, change in cases.items():
            with self.subTest(name):
                simulation = Simulation()
                for _ in range(20):
                    self.assertEqual(
                        set(),
                        faulty_servers(
                            simulation.run_second(3, sample_healthy)
                        ),
                    )
                found: set[str] = set()
                for _ in range(30):
                    found |= faulty_servers(
                        simulation.run_second(3, degrade(change))
                    )
                self.assertEqual({'lager-4'}, found)

    def test_no_server_is_faulty_when_all_become_slow(self) -> None:
        simulation = Simulation()
        found: set[str] = set()
        for second in range(120):
            factor = 1 + 30 * (second % 40 > 20)

            def sample(rng, server, centre, factor=factor):
                failed, latency_ms = sample_healthy(rng, server, centre)
                return failed, latency_ms * factor

            found |= faulty_servers(simulation.run_second(2, sample))
        self.assertEqual(set(), found)

    def test_no_server_is_faulty_when_all_fail(self) -> None:
        simulation = Simulation()
        found: set[str] = set()
        for second in range(60):
            share = 0.6 if 20 < second < 40 else 0.002

            def sample(rng, server, centre, share=share):
                return rng.random() < share, 8

            found |= faulty_servers(simulation.run_second(3, sample))
        self.assertEqual(set(), found)

    def test_failures_seen_by_one_data_centre_are_a_path_fault(self) -> None:
        def sample(rng, server, centre):
            if server == 'lager-4' and centre == 'a':
                return True, 500
            return sample_healthy(rng, server, centre)

        simulation = Simulation()
        seen: set[type] = set()
        for _ in range(30):
            verdicts = simulation.run_second(4, sample)
            self.assertEqual(set(), faulty_servers(verdicts))
            seen.add(type(verdicts['lager-4']))
        self.assertIn(outlier_detection.FaultyPath, seen)

    def test_failures_seen_by_one_agent_at_low_traffic_are_a_path_fault(
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
        verdict = outlier_detection.detect_outliers(window)['lager-4']
        self.assertIsInstance(verdict, outlier_detection.FaultyPath)

    def test_no_healthy_server_is_faulty_within_an_hour(self) -> None:
        simulation = Simulation()
        found: set[str] = set()
        for second in range(3600):
            burst = 6 if second % 60 < 5 else 1
            found |= faulty_servers(
                simulation.run_second(burst, sample_healthy)
            )
        self.assertEqual(set(), found)

    def test_two_servers_are_too_few_for_a_comparison(self) -> None:
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
        self.assertEqual(
            set(), faulty_servers(outlier_detection.detect_outliers(window))
        )
