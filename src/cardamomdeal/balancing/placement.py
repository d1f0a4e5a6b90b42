"""Chooses the backend server for a request."""

from collections.abc import Sequence
import dataclasses
import random

from cardamomdeal.balancing import outcomes
from cardamomdeal.fleet import model

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
    avoid_until_ms: int
    # Set while the path from this host, or the server's queue, is shut.
    closed_until_ms: int
    has_idle_connection: bool
    cold_until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hold the server chosen and what decided it."""

    candidate: Candidate
    eligible: int
    avoided: int


def choose(
    candidates: Sequence[Candidate],
    data_centre: str,
    capacity_floor: float,
    now_ms: int,
    randomness: random.Random,
) -> Choice | None:
    """Return a server for one request, or None when there is none."""
    if not candidates:
        return None
    open_now = [c for c in candidates if c.closed_until_ms <= now_ms]
    usable = open_now or list(candidates)
    eligible = _not_avoided(usable, capacity_floor, now_ms)
    sampled = _sample(eligible, data_centre, randomness)
    best = min(
        sampled, key=lambda candidate: _cost(candidate, data_centre, now_ms)
    )
    return Choice(best, len(eligible), len(usable) - len(eligible))


def _not_avoided(
    usable: list[Candidate], capacity_floor: float, now_ms: int
) -> list[Candidate]:
    """Return the servers to use, at least the floor's share of them.

    Servers that failed longest ago fill the floor, since they are the
    likeliest to work again. With every server failing nobody is avoided
    for long: the floor keeps most of them in use.
    """
    by_pause = sorted(usable, key=lambda c: c.avoid_until_ms)
    wanted = max(1, -(-len(by_pause) * capacity_floor // 1))
    return [
        candidate
        for place, candidate in enumerate(by_pause)
        if candidate.avoid_until_ms <= now_ms or place < wanted
    ]


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
