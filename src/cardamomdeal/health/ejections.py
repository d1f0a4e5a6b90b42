"""Ejection and reinstatement of the servers of one service by a judge."""

import dataclasses

from cardamomdeal.health import evidence
from cardamomdeal.health import outlier_detection
from cardamomdeal.health import permits
from cardamomdeal.protocol import messages

# Doubled for each further ejection within BACKOFF_RESET_MS of the last one.
BASE_EJECTION_MS = 10_000
MAX_EJECTION_MS = 300_000
BACKOFF_RESET_MS = 600_000
SLOW_START_MS = 20_000
SLOW_START_MIN_WEIGHT = 0.1
SUSPECT_WEIGHT = 0.05
PERMIT_READ_INTERVAL_MS = 30_000
PERMIT_RETRY_INTERVAL_MS = 1_000
# Upper bound of the ratio between the clock rates of two hosts.
CLOCK_RATE_MARGIN = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """Faulty server for which no ejection permit is held yet."""

    verdict: outlier_detection.FaultyServer


@dataclasses.dataclass(frozen=True, slots=True)
class Ejected:
    """Server ejected under a permit."""

    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitingRelease:
    """Reinstated server that other agents may still treat as ejected."""

    since_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SlowStart:
    """Reinstated server whose weight increases gradually."""

    since_ms: int


ServerCase = Suspected | Ejected | AwaitingRelease | SlowStart


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPermit:
    """Action that requests a permit for a server from the store."""

    server: str
    capacity: permits.Capacity


@dataclasses.dataclass(frozen=True, slots=True)
class RemovePermits:
    """Action that removes permits from the store that no agent relies on."""

    permits: frozenset[permits.Permit]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPermits:
    """Action that reads the permits of the service from the store."""


Action = RequestPermit | RemovePermits | ReadPermits


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """State of the fleet as known to the judge's host."""

    now_ms: int
    capacity: permits.Capacity
    is_judge: bool
    is_primary: bool
    # The latest known incarnation of each agent, and the agents whose hosts
    # the platform no longer lists.
    incarnations: dict[str, messages.Incarnation]
    removed_agents: frozenset[str]

    def has_ended(self, holder: messages.Incarnation) -> bool:
        """Return whether a process is certain to have ended."""
        latest = self.incarnations.get(holder.name)
        replaced = latest is not None and latest > holder
        return replaced or holder.name in self.removed_agents


@dataclasses.dataclass(slots=True)
class _Backoff:
    exponent: int
    ended_ms: int


