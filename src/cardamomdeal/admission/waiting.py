"""Requests that wait for a slot, in the order in which they are due.

Answers the load under which callers compete for too little room for a while:
urgent kinds and workspaces with little work must not wait behind a flood.
"""

import dataclasses
import random

# A waiting request holds one of the 64 threads for callers; half of them are
# left to requests that run.
MAX_WAITING_PER_HOST = 32
MAX_WAITING_PER_SERVICE = 16
MAX_WAITING_BYTES = 16 * 1024**2
# A host with waiting requests looks at the room again after this time.
RELEASE_INTERVAL_MS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of a service, and what it is worth waiting for."""

    admission_id: int
    request_id: str
    # The lowest is the most urgent.
    priority: int
    # None if it belongs to no workspace.
    workspace: str | None
    weight: float
    body_bytes: int
    # The answer is of full use until then.
    aim_at_ms: int
    # No attempt can succeed that starts later.
    last_start_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A waiting request and its place in line."""

    demand: Demand
    # Start tag of start-time fair queueing between the workspaces.
    start_tag: float
    since_ms: int


@dataclasses.dataclass(slots=True)
class Usage:
    """What the waiting requests of all services of a host hold."""

    count: int = 0
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Requests at this host that are as urgent as one, or more."""

    count: int
    longest_wait_ms: int

    def at_all_hosts(
        self, arrivals_per_s: float, hosts: int, is_flooded: bool
    ) -> float:
        """Return how many are likely to wait at all hosts.

        In a flood the other hosts hold about as many. Otherwise they hold no
        more than have arrived since the first one; a burst at this host alone
        is no long line.
        """
        if is_flooded:
            return self.count * hosts
        arrived = arrivals_per_s * self.longest_wait_ms / 1_000
        return min(self.count * hosts, self.count + arrived)


class WaitingQueue:
    """Bounded queue of the requests that wait for a service at this host."""

    def __init__(self, usage: Usage) -> None:
        self._usage = usage
        self._held: dict[int, Held] = {}
        self._finish_tags: dict[str | None, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._held)

    def admission_ids(self) -> tuple[int, ...]:
        """Return the requests that wait."""
        return tuple(self._held)

    def has_room_for(self, demand: Demand) -> bool:
        """Return whether the bounds allow one more request."""
        held_bytes = self._usage.body_bytes + demand.body_bytes
        return (
            len(self._held) < MAX_WAITING_PER_SERVICE
            and self._usage.count < MAX_WAITING_PER_HOST
            and held_bytes <= MAX_WAITING_BYTES
        )

    def ahead_of(self, demand: Demand) -> int:
        """Return how many waiting requests are as urgent or more."""
        return sum(
            held.demand.priority <= demand.priority
            for held in self._held.values()
        )

    def line_before(self, demand: Demand, now_ms: int) -> Line:
        """Return the waiting requests that are as urgent, or more."""
        waits_ms = [
            now_ms - held.since_ms
            for held in self._held.values()
            if held.demand.priority <= demand.priority
        ]
        return Line(len(waits_ms), max(waits_ms, default=0))

    def add(self, demand: Demand, now_ms: int) -> None:
        """Let a request wait."""
        self._held[demand.admission_id] = Held(
            demand, self._charge(demand), now_ms
        )
        self._usage.count += 1
        self._usage.body_bytes += demand.body_bytes

    def charge(self, demand: Demand) -> None:
        """Count a request that runs at once while others wait."""
        if self._held:
            self._charge(demand)

    def remove(self, admission_id: int) -> Held | None:
        """Remove a request that ended or is released."""
        held = self._held.pop(admission_id, None)
        if held is not None:
            self._usage.count -= 1
            self._usage.body_bytes -= held.demand.body_bytes
        if not self._held:
            # Nobody competes any more, so what was had before is forgotten.
            self._finish_tags.clear()
            self._virtual_time = 0.0
        return held

    def first(self, now_ms: int) -> Held | None:
        """Return the request that is due first."""
        return min(
            self._held.values(),
            key=lambda held: _order(held, now_ms),
            default=None,
        )

    def last(self, now_ms: int) -> Held | None:
        """Return the request that is due last."""
        return max(
            self._held.values(),
            key=lambda held: _order(held, now_ms),
            default=None,
        )

    def release(self, held: Held) -> None:
        """Remove a request whose turn has come."""
        self._virtual_time = max(self._virtual_time, held.start_tag)
        self.remove(held.demand.admission_id)

    def expired(self, now_ms: int) -> tuple[Held, ...]:
        """Return the requests that cannot be served any more."""
        return tuple(
            held
            for held in self._held.values()
            if held.demand.last_start_at_ms <= now_ms
        )

    def _charge(self, demand: Demand) -> float:
        start_tag = max(
            self._virtual_time, self._finish_tags.get(demand.workspace, 0.0)
        )
        self._finish_tags[demand.workspace] = start_tag + 1 / demand.weight
        return start_tag


def is_released(chance: float, waiting: int, rng: random.Random) -> bool:
    """Return whether this host's first request takes an opening now.

    All hosts look as often and see the same openings, so the chance of a
    request within the reaction time is spread over the looks in it.
    """
    return rng.random() < waiting * chance


def _order(held: Held, now_ms: int) -> tuple[int, bool, float, int]:
    demand = held.demand
    return (
        demand.priority,
        # An answer that is late anyway gives way to one that is not.
        demand.aim_at_ms <= now_ms,
        held.start_tag,
        demand.last_start_at_ms,
    )
