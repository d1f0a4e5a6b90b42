"""Chooses the backend server for a request."""

from collections.abc import Sequence
import dataclasses
import random

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
OTHER_DATA_CENTRE_COST = 0.04
NEW_CONNECTION_COST = 0.01
BUSY_SLOT_COST = 0.05
# A server that started a moment ago works at about half its speed.
COLD_COST = 0.1
# Of servers that failed once, and again, so many fail the next request;
# the longer ago, the fewer.
FAILED_ONCE_COST = 0.4
FAILED_AGAIN_COST = 0.9
FAILED_LONG_AGO_COST = 0.3
LONG_AGO_MS = 9_000
# Work waiting for this many rounds of a server's slots comes too late.
LATE_ROUNDS = 3.0
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
        # Avoided servers stand in when the others are overloaded.
        sampled = _sample(eligible, situation.data_centre, randomness)
        sampled += avoided[:SAMPLED_SERVERS]
        best = min(
            sampled, key=lambda c: _cost(c, situation.data_centre, now_ms)
        )
    return Choice(best, len(eligible), len(usable), tries_again)


def _divide(
    usable: list[Candidate], now_ms: int
) -> tuple[list[Candidate], list[Candidate]]:
    """Part the servers to use from those to avoid.

    Those that failed longest ago come first among the avoided, since
    they are the likeliest to work again.
    """
    eligible = [c for c in usable if _may_use(c, now_ms)]
    avoided = [c for c in usable if not _may_use(c, now_ms)]
    return eligible, sorted(avoided, key=_failed_at_ms)


def _failed_at_ms(candidate: Candidate) -> int:
    return candidate.suspicion.failed_at_ms if candidate.suspicion else 0


def _may_use(candidate: Candidate, now_ms: int) -> bool:
    suspicion = candidate.suspicion
    return suspicion is None or suspicion.until_ms <= now_ms


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


def _cost(candidate: Candidate, data_centre: str, now_ms: int) -> float:
    """Return the chance of losing the request, and smaller costs."""
    cost = _failure_cost(candidate, now_ms) + _load_cost(candidate, now_ms)
    if candidate.server.data_centre != data_centre:
        cost += OTHER_DATA_CENTRE_COST
    if not candidate.has_idle_connection:
        cost += NEW_CONNECTION_COST
    if candidate.cold_until_ms > now_ms:
        cost += COLD_COST
    return cost


def _failure_cost(candidate: Candidate, now_ms: int) -> float:
    suspicion = candidate.suspicion
    if suspicion is None or suspicion.until_ms <= now_ms:
        return 0.0
    fresh = FAILED_ONCE_COST if suspicion.failures == 1 else FAILED_AGAIN_COST
    age = min(1.0, (now_ms - suspicion.failed_at_ms) / LONG_AGO_MS)
    return fresh + (FAILED_LONG_AGO_COST - fresh) * age


def _load_cost(candidate: Candidate, now_ms: int) -> float:
    """Return what waiting for a slot costs."""
    busy = candidate.in_flight
    if candidate.load and now_ms - candidate.load_at_ms <= LOAD_VALID_MS:
        reported = candidate.load.running + candidate.load.waiting
        busy = max(busy, reported + candidate.sent_since_load)
    rounds = busy / candidate.server.slots
    if rounds < 1:
        return BUSY_SLOT_COST * rounds
    lateness = min(1.0, (rounds - 1) / LATE_ROUNDS)
    return BUSY_SLOT_COST * rounds + LATE_COST * lateness**2
