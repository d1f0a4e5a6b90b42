"""The loads under which most requests were lost, replayed.

The figures of servers, hosts and requests are those of a deployment of 293
hosts, divided by about five.
"""

import collections
import dataclasses
import logging
import random
import unittest

from cardamomdeal.balancing import failure_detector
from tests.history import load_replay

ORDERS = load_replay.Load(
    hosts=58,
    data_centres=5,
    servers=54,
    slots=3,
    queue=12,
    work_ms=200,
    requests_per_s=100,
    target_latency_ms=1_300,
    timeout_ms=3_000,
    repeat_slack=86.0,
)
# A busy service: 6 requests a second at each server.
BOOKINGS = dataclasses.replace(
    ORDERS,
    hosts=48,
    data_centres=4,
    servers=26,
    work_ms=210,
    requests_per_s=167,
    target_latency_ms=800,
    repeat_slack=64.0,
)
# Four fifths of what the servers can run.
BOOKINGS_AT_THE_LIMIT = dataclasses.replace(BOOKINGS, requests_per_s=260)
SEEDS = (1, 2, 3)
# Three in ten servers fail nine of ten requests for a while, then none.
FAILING_SERVERS_SHARE = 0.3
FAILED_SHARE = 0.9
FAILING_MS = 5_000
HEALTHY_MS = 4_000
# Until servers that were suspected before anything was learned are used again.
LEARNING_S = 3 * failure_detector.MEAN_EPISODE_MS / 1_000
# Healthy servers fail a few requests, too.
ERROR_SHARE = 0.012


class WorstLoadTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_most_servers_refuse_requests_although_they_are_idle(self):
        """Nine of ten servers refuse 55% of their requests for seconds.

        The others could run four of five requests. Hosts that did not tell
        each other of refusals chose a server by its load alone, and lost a
        third of the requests. Hosts that preferred the others sent them more
        than they could run, as their loads became known too late.
        """
        for report_delay_ms in (60, 300):
            for seed in SEEDS:
                with self.subTest(delay_ms=report_delay_ms, seed=seed):
                    self.shed(report_delay_ms, seed)

    def shed(self, report_delay_ms, seed):
        load = dataclasses.replace(ORDERS, report_delay_ms=report_delay_ms)
        replay = load_replay.Replay(load, seed)
        replay.run(4)
        for number, server in enumerate(replay.servers.values()):
            server.refusing_share = 0.55 if number % 10 else 0.0
        replay.run(8.5)
        self.assertGreaterEqual(replay.share('served'), 0.8)
        self.assertLessEqual(replay.share('failed'), 0.02)
        for server in replay.servers.values():
            server.refusing_share = 0.0
        replay.run(6)
        self.assertGreaterEqual(replay.share('served'), 0.97)

    def test_busy_servers_with_single_errors_are_used(self):
        """Three in ten servers fail in turn, and all return a few errors.

        A single error kept a busy server away as long as a slow one, although
        it is most likely one of those few. The servers that were left were
        too busy, and one in fifty requests was late.
        """
        results = collections.Counter()
        for seed in SEEDS:
            replay = load_replay.Replay(BOOKINGS, seed)
            rng = random.Random(seed)
            for server in replay.servers.values():
                server.failing_share = ERROR_SHARE
                if rng.random() < FAILING_SERVERS_SHARE:
                    self.alternate(replay, server, rng.uniform(0, 9_000))
            replay.run(5)
            results += replay.run(15)
        late = results['late'] / results.total()
        self.assertLessEqual(late, 0.015)
        self.assertGreaterEqual(results['served'] / results.total(), 0.955)

    def test_errors_at_the_base_rate_convict_no_servers(self):
        """All servers are healthy and return the few errors of their kind.

        Hosts took each error for the beginning of an episode and kept a
        quarter of the servers out. While the others had hardly room for all
        requests, these failed as well, and half of the requests were lost.
        """
        for load in (BOOKINGS, BOOKINGS_AT_THE_LIMIT):
            for seed in SEEDS:
                with self.subTest(load=load.requests_per_s, seed=seed):
                    replay = load_replay.Replay(load, seed)
                    for server in replay.servers.values():
                        server.failing_share = ERROR_SHARE
                    replay.run(LEARNING_S)
                    avoided = [self.avoided_share(replay) for _ in range(40)]
                    self.assertLessEqual(sum(avoided) / len(avoided), 0.1)
                    self.assertGreaterEqual(replay.share('served'), 0.9)

    def avoided_share(self, replay):
        """Run for half a second; return how many servers hosts avoid."""
        replay.run(0.5)
        now_ms = replay.clock.now_ms()
        avoided = sum(
            host.dispatcher._servers._failure_detector.is_suspected(
                server.entry.incarnation, now_ms
            )
            for host in replay.hosts
            for server in replay.servers.values()
        )
        return avoided / len(replay.hosts) / len(replay.servers)

    def alternate(self, replay, server, delay_ms):
        """Let a server fail and recover from a time on."""
        is_failing = server.failing_share == ERROR_SHARE

        def switch():
            server.failing_share = FAILED_SHARE if is_failing else ERROR_SHARE
            self.alternate(
                replay, server, FAILING_MS if is_failing else HEALTHY_MS
            )

        replay.after(delay_ms, switch)


if __name__ == '__main__':
    unittest.main()