class EjectionController:
    """Controller of the ejections of one service and their permits."""

    def __init__(self, holder: messages.Incarnation, validity_ms: int) -> None:
        self._holder = holder
        self._release_delay_ms = int(validity_ms * CLOCK_RATE_MARGIN)
        self._window = evidence.EvidenceWindow()
        self._cases: dict[str, ServerCase] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._record = permits.PermitRecord()
        self._ended_since_ms: dict[permits.Permit, int] = {}
        self._read_at_ms: int | None = None
        self._requested_at_ms: dict[str, int] = {}

    def add_report(self, report: messages.EvidenceReport, now_ms: int) -> None:
        """Add reported results of requests."""
        self._window.add(report, now_ms)

    def case(self, server: str) -> ServerCase | None:
        """Return the open case on a server."""
        return self._cases.get(server)

    def ejected(self) -> tuple[str, ...]:
        """Return the ejected servers."""
        return tuple(
            server
            for server, case in self._cases.items()
            if isinstance(case, Ejected)
        )

    def weights(self, now_ms: int) -> dict[str, float]:
        """Return the weights of servers with reduced load."""
        weights: dict[str, float] = {}
        for server, case in self._cases.items():
            match case:
                case Suspected():
                    weights[server] = SUSPECT_WEIGHT
                case AwaitingRelease(since_ms) | SlowStart(since_ms):
                    weights[server] = _slow_start_weight(now_ms - since_ms)
                case Ejected():
                    pass
        return weights

    def step(self, snapshot: FleetSnapshot) -> list[Action]:
        """Advance the cases and return the actions on the permit store."""
        now_ms = snapshot.now_ms
        self._window.expire(now_ms)
        if snapshot.is_primary:
            self._update_suspects()
        self._advance_cases(snapshot)
        self._reinstate_below_floor(snapshot)
        return [
            *self._permit_removals(snapshot),
            *self._permit_requests(snapshot),
            *self._permit_reads(snapshot),
        ]

    def reconcile_permits(
        self, record: permits.PermitRecord, now_ms: int
    ) -> None:
        """Reconcile the cases with the permits in the store."""
        self._record = record
        self._read_at_ms = now_ms
        held = record.held_by(self._holder)
        for server in held:
            match self._cases.get(server):
                case Suspected():
                    self._eject(server, now_ms)
                case Ejected() | AwaitingRelease():
                    pass
                case SlowStart() | None:
                    # The response to a write was lost, and the write took
                    # effect after the server had recovered.
                    self._cases[server] = AwaitingRelease(now_ms)
        for server, case in list(self._cases.items()):
            if isinstance(case, AwaitingRelease) and server not in held:
                self._cases[server] = SlowStart(case.since_ms)

    def _update_suspects(self) -> None:
        verdicts = outlier_detection.detect_outliers(self._window)
        for server, verdict in verdicts.items():
            match verdict, self._cases.get(server):
                case outlier_detection.FaultyServer() as faulty, (
                    None | Suspected() | SlowStart()
                ):
                    self._cases[server] = Suspected(faulty)
                case (
                    (
                        outlier_detection.Healthy()
                        | outlier_detection.FaultyPath()
                    ),
                    Suspected(),
                ):
                    del self._cases[server]
                case _:
                    pass

    def _advance_cases(self, snapshot: FleetSnapshot) -> None:
        now_ms = snapshot.now_ms
        for server, case in list(self._cases.items()):
            match case:
                case Ejected(until_ms):
                    if now_ms >= until_ms or not snapshot.is_judge:
                        self._reinstate(server, now_ms)
                case SlowStart(since_ms):
                    if now_ms - since_ms >= SLOW_START_MS:
                        del self._cases[server]
                case Suspected() if not snapshot.is_primary:
                    del self._cases[server]
                case Suspected() if server not in snapshot.capacity.slots:
                    del self._cases[server]
                case _:
                    pass

    def _reinstate_below_floor(self, snapshot: FleetSnapshot) -> None:
        """Reinstate servers if unavailable ones leave too few slots."""
        allowed = permits.within_capacity_floor(
            self.ejected(), snapshot.capacity
        )
        for server in self.ejected():
            if server not in allowed:
                self._reinstate(server, snapshot.now_ms)

    def _eject(self, server: str, now_ms: int) -> None:
        previous = self._backoffs.get(server)
        exponent = 0
        if previous and now_ms - previous.ended_ms < BACKOFF_RESET_MS:
            exponent = previous.exponent + 1
        duration_ms = min(MAX_EJECTION_MS, BASE_EJECTION_MS * 2**exponent)
        self._backoffs[server] = _Backoff(exponent, now_ms + duration_ms)
        self._cases[server] = Ejected(now_ms + duration_ms)

    def _reinstate(self, server: str, now_ms: int) -> None:
        self._cases[server] = AwaitingRelease(now_ms)
        # Results from before the ejection do not show the present state.
        self._window.discard_server(server)

    def _permit_requests(self, snapshot: FleetSnapshot) -> list[Action]:
        requests: list[Action] = []
        for server, case in self._cases.items():
            requested_at_ms = self._requested_at_ms.get(
                server, -PERMIT_RETRY_INTERVAL_MS
            )
            if (
                isinstance(case, Suspected)
                and snapshot.now_ms - requested_at_ms
                >= PERMIT_RETRY_INTERVAL_MS
            ):
                self._requested_at_ms[server] = snapshot.now_ms
                requests.append(RequestPermit(server, snapshot.capacity))
        return requests

    def _permit_removals(self, snapshot: FleetSnapshot) -> list[Action]:
        now_ms = snapshot.now_ms
        expired = {
            permits.Permit(server, self._holder)
            for server, case in self._cases.items()
            if isinstance(case, AwaitingRelease)
            and now_ms - case.since_ms >= self._release_delay_ms
        }
        expired |= self._orphaned_permits(snapshot)
        return [RemovePermits(frozenset(expired))] if expired else []

    def _orphaned_permits(
        self, snapshot: FleetSnapshot
    ) -> set[permits.Permit]:
        """Return permits whose holder ended and whose reports expired."""
        now_ms = snapshot.now_ms
        ended = {
            permit
            for permit in self._record.permits
            if snapshot.has_ended(permit.holder)
        }
        self._ended_since_ms = {
            permit: self._ended_since_ms.get(permit, now_ms)
            for permit in ended
        }
        return {
            permit
            for permit, since_ms in self._ended_since_ms.items()
            if now_ms - since_ms >= self._release_delay_ms
        }

    def _permit_reads(self, snapshot: FleetSnapshot) -> list[Action]:
        due = (
            self._read_at_ms is None
            or snapshot.now_ms - self._read_at_ms >= PERMIT_READ_INTERVAL_MS
        )
        if not (due and snapshot.is_primary):
            return []
        self._read_at_ms = snapshot.now_ms
        return [ReadPermits()]


def _slow_start_weight(elapsed_ms: int) -> float:
    progress = min(1.0, elapsed_ms / SLOW_START_MS)
    return SLOW_START_MIN_WEIGHT + (1 - SLOW_START_MIN_WEIGHT) * progress
