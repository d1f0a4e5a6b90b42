"""Chooses the backend server for a request."""

from collections.abc import Sequence
import dataclasses
import random
import statistics

from cardamomdeal.balancing import avoidance
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import second_chance
from cardamomdeal.fleet import model

# A load report says little about a server after this long.
LOAD_VALID_MS = 1_500
# Servers compared for one request: enough to miss the busy ones, few
# enough that hosts with the same view do not all take the same server.
SAMPLED_SERVERS = 3
# Costs are chances that the caller does not get its answer in time. The
# small ones only decide between servers that are alike otherwise.
OTHER_DATA_CENTRE_COST = 0.1
NEW_CONNECTION_COST = 0.04
BUSY_SLOT_COST = 0.2
# A server that started a moment ago works at about half its speed.
COLD_COST = 0.1
# A server in a bad episode fails about this share of its work.
BAD_SERVER_COST = 0.9
# A server that is this unlikely to be bad is used like any other.
TRUSTED_PROBABILITY = 0.1
# Least doubtful servers compared with the trusted ones.
SAMPLED_DOUBTFUL = 3
# Hosts see the same reports; without some chance in their choices all of
# them would send their next requests to the same server.
CHANCE_COST = 0.1
# Work waiting for this many rounds of a server's slots comes too late.
LATE_ROUNDS = 2.0
LATE_COST = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a server as this host sees it."""

    server: model.BackendServer
    in_flight: int
    load: outcomes.Load | None
    load_at_ms: int
    # Requests sent from here since the load was reported.
    sent_since_load: int
    # What speaks against the server, if anything does.
    suspicion: avoidance.Suspicion | None
    # Set while the path from this host, or the server's queue, is shut.
    closed_until_ms: int
    has_idle_connection: bool
    cold_until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hold the server chosen and what decided it."""

    candidate: Candidate
    eligible: int
    servers: int
    # Chosen although it is avoided, to see whether it works again.
    second_chance: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """Hold what bears on a choice besides the servers."""

    data_centre: str
    service: second_chance.Service
    repeatable: bool
    now_ms: int


def choose(
    candidates: Sequence[Candidate],
    situation: Situation,
    randomness: random.Random,
) -> Choice | None:
    """Return a server for one request, or None when there is none."""
    if not candidates:
        return None
    now_ms = situation.now_ms
    reachable = [c for c in candidates if c.closed_until_ms <= now_ms]
    usable = reachable or list(candidates)
    eligible, avoided = _divide(usable, now_ms)
    chances = second_chance.find(
        [c.suspicion for c in avoided if c.suspicion],
        len(eligible),
        situation.service,
        situation.repeatable,
        now_ms,
    )
    tries_again = randomness.random() < chances.share
    if tries_again:
        best = avoided[randomness.choice(chances.places)]
    else:
        # Doubtful servers stand in when the others are overloaded.
        sampled = _sample(eligible, situation.data_centre, randomness)
        sampled += avoided[:SAMPLED_DOUBTFUL]
        usual = _usual_rounds(eligible, now_ms)
        best = min(
            sampled,
            key=lambda c: (
                _cost(c, situation.data_centre, usual, now_ms)
                + randomness.uniform(0, CHANCE_COST)
            ),
        )
    return Choice(best, len(eligible), len(usable), tries_again)


def _divide(
    usable: list[Candidate], now_ms: int
) -> tuple[list[Candidate], list[Candidate]]:
    """Part the trusted servers from the doubtful, the least so first."""
    doubts = [_probability_bad(c, now_ms) for c in usable]
    trusted = [
        c
        for c, doubt in zip(usable, doubts, strict=True)
        if doubt < TRUSTED_PROBABILITY
    ]
    doubtful = [
        (doubt, place)
        for place, doubt in enumerate(doubts)
        if doubt >= TRUSTED_PROBABILITY
    ]
    return trusted, [usable[place] for _, place in sorted(doubtful)]


def _probability_bad(candidate: Candidate, now_ms: int) -> float:
    if candidate.suspicion is None:
        return 0.0
    return candidate.suspicion.probability(now_ms)


def _sample(
    eligible: list[Candidate], data_centre: str, randomness: random.Random
) -> list[Candidate]:
    near = [c for c in eligible if c.server.data_centre == data_centre]
    far = [c for c in eligible if c.server.data_centre != data_centre]
    sampled = _some(near, randomness) + _some(far, randomness)
    warm = [c for c in eligible if c.has_idle_connection]
    return sampled + _some(warm, randomness)


def _some(
    candidates: list[Candidate], randomness: random.Random
) -> list[Candidate]:
    return randomness.sample(candidates, min(SAMPLED_SERVERS, len(candidates)))


def _usual_rounds(eligible: list[Candidate], now_ms: int) -> float:
    """Return the mean load of the servers that told of theirs lately."""
    rounds = [
        (c.load.running + c.load.waiting) / c.server.slots
        for c in eligible
        if c.load and _is_fresh(c, now_ms)
    ]
    return statistics.fmean(rounds) if rounds else 0.0


def _is_fresh(candidate: Candidate, now_ms: int) -> bool:
    return now_ms - candidate.load_at_ms <= LOAD_VALID_MS


def _cost(
    candidate: Candidate, data_centre: str, usual_rounds: float, now_ms: int
) -> float:
    """Return the chance of losing the request, and smaller costs."""
    cost = BAD_SERVER_COST * _probability_bad(candidate, now_ms)
    cost += _load_cost(candidate, usual_rounds, now_ms)
    if candidate.server.data_centre != data_centre:
        cost += OTHER_DATA_CENTRE_COST
    if not candidate.has_idle_connection:
        cost += NEW_CONNECTION_COST
    if candidate.cold_until_ms > now_ms:
        cost += COLD_COST
    return cost


def _load_cost(
    candidate: Candidate, usual_rounds: float, now_ms: int
) -> float:
    """Return what waiting for a slot costs."""
    rounds = candidate.in_flight / candidate.server.slots
    trusted = _probability_bad(candidate, now_ms) < TRUSTED_PROBABILITY
    if candidate.load and trusted:
        # It told nothing lately, and is as busy as the others in use. One
        # that never told anything is new, and to be tried.
        rounds += usual_rounds
    if candidate.load and _is_fresh(candidate, now_ms):
        reported = candidate.load.running + candidate.load.waiting
        busy = max(candidate.in_flight, reported + candidate.sent_since_load)
        rounds = busy / candidate.server.slots
    if rounds < 1:
        return BUSY_SLOT_COST * rounds
    lateness = min(1.0, (rounds - 1) / LATE_ROUNDS)
    return BUSY_SLOT_COST * rounds + LATE_COST * lateness**2
