"""Decides how much of the fleet a host sees.

Answers a split: each side may believe that it has the lenders, and only one
of them, or both together, may lend what the quota permits.
"""

import collections
from collections.abc import Sequence
import enum
import random

PROBE_INTERVAL_MS = 500
PROBED_HOSTS = 24
# More than half, so that a sample of the smaller side rarely passes.
MIN_ANSWERED_SHARE = 0.7
# Of the hosts that were seen lately, for a view of the store. The others may
# go on without the store.
MIN_MOST_SHARE = 0.5
MIN_SOME_SHARE = 0.15
RECENT_MS = 60_000
# An answer tells of the fleet for this time.
VALID_MS = 1_200


class Reach(enum.Enum):
    """How much of the fleet a host sees."""

    # No other side may lend.
    MOST = 'most'
    # One other side may lend as well.
    SOME = 'some'
    LITTLE = 'little'


class Reachability:
    """Numbers of hosts in the view, and probes of random hosts."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._probed_at_ms: int | None = None
        self._probed: frozenset[str] = frozenset()
        self._answered: set[str] = set()
        self._reached_all_at_ms: int | None = None
        self._reached_at_ms: int | None = None
        # Times and falling numbers of hosts; the first one is the maximum.
        self._host_counts: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self._host_count = 0

    def record_hosts(self, count: int, now_ms: int) -> None:
        """Record the number of hosts in the view."""
        self._host_count = count
        while self._host_counts and self._host_counts[-1][1] <= count:
            self._host_counts.pop()
        self._host_counts.append((now_ms, count))

    def most_hosts(self, now_ms: int) -> int:
        """Return the most hosts that were in the view lately."""
        counts = self._host_counts
        # A number held until the next one was recorded.
        while len(counts) > 1 and counts[1][0] <= now_ms - RECENT_MS:
            counts.popleft()
        return max(1, counts[0][1]) if counts else 1

    def next_probes(
        self, others: Sequence[str], now_ms: int
    ) -> tuple[str, ...]:
        """Return the hosts to probe now, if that is due."""
        if (
            self._probed_at_ms is not None
            and now_ms - self._probed_at_ms < PROBE_INTERVAL_MS
        ):
            return ()
        self._probed_at_ms = now_ms
        probed = self._rng.sample(others, min(PROBED_HOSTS, len(others)))
        self._probed = frozenset(probed)
        self._answered.clear()
        return tuple(probed)

    def record_answer(self, name: str, asked_at_ms: int) -> None:
        """Record the answer of a host to a probe."""
        if asked_at_ms != self._probed_at_ms or name not in self._probed:
            return
        self._answered.add(name)
        if len(self._answered) >= MIN_ANSWERED_SHARE * len(self._probed):
            self._reached_at_ms = asked_at_ms
        if len(self._answered) == len(self._probed):
            self._reached_all_at_ms = asked_at_ms

    def by_view(self, now_ms: int) -> Reach:
        """Return how much a host sees whose view of the store is fresh."""
        share = self._host_count / self.most_hosts(now_ms)
        if share >= MIN_MOST_SHARE:
            return Reach.MOST
        return Reach.SOME if share >= MIN_SOME_SHARE else Reach.LITTLE

    def by_probes(self, now_ms: int) -> Reach:
        """Return how much a host sees that the store does not tell."""
        if _is_valid(self._reached_all_at_ms, now_ms):
            return Reach.MOST
        if _is_valid(self._reached_at_ms, now_ms):
            return Reach.SOME
        return Reach.LITTLE


def _is_valid(at_ms: int | None, now_ms: int) -> bool:
    return at_ms is not None and now_ms - at_ms < VALID_MS
