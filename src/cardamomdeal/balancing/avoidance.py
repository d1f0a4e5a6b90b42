"""Estimates how likely each backend server is to fail what it is sent."""

from collections import abc
import dataclasses
import math

from cardamomdeal.balancing import outcomes
from cardamomdeal.fleet import model

# Mean length of the episodes in which a server fails most of its work.
EPISODE_MS = 10_000
# Odds that a server which worked a moment ago has turned bad since: such
# episodes begin every 20 s or so, and a busy server works 3 times a second.
ONSET_ODDS = 0.015
# How much likelier a bad server shows each symptom than a good one does.
# Good ones err on 1 of 80 requests; they break off or lose as many answers
# while a link is in trouble; and 1 request in 30 lasts longer than its
# time, so a missing answer says the least.
ERROR_LIKELIHOOD = 75.0
BROKEN_LIKELIHOOD = 40.0
SILENT_LIKELIHOOD = 15.0
# No server that is still there has another one at its address.
REPLACED_LIKELIHOOD = 1e6
# Bad servers still serve some requests.
SUCCESS_LIKELIHOOD = 0.12
# Beyond this, a server that works again would be avoided for too long.
MAX_ODDS = 200.0
# Below these odds a server counts as one that never failed.
CLEARED_ODDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Hold how likely a server is bad, and since when it is known."""

    odds: float
    noted_at_ms: int
    failures: int
    # How it failed last.
    symptom: outcomes.Symptom
    failed_at_ms: int

    def probability(self, now_ms: int) -> float:
        """Return how likely the server is still bad."""
        then = self.odds / (1 + self.odds)
        return then * math.exp(-(now_ms - self.noted_at_ms) / EPISODE_MS)


class Avoidance:
    """Weigh what all hosts saw of each server.

    Load it answers: servers that fail most of what they run for some
    seconds while their health checks pass. One host sees a server too
    rarely to judge it, so a failure anywhere in the fleet counts here;
    a second one in a row leaves little doubt, and time heals.
    """

    def __init__(self) -> None:
        self._suspicions: dict[model.Incarnation, Suspicion] = {}

    def note_failure(
        self, server: model.Incarnation, symptom: outcomes.Symptom, now_ms: int
    ) -> Suspicion:
        """Suspect a server that failed just now, here or elsewhere."""
        known = self._suspicions.get(server)
        odds = max(ONSET_ODDS, _odds(known, now_ms)) * _likelihood(symptom)
        noted = Suspicion(
            min(MAX_ODDS, odds),
            now_ms,
            known.failures + 1 if known else 1,
            symptom,
            now_ms,
        )
        self._suspicions[server] = noted
        return noted

    def note_success(
        self, server: model.Incarnation, started_ms: int, now_ms: int
    ) -> bool:
        """Trust a server more; return whether it was suspected.

        Work that began before the server failed says nothing of how it
        is now.
        """
        known = self._suspicions.get(server)
        if known is None or started_ms <= known.failed_at_ms:
            return False
        odds = _odds(known, now_ms) * SUCCESS_LIKELIHOOD
        if odds < CLEARED_ODDS:
            del self._suspicions[server]
        else:
            self._suspicions[server] = dataclasses.replace(
                known, odds=odds, noted_at_ms=now_ms
            )
        return True

    def suspicion(self, server: model.Incarnation) -> Suspicion | None:
        """Return what speaks against a server, if anything does."""
        return self._suspicions.get(server)

    def forget_except(self, servers: abc.Set[model.Incarnation]) -> None:
        """Drop what is known of servers that are gone."""
        for server in self._suspicions.keys() - servers:
            del self._suspicions[server]


def _odds(known: Suspicion | None, now_ms: int) -> float:
    if known is None:
        return 0.0
    probability = known.probability(now_ms)
    return probability / (1 - probability)


def _likelihood(symptom: outcomes.Symptom) -> float:
    match symptom:
        case outcomes.Symptom.ERROR:
            return ERROR_LIKELIHOOD
        case outcomes.Symptom.BROKEN:
            return BROKEN_LIKELIHOOD
        case outcomes.Symptom.SILENT:
            return SILENT_LIKELIHOOD
        case outcomes.Symptom.REPLACED:
            return REPLACED_LIKELIHOOD
