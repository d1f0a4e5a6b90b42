"""Estimates which backend servers refuse requests whatever their load."""

from collections import abc
import dataclasses
import math

from cardamomdeal.balancing import outcomes
from cardamomdeal.fleet import model

# Servers stop refusing within seconds, and those that go on are noticed
# again by the next request.
MEAN_EPISODE_MS = 7_000
# Odds that a server refuses requests, before anything is known of it.
PRIOR_ODDS = 0.01
# A server that sheds refuses about half of its requests; others refuse one in
# two hundred without a full queue, for instance while they start.
REFUSAL_LIKELIHOOD_RATIO = 100.0
SUCCESS_LIKELIHOOD_RATIO = 0.45
MAX_ODDS = 50.0
MIN_TRACKED_ODDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class _Estimate:
    odds: float
    updated_at_ms: int


def is_unexplained(result: outcomes.AttemptResult) -> bool:
    """Return whether a server refused a request although it had room."""
    match result:
        case outcomes.NotExecuted(load=outcomes.Load() as load):
            return load.running + load.waiting < load.slots
        case _:
            return False


class RefusalDetector:
    """Bayesian estimate from the refusals that all hosts observe.

    Answers the load under which most servers of a service shed a share of
    their requests: their reported loads are the lowest, so a choice by load
    alone prefers them to the few that run everything.
    """

    def __init__(self) -> None:
        self._estimates: dict[model.Incarnation, _Estimate] = {}

    def record_refusal(self, server: model.Incarnation, now_ms: int) -> None:
        """Raise the odds of a server that refused a request."""
        odds = max(PRIOR_ODDS, self._odds(server, now_ms))
        self._estimates[server] = _Estimate(
            min(MAX_ODDS, odds * REFUSAL_LIKELIHOOD_RATIO), now_ms
        )

    def record_success(self, server: model.Incarnation, now_ms: int) -> None:
        """Lower the odds of a server that ran a request of this host."""
        if server not in self._estimates:
            return
        odds = self._odds(server, now_ms) * SUCCESS_LIKELIHOOD_RATIO
        if odds < MIN_TRACKED_ODDS:
            del self._estimates[server]
        else:
            self._estimates[server] = _Estimate(odds, now_ms)

    def probability(self, server: model.Incarnation, now_ms: int) -> float:
        """Return the probability that a server sheds requests."""
        estimate = self._estimates.get(server)
        if estimate is None:
            return 0.0
        decay = math.exp(-(now_ms - estimate.updated_at_ms) / MEAN_EPISODE_MS)
        return decay * estimate.odds / (1 + estimate.odds)

    def retain(self, servers: abc.Set[model.Incarnation]) -> None:
        """Discard the state of all servers but the given ones."""
        for server in self._estimates.keys() - servers:
            del self._estimates[server]

    def _odds(self, server: model.Incarnation, now_ms: int) -> float:
        probability = self.probability(server, now_ms)
        return probability / (1 - probability)
