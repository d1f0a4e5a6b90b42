"""Decides whether a host sees most of the fleet, from a sample of it.

Answers a split: a host on the smaller side must not lend. While the store is
away, no view of it tells which side that is.
"""

from collections.abc import Sequence
import random

PROBE_INTERVAL_MS = 500
PROBED_HOSTS = 24
# More than half, so that a sample of the smaller side rarely passes.
MIN_ANSWERED_SHARE = 0.7
# An answer tells of the fleet for this time.
VALID_MS = 1_200


class Reachability:
    """Probes of random hosts, and who has answered them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._probed_at_ms: int | None = None
        self._probed: frozenset[str] = frozenset()
        self._answered: set[str] = set()
        self._reached_at_ms: int | None = None

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
        self._probed = frozenset(
            self._rng.sample(others, min(PROBED_HOSTS, len(others)))
        )
        self._answered.clear()
        return tuple(self._probed)

    def record_answer(self, name: str, asked_at_ms: int) -> None:
        """Record the answer of a host to a probe."""
        if asked_at_ms != self._probed_at_ms or name not in self._probed:
            return
        self._answered.add(name)
        if len(self._answered) >= MIN_ANSWERED_SHARE * len(self._probed):
            self._reached_at_ms = asked_at_ms

    def sees_most(self, now_ms: int) -> bool:
        """Return whether most of the fleet has answered lately."""
        reached_at_ms = self._reached_at_ms
        return reached_at_ms is not None and now_ms - reached_at_ms < VALID_MS
