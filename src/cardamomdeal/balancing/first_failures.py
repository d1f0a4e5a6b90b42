"""Learns how often a server's first failure is the beginning of an episode.

Answers a load in which healthy servers return a few errors each: hosts that
took each error for the beginning of an episode turned from a quarter of the
servers or more, and the others had too much to do.
"""

import math

# With fewer failures that no other followed, a service is not known to have
# single ones.
MIN_SINGLE_FAILURES = 3.0
# Episodes that are assumed in addition to those that were seen.
ASSUMED_EPISODES = 1.0
# Times after which half of what was learned is left. Episodes come in bursts:
# what has been seen lately may outweigh a long calm.
LONG_HALF_LIFE_MS = 30_000
SHORT_HALF_LIFE_MS = 5_000
# In an episode most requests of a server fail, so the second failure comes
# within the time of so many requests.
FOLLOW_UP_REQUESTS = 4
MAX_FOLLOW_UP_MS = 2_000


def follow_up_ms(requests_per_s: float) -> float:
    """Return the time between two failures that makes them an episode."""
    if requests_per_s <= 0:
        return MAX_FOLLOW_UP_MS
    return min(MAX_FOLLOW_UP_MS, FOLLOW_UP_REQUESTS * 1_000 / requests_per_s)


class _Counts:
    """First failures and episodes, of which time takes its part."""

    def __init__(self, half_life_ms: int) -> None:
        self._half_life_ms = half_life_ms
        self._updated_at_ms = 0
        self.failures = 0.0
        self.episodes = 0.0

    @property
    def single_failures(self) -> float:
        """Return the first failures that no other followed."""
        return max(0.0, self.failures - self.episodes)

    def update(self, now_ms: int) -> None:
        """Forget a part of what is older."""
        passed_ms = now_ms - self._updated_at_ms
        self._updated_at_ms = now_ms
        share = math.pow(0.5, passed_ms / self._half_life_ms)
        self.failures *= share
        self.episodes *= share


class FirstFailures:
    """First failures of the servers of a service, and what followed them."""

    def __init__(self) -> None:
        self._long = _Counts(LONG_HALF_LIFE_MS)
        self._short = _Counts(SHORT_HALF_LIFE_MS)

    def record_failure(self, now_ms: int) -> None:
        """Count a failure of a server that was trusted."""
        for counts in (self._long, self._short):
            counts.update(now_ms)
            counts.failures += 1

    def record_episode(self, now_ms: int) -> None:
        """Count a second failure soon after the first one."""
        for counts in (self._long, self._short):
            counts.update(now_ms)
            counts.episodes += 1

    def odds(self, assumed_odds: float, now_ms: int) -> float:
        """Return the odds that a server is failing after its first error.

        They are at most those that are assumed, and those until the service
        is known to have single failures.
        """
        for counts in (self._long, self._short):
            counts.update(now_ms)
        if self._long.single_failures < MIN_SINGLE_FAILURES:
            return assumed_odds
        return min(
            assumed_odds,
            max(
                (self._long.episodes + ASSUMED_EPISODES)
                / self._long.single_failures,
                self._short.episodes / (self._short.single_failures + 1),
            ),
        )
