"""Puts admission control before the servers that this host knows."""

import collections
from collections.abc import Sequence
import dataclasses
import logging
import random

from cardamomdeal.admission import control
from cardamomdeal.admission import room
from cardamomdeal.admission import turning_away
from cardamomdeal.admission import waiting
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import server_selection
from cardamomdeal.entry import server_tracker
from cardamomdeal.fleet import model

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """What the estimate said of a request that ran while room was short."""

    start_ms: float
    work_ms: float


class AdmissionGate:
    """Asks admission control, logs and counts its decisions.

    Owned by the dispatcher, which carries the decisions out.
    """

    def __init__(
        self,
        servers: server_tracker.ServerTracker,
        counters: collections.Counter[str],
    ) -> None:
        self._servers = servers
        self._counters = counters
        self.control = control.AdmissionControl(random.Random())

    def decide(
        self, service: str, demand: waiting.Demand, now_ms: int
    ) -> tuple[turning_away.Decision, Expectation | None]:
        """Return what happens to a request, and what was expected of it."""
        state = self._room(service, now_ms)
        if state is None:
            return turning_away.Run(), None
        expected = Expectation(state.start_ms, state.work_ms)
        demand = _with_time_for_work(demand, expected)
        decision = self.control.decide(
            service, demand, state, self._servers.host_count, now_ms
        )
        match decision:
            case turning_away.Wait() | turning_away.Refuse():
                name = type(decision).__name__.lower()
                self._count(name, demand)
                log.info(
                    'no room for request now',
                    extra={
                        'request_id': demand.request_id,
                        'decision': str(decision),
                        'service': service,
                        'priority': demand.priority,
                        'start_ms': round(state.start_ms),
                        'spread_ms': round(state.spread_ms),
                        'work_ms': round(state.work_ms),
                        'report_age_ms': round(state.age_ms),
                        'waiting_here': self.control.waiting_count,
                    },
                )
        return decision, expected

    def hold(
        self,
        service: str,
        demand: waiting.Demand,
        expected: Expectation | None,
        now_ms: int,
    ) -> waiting.Demand | None:
        """Let a request wait; return the one that has to leave for it."""
        return self.control.hold(
            service, _with_time_for_work(demand, expected), now_ms
        )

    def release(
        self,
        service: str,
        now_ms: int,
        freed_slot: outcomes.Load | None = None,
    ) -> waiting.Held | None:
        """Remove and return the request whose turn has come, if any."""
        state = None if freed_slot else self._room(service, now_ms)
        held = self.control.release(
            service,
            state,
            self._servers.host_count,
            now_ms,
            freed_slot=freed_slot,
        )
        if held is not None:
            self._count('released', held.demand)
            self._count('waited_ms', held.demand, now_ms - held.since_ms)
            log.info(
                'waiting request released',
                extra={
                    'request_id': held.demand.request_id,
                    'service': service,
                    'waited_ms': now_ms - held.since_ms,
                    'start_ms': state and round(state.start_ms),
                    'report_age_ms': state and round(state.age_ms),
                    'freed_slot': freed_slot
                    and dataclasses.astuple(freed_slot),
                },
            )
        return held

    def feasible(
        self,
        service: str,
        priority: int,
        kind: model.WorkKind,
        candidates: Sequence[server_selection.Candidate],
        now_ms: int,
    ) -> Sequence[server_selection.Candidate]:
        """Return the servers that a request may be sent to."""
        candidates = _without_full_servers(candidates, kind, now_ms)
        if not room.may_be_short(self._servers.views_of(service), now_ms):
            return candidates
        return self.control.feasible(service, priority, candidates, now_ms)

    def record_result(
        self,
        service: str,
        expected: Expectation | None,
        result: outcomes.AttemptResult,
    ) -> None:
        """Learn from a result, and compare it with what was expected."""
        self.control.record_result(service, result)
        match (expected, result):
            case (
                Expectation(start_ms, work_ms),
                outcomes.Answered(_, latency_ms),
            ):
                measured_ms = max(0, round(latency_ms - work_ms))
                self._counters['admission.expected_start_ms'] += round(
                    start_ms
                )
                self._counters['admission.measured_start_ms'] += measured_ms
                self._counters['admission.measured'] += 1

    def _room(self, service: str, now_ms: int) -> room.Room | None:
        """Return the room of a service that is short of it, else None."""
        views = self._servers.views_of(service)
        if not room.may_be_short(views, now_ms):
            return None
        return self.control.room_of(
            service,
            [self._servers.candidate(view, 0, now_ms) for view in views],
            now_ms,
        )

    def _count(
        self, event: str, demand: waiting.Demand, amount: int = 1
    ) -> None:
        name = f'admission.{event}.priority_{demand.priority}'
        self._counters[name] += amount


def _with_time_for_work(
    demand: waiting.Demand, expected: Expectation | None
) -> waiting.Demand:
    """Return a demand that has to start early enough for its work."""
    work_ms = round(expected.work_ms) if expected else 0
    return dataclasses.replace(
        demand, last_start_at_ms=demand.last_start_at_ms - work_ms
    )


def _without_full_servers(
    candidates: Sequence[server_selection.Candidate],
    kind: model.WorkKind,
    now_ms: int,
) -> Sequence[server_selection.Candidate]:
    """Leave out the servers that would reset a new connection.

    A request that must not run twice is lost by the reset, although no server
    has seen it.
    """
    match kind:
        case model.Idempotent():
            return candidates
        case model.NonIdempotent() | model.Upload():
            return [
                candidate
                for candidate in candidates
                if candidate.has_idle_connection
                or not room.is_full(candidate, now_ms)
            ]
