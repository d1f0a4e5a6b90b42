"""The load under which callers compete for too little room, replayed.

The figures of servers and work are those of a deployment of 136 hosts, whose
busiest service has 49 servers, divided by three.
"""

import collections
import dataclasses
import logging
import unittest

from tests.history import load_replay

SERVERS = 16
SLOTS = 3
WORK_MS = 300
CAPACITY_PER_S = SERVERS * SLOTS * 1_000 / WORK_MS
CALM = load_replay.Load(
    hosts=104,
    data_centres=4,
    servers=SERVERS,
    slots=SLOTS,
    queue=12,
    work_ms=WORK_MS,
    requests_per_s=CAPACITY_PER_S / 2,
    target_latency_ms=1_014,
    timeout_ms=2_500,
    max_attempts=2,
    repeat_slack=220.0,
)
# One kind of work is sent at more than twice the room; the urgent one needs a
# quarter of the room.
FLOOD_RATIO = 2.5
URGENT_SHARE = 0.1
SEEDS = (1, 2)
# The repeats that all hosts together may send, for each request.
REPEAT_RATIO = 0.2
MAX_LESS_SERVED = 0.05


class ShortRoomTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logging.disable, logging.NOTSET)

    def flood(self, seed, admission_control, **delays):
        load = dataclasses.replace(CALM, **delays)
        replay = load_replay.Replay(load, seed, admission_control)
        replay.run(5)
        replay.load = dataclasses.replace(
            load,
            requests_per_s=FLOOD_RATIO * CAPACITY_PER_S,
            urgent_share=URGENT_SHARE,
        )
        replay.run(5)
        return replay

    def test_urgent_work_is_served_while_other_work_floods(self):
        """One kind of work of a service is sent at 2.5 times its room.

        Nothing knew the priority of a request or waited for a slot. Servers
        rejected or reset six of ten arrivals, urgent ones among them, though
        there was room for four times as many of these.
        """
        for delay_ms in (60, 300):
            for seed in SEEDS:
                with self.subTest(delay_ms=delay_ms, seed=seed):
                    self.check(seed, report_delay_ms=delay_ms)

    def test_urgent_work_is_served_although_reports_are_late(self):
        """The same flood, and each report takes 60 to 1,500 ms."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(seed, report_delay_ms=60, max_report_delay_ms=1_500)

    def check(self, seed, **delays):
        untouched = self.flood(seed, False, **delays)
        replay = self.flood(seed, True, **delays)
        urgent = replay.share('served', 'late', path=load_replay.URGENT_PATH)
        others = replay.share('served', 'late', path='/')
        self.assertGreaterEqual(urgent, others - MAX_LESS_SERVED)
        self.assertGreater(
            urgent,
            untouched.share('served', 'late', path=load_replay.URGENT_PATH),
        )
        self.assertLessEqual(
            replay.arrivals['rejected'] / replay.arrivals.total(),
            REPEAT_RATIO,
        )
        self.assertGreaterEqual(
            replay.results['served'], untouched.results['served']
        )

    def test_nothing_changes_while_there_is_room(self):
        """Servers run half of what they can, as on an ordinary day."""
        results = []
        for admission_control in (False, True):
            replay = load_replay.Replay(CALM, SEEDS[0], admission_control)
            results.append((replay.run(5), replay.arrivals))
            counters = sum(
                (host.dispatcher.counters() for host in replay.hosts),
                collections.Counter(),
            )
            self.assertFalse(
                [name for name in counters if name.startswith('admission.')]
            )
        self.assertEqual(results[0], results[1])


if __name__ == '__main__':
    unittest.main()
