"""Estimates the probability that each backend server is failing."""

from collections import abc
import dataclasses
import math

from cardamomdeal.balancing import outcomes
from cardamomdeal.fleet import model

# Mean length of the episodes in which a server fails most of its requests.
MEAN_EPISODE_MS = 10_000
# Episodes begin about this long after one another at one server.
EPISODE_INTERVAL_MS = 20_000
# Odds that a server has begun to fail since its last success, if it is not
# known how long ago that was: a busy server completes 3 requests a second.
PRIOR_ODDS = 0.015
MIN_PRIOR_ODDS = 0.004
MAX_PRIOR_ODDS = 0.05
# How much likelier a failing server shows each symptom than a healthy one.
# Healthy servers return errors on 1 of 80 requests; while a link is faulty,
# as many of their responses are cut off or lost; and 1 request in 30 takes
# longer than its deadline, so single timeouts are hardly evidence.
ERROR_LIKELIHOOD_RATIO = 75.0
BROKEN_LIKELIHOOD_RATIO = 40.0
SILENT_LIKELIHOOD_RATIO = 3.0
# Another server at the address almost proves that the known one has stopped.
REPLACED_LIKELIHOOD_RATIO = 1e6
# Failing servers still complete some requests.
SUCCESS_LIKELIHOOD_RATIO = 0.12
# Higher odds would keep traffic from a recovered server for too long.
MAX_ODDS = 200.0
# A server that is failing with at least this probability is suspected.
SUSPECT_PROBABILITY = 0.1
# Below these odds a server is treated as if it had never failed.
MIN_TRACKED_ODDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Odds that a server is failing, as of its last observed result."""

    odds: float
    updated_at_ms: int
    failures: int
    last_symptom: outcomes.Symptom
    last_failure_at_ms: int

    def probability(self, now_ms: int) -> float:
        """Return the probability that the server is still failing."""
        initial = self.odds / (1 + self.odds)
        return initial * math.exp(
            -(now_ms - self.updated_at_ms) / MEAN_EPISODE_MS
        )


class FailureDetector:
    """Bayesian estimate of server health from the results of all hosts.

    Detects gray failures: servers that fail most of their requests for some
    seconds while their health checks pass. One host sends a server too few
    requests to judge it alone, so failures that other hosts report count as
    well. Two failures in a row make a failing server nearly certain; without
    new results the estimate decays.
    """

    def __init__(self) -> None:
        self._suspicions: dict[model.Incarnation, Suspicion] = {}

    def record_failure(
        self,
        server: model.Incarnation,
        symptom: outcomes.Symptom,
        now_ms: int,
        prior: float = PRIOR_ODDS,
        first_error_odds: float = math.inf,
    ) -> Suspicion:
        """Raise the odds of a server that failed here or at another host.

        After an error of a server without any other failure they are at most
        `first_error_odds`.
        """
        previous = self._suspicions.get(server)
        odds = max(prior, _odds(previous, now_ms)) * _likelihood_ratio(symptom)
        if previous is None and symptom is outcomes.Symptom.ERROR:
            odds = min(odds, first_error_odds)
        updated = Suspicion(
            min(MAX_ODDS, odds),
            now_ms,
            previous.failures + 1 if previous else 1,
            symptom,
            now_ms,
        )
        self._suspicions[server] = updated
        return updated

    def record_success(
        self, server: model.Incarnation, started_ms: int, now_ms: int
    ) -> bool:
        """Lower the odds of a server; return whether it was suspected.

        Requests that started before the server's last failure are ignored,
        since they say nothing about its present state.
        """
        previous = self._suspicions.get(server)
        if previous is None or started_ms <= previous.last_failure_at_ms:
            return False
        was_suspected = self.is_suspected(server, now_ms)
        odds = _odds(previous, now_ms) * SUCCESS_LIKELIHOOD_RATIO
        if odds < MIN_TRACKED_ODDS:
            del self._suspicions[server]
        else:
            self._suspicions[server] = dataclasses.replace(
                previous, odds=odds, updated_at_ms=now_ms
            )
        return was_suspected

    def suspicion(self, server: model.Incarnation) -> Suspicion | None:
        """Return the suspicion of a server, or None if there is none."""
        return self._suspicions.get(server)

    def is_suspected(self, server: model.Incarnation, now_ms: int) -> bool:
        """Return whether a server is suspected of failing."""
        suspicion = self._suspicions.get(server)
        return (
            suspicion is not None
            and suspicion.probability(now_ms) >= SUSPECT_PROBABILITY
        )

    def forget_single_failure(
        self, server: model.Incarnation, follow_up_ms: float, now_ms: int
    ) -> None:
        """Trust a server that went on without another failure.

        While it was not suspected, it got requests. Failures of any of them
        would have been told, successes are not.
        """
        suspicion = self._suspicions.get(server)
        if suspicion is None:
            return
        since_ms = round(now_ms - follow_up_ms)
        if (
            suspicion.last_failure_at_ms < since_ms
            and suspicion.probability(since_ms) < SUSPECT_PROBABILITY
        ):
            del self._suspicions[server]

    def retain(self, servers: abc.Set[model.Incarnation]) -> None:
        """Discard the state of all servers but the given ones."""
        for server in self._suspicions.keys() - servers:
            del self._suspicions[server]


def prior_odds(requests_per_s: float) -> float:
    """Return the odds that a server has begun to fail since its last success.

    A single error at a server that completes many requests is most likely
    one of the few that healthy servers return, too.
    """
    if requests_per_s <= 0:
        return MAX_PRIOR_ODDS
    odds = 1_000 / (requests_per_s * EPISODE_INTERVAL_MS)
    return min(MAX_PRIOR_ODDS, max(MIN_PRIOR_ODDS, odds))


def _odds(suspicion: Suspicion | None, now_ms: int) -> float:
    if suspicion is None:
        return 0.0
    probability = suspicion.probability(now_ms)
    return probability / (1 - probability)


def _likelihood_ratio(symptom: outcomes.Symptom) -> float:
    match symptom:
        case outcomes.Symptom.ERROR:
            return ERROR_LIKELIHOOD_RATIO
        case outcomes.Symptom.BROKEN:
            return BROKEN_LIKELIHOOD_RATIO
        case outcomes.Symptom.SILENT:
            return SILENT_LIKELIHOOD_RATIO
        case outcomes.Symptom.REPLACED:
            return REPLACED_LIKELIHOOD_RATIO
