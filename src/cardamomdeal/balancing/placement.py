"""Chooses the backend server for a request."""

from collections.abc import Sequence
import dataclasses
import math
import random

from cardamomdeal.balancing import avoidance
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import second_chance
from cardamomdeal.fleet import model

# Share of the reachable servers that are in full use, whatever failed:
# with fewer, those left would be overloaded.
LEAST_IN_USE = 0.2
# A load report says little about a server after this long.
LOAD_VALID_MS = 1_000
# Servers compared for one request: enough to miss the busy ones, few
# enough that hosts with the same view do not all take the same server.
SAMPLED_SERVERS = 3
# What using another data centre costs, in parts of a busy slot.
OTHER_DATA_CENTRE_COST = 0.5
# What opening a connection costs, in parts of a busy slot.
NEW_CONNECTION_COST = 0.2
# A server that started a moment ago works at about half its speed.
COLD_COST = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a server as this host sees it."""

    server: model.BackendServer
    in_flight: int
    load: outcomes.Load | None
    load_at_ms: int
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
        best = min(
            _sample(eligible, situation.data_centre, randomness),
            key=lambda c: _cost(c, situation.data_centre, now_ms),
        )
    return Choice(best, len(eligible), len(usable), tries_again)


def _divide(
    usable: list[Candidate], now_ms: int
) -> tuple[list[Candidate], list[Candidate]]:
    """Part the servers to use from those to avoid.

    Those that failed longest ago come first among the avoided, since
    they are the likeliest to work again, and make up for a shortage.
    """
    by_failure = sorted(usable, key=_failed_at_ms)
    least = math.ceil(len(by_failure) * LEAST_IN_USE)
    eligible = []
    avoided = []
    for candidate in by_failure:
        if _may_use(candidate, now_ms) or len(eligible) < least:
            eligible.append(candidate)
        else:
            avoided.append(candidate)
    return eligible, avoided


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
    """Return the busy slots that a request would find, and what it costs."""
    busy = candidate.in_flight
    if candidate.load and now_ms - candidate.load_at_ms <= LOAD_VALID_MS:
        reported = candidate.load.running + candidate.load.waiting
        busy = max(busy, reported)
    cost = busy / candidate.server.slots
    if candidate.server.data_centre != data_centre:
        cost += OTHER_DATA_CENTRE_COST
    if not candidate.has_idle_connection:
        cost += NEW_CONNECTION_COST
    if candidate.cold_until_ms > now_ms:
        cost += COLD_COST
    return cost
