"""Decides whether a request runs now, waits, or is refused at once.

Answers the load under which callers send two or three times what a service
can run: without it servers reject most of what reaches them, and the retry
budget and the servers' connections are spent on requests that fail.
"""

import dataclasses
import random

from cardamomdeal.admission import room
from cardamomdeal.admission import waiting

# Requests that may wait at a server for each slot. They keep slots busy until
# the next report, and cannot be put behind more urgent ones any more.
QUEUED_PER_SLOT = 1.25
# Each less urgent kind leaves this share of the line to those before it.
SHARE_OF_LESS_URGENT = 2 / 3
# Few arrivals at a host tell little of the rate of the more urgent kinds, so
# they are not taken to need more than the rest of this share of the capacity.
MIN_CAPACITY_SHARE = 0.25
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 5_000
# Callers that are refused together return at times spread by this share.
RETRY_AFTER_SPREAD = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The request is sent to a server now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The request waits for a slot."""

    expected_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The request is refused, as it would not start in time."""

    reason: str
    retry_after_ms: int


Decision = Run | Wait | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Competition:
    """Requests that a request competes with."""

    # How many more urgent kinds the service has.
    rank: int
    # Of requests that are as urgent, or more.
    claims: room.Claims
    # Rate of the more urgent requests at all hosts.
    urgent_per_s: float
    # Whether more arrive than the servers can run.
    is_flooded: bool = False


def decide(
    demand: waiting.Demand,
    state: room.Room,
    queue: waiting.WaitingQueue,
    competition: Competition,
    now_ms: int,
    rng: random.Random,
) -> Decision:
    """Return what happens to a request that has just arrived."""
    ahead = queue.ahead_of(demand)
    chance = state.chance(
        queued_per_slot(competition.rank), competition.claims
    )
    if not ahead and rng.random() < chance:
        return Run()
    expected_ms = expected_wait_ms(state, competition)
    retry_after_ms = _retry_after_ms(expected_ms, rng)
    latest_ms = demand.last_start_at_ms
    if competition.is_flooded:
        # Waiting for longer would make all answers late and serve no more.
        latest_ms = min(latest_ms, demand.aim_at_ms)
    if now_ms + expected_ms > latest_ms:
        return Refuse('no room in time', retry_after_ms)
    if queue.has_room_for(demand):
        return Wait(expected_ms)
    last = queue.last(now_ms)
    if last is not None and last.demand.priority > demand.priority:
        return Wait(expected_ms)
    return Refuse('too many requests wait', retry_after_ms)


def queued_per_slot(rank: int) -> float:
    """Return the length of the servers' queues up to which a kind runs."""
    return QUEUED_PER_SLOT * SHARE_OF_LESS_URGENT**rank


def expected_wait_ms(state: room.Room, competition: Competition) -> float:
    """Return when a server is expected to start a request."""
    left_per_s = max(
        state.capacity_per_s * MIN_CAPACITY_SHARE,
        state.capacity_per_s - competition.urgent_per_s,
    )
    newest = competition.claims.arrivals_per_s * room.REACTION_MS / 1_000
    line_ms = competition.claims.waiting * 1_000 / left_per_s
    return state.start_ms + line_ms + newest * 1_000 / state.capacity_per_s


def _retry_after_ms(expected_ms: float, rng: random.Random) -> int:
    spread = rng.uniform(1 - RETRY_AFTER_SPREAD, 1 + RETRY_AFTER_SPREAD)
    return round(
        min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, expected_ms * spread))
    )
