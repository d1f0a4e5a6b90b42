"""Admission control of all services of a host.

Answers the load under which several services are short of room at once: each
has its own history and its own line.
"""

import collections
from collections.abc import Sequence
import logging
import random

from cardamomdeal.admission import room
from cardamomdeal.admission import turning_away
from cardamomdeal.admission import waiting
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import server_selection

# Looks at the room in the time after which hosts know of what others sent.
LOOKS_PER_REACTION = room.REACTION_MS / waiting.RELEASE_INTERVAL_MS
log = logging.getLogger(__name__)


class AdmissionControl:
    """Decides which requests run, wait or are refused; owned by one task."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._usage = waiting.Usage()
        self._histories: dict[str, room.ServiceHistory] = (
            collections.defaultdict(room.ServiceHistory)
        )
        self._queues: dict[str, waiting.WaitingQueue] = (
            collections.defaultdict(lambda: waiting.WaitingQueue(self._usage))
        )

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait at this host."""
        return self._usage.count

    def services_waited_for(self) -> tuple[str, ...]:
        """Return the services that requests wait for."""
        return tuple(name for name, queue in self._queues.items() if queue)

    def waiting_ids(self) -> tuple[int, ...]:
        """Return all requests that wait."""
        return tuple(
            admission_id
            for queue in self._queues.values()
            for admission_id in queue.admission_ids()
        )

    def record_arrival(self, service: str, priority: int, now_ms: int) -> None:
        """Count a request of a caller."""
        self._histories[service].record_arrival(priority, now_ms)

    def record_result(
        self, service: str, result: outcomes.AttemptResult
    ) -> None:
        """Learn from the result of an attempt."""
        self._histories[service].record_result(result)

    def room_of(
        self,
        service: str,
        candidates: Sequence[server_selection.Candidate],
        now_ms: int,
    ) -> room.Room | None:
        """Return the room of a service, or None if too little is known."""
        return room.estimate(candidates, self._histories[service], now_ms)

    def feasible(
        self,
        service: str,
        priority: int,
        candidates: Sequence[server_selection.Candidate],
        now_ms: int,
    ) -> Sequence[server_selection.Candidate]:
        """Return a server that has room, at random by how much it has.

        Hosts that all prefer the emptiest servers of the same reports would
        fill these and leave the others idle.
        """
        history = self._histories[service]
        limit = turning_away.queued_per_slot(history.rank(priority, now_ms))
        openings = room.openings_of(candidates, history, limit, now_ms)
        if not any(openings):
            return candidates
        return self._rng.choices(candidates, openings)

    def decide(
        self,
        service: str,
        demand: waiting.Demand,
        state: room.Room | None,
        hosts: int,
        now_ms: int,
    ) -> turning_away.Decision:
        """Return what happens to a request."""
        queue = self._queues[service]
        if state is None:
            return turning_away.Run()
        decision = turning_away.decide(
            demand,
            state,
            queue,
            self._competition(service, demand, state, hosts, now_ms),
            now_ms,
            self._rng,
        )
        match decision:
            case turning_away.Run():
                queue.charge(demand)
        return decision

    def hold(
        self, service: str, demand: waiting.Demand, now_ms: int
    ) -> waiting.Demand | None:
        """Let a request wait; return the one that has to leave for it."""
        queue = self._queues[service]
        displaced = None
        if not queue.has_room_for(demand):
            last = queue.last(now_ms)
            if last is not None:
                queue.remove(last.demand.admission_id)
                displaced = last.demand
        queue.add(demand, now_ms)
        return displaced

    def remove(self, service: str, admission_id: int) -> waiting.Held | None:
        """Remove a request that waits no more."""
        return self._queues[service].remove(admission_id)

    def pop_expired(
        self, service: str, now_ms: int
    ) -> tuple[waiting.Held, ...]:
        """Remove and return the requests that cannot be served any more."""
        queue = self._queues[service]
        expired = queue.expired(now_ms)
        for held in expired:
            queue.remove(held.demand.admission_id)
        return expired

    def release(
        self,
        service: str,
        state: room.Room | None,
        hosts: int,
        now_ms: int,
        *,
        freed_slot: outcomes.Load | None = None,
    ) -> waiting.Held | None:
        """Remove and return the request whose turn has come, if any.

        `freed_slot` is the load in an answer to this host: the slot that it
        tells of is this host's to fill.
        """
        queue = self._queues[service]
        held = queue.first(now_ms)
        if held is None:
            return None
        competition = self._competition(
            service, held.demand, state, hosts, now_ms
        )
        limit = turning_away.queued_per_slot(competition.rank)
        if freed_slot is not None:
            in_line = freed_slot.running + freed_slot.waiting
            is_due = in_line < freed_slot.slots * (1 + limit)
        elif state is None:
            is_due = True
        else:
            is_due = waiting.is_released(
                state.chance(limit, competition.claims) / LOOKS_PER_REACTION,
                queue.ahead_of(held.demand),
                self._rng,
            )
        if not is_due:
            return None
        queue.release(held)
        return held

    def _competition(
        self,
        service: str,
        demand: waiting.Demand,
        state: room.Room | None,
        hosts: int,
        now_ms: int,
    ) -> turning_away.Competition:
        history = self._histories[service]
        arrivals_per_s = (
            history.arrivals_per_s(demand.priority, now_ms) * hosts
        )
        is_flooded = (
            state is not None and arrivals_per_s > state.capacity_per_s
        )
        line = self._queues[service].line_before(demand, now_ms)
        return turning_away.Competition(
            history.rank(demand.priority, now_ms),
            room.Claims(
                arrivals_per_s,
                line.at_all_hosts(arrivals_per_s, hosts, is_flooded),
            ),
            history.arrivals_per_s(demand.priority - 1, now_ms) * hosts,
            is_flooded,
        )
