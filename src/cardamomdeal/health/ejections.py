"""Cases that the judge of one service has open on its servers."""

import dataclasses

from cardamomdeal.health import evidence
from cardamomdeal.health import outlier_detection
from cardamomdeal.health import permits
from cardamomdeal.protocol import messages

EJECTION_MS = 10_000
MAX_EJECTION_MS = 300_000
ROUNDS_FORGOTTEN_AFTER_MS = 600_000
SLOW_START_MS = 20_000
SLOW_START_WEIGHT = 0.1
SUSPECT_WEIGHT = 0.05
RECORD_READ_MS = 30_000
ASK_AGAIN_MS = 1_000
# Clocks of hosts run at rates that differ by less than this.
VALIDITY_MARGIN = 1.25


@dataclasses.dataclass(frozen=True, slots=True)
class Suspected:
    """Hold a server that looks bad and has no permit to be ejected."""

    verdict: outlier_detection.FaultyServer


@dataclasses.dataclass(frozen=True, slots=True)
class Ejected:
    """Hold a server that is ejected under a permit."""

    until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Releasing:
    """Hold a server whose ejection may still be in someone's view."""

    since_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Returning:
    """Hold a server that is given more work step by step."""

    since_ms: int


Case = Suspected | Ejected | Releasing | Returning


@dataclasses.dataclass(frozen=True, slots=True)
class AskPermit:
    """Ask the store for a permit."""

    server: str
    capacity: permits.Capacity


@dataclasses.dataclass(frozen=True, slots=True)
class DropPermits:
    """Remove permits from the store that nobody relies on."""

    permits: frozenset[permits.Permit]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadPermits:
    """Read the permits of the service from the store."""


Action = AskPermit | DropPermits | ReadPermits


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """Hold what the judge's host knows at one moment."""

    now_ms: int
    capacity: permits.Capacity
    judging: bool
    primary: bool
    # The latest life of each agent that is known, and the agents whose
    # hosts the platform no longer lists.
    incarnations: dict[str, messages.Incarnation]
    removed_agents: frozenset[str]

    def is_gone(self, holder: messages.Incarnation) -> bool:
        """Return whether it is proven that a process has ended."""
        latest = self.incarnations.get(holder.name)
        replaced = latest is not None and latest > holder
        return replaced or holder.name in self.removed_agents


@dataclasses.dataclass(slots=True)
class _Round:
    number: int
    ended_ms: int


class ServiceCases:
    """Decide who is ejected, under permits, and who returns when."""

    def __init__(self, holder: messages.Incarnation, validity_ms: int) -> None:
        self._holder = holder
        self._wait_ms = int(validity_ms * VALIDITY_MARGIN)
        self._window = evidence.EvidenceWindow()
        self._cases: dict[str, Case] = {}
        self._rounds: dict[str, _Round] = {}
        self._record = permits.PermitRecord()
        self._gone_since_ms: dict[permits.Permit, int] = {}
        self._read_at_ms: int | None = None
        self._asked_at_ms: dict[str, int] = {}

    def add_report(self, report: messages.EvidenceReport, now_ms: int) -> None:
        """Take in evidence."""
        self._window.add(report, now_ms)

    def case(self, server: str) -> Case | None:
        """Return the open case on a server."""
        return self._cases.get(server)

    def ejected(self) -> tuple[str, ...]:
        """Return the servers that are ejected."""
        return tuple(
            server
            for server, case in self._cases.items()
            if isinstance(case, Ejected)
        )

    def weights(self, now_ms: int) -> dict[str, float]:
        """Return the weights of servers that get less work."""
        weights: dict[str, float] = {}
        for server, case in self._cases.items():
            match case:
                case Suspected():
                    weights[server] = SUSPECT_WEIGHT
                case Releasing(since_ms) | Returning(since_ms):
                    weights[server] = _slow_start(now_ms - since_ms)
                case Ejected():
                    pass
        return weights

    def step(self, situation: Situation) -> list[Action]:
        """Move the cases on and return what the store is asked for."""
        now_ms = situation.now_ms
        self._window.expire(now_ms)
        if situation.primary:
            self._judge()
        self._move(situation)
        self._return_below_floor(situation)
        return [
            *self._drops(situation),
            *self._asks(situation),
            *self._reads(situation),
        ]

    def permits_seen(self, record: permits.PermitRecord, now_ms: int) -> None:
        """Compare the cases with the permits in the store."""
        self._record = record
        self._read_at_ms = now_ms
        own = record.held_by(self._holder)
        for server in own:
            match self._cases.get(server):
                case Suspected():
                    self._eject(server, now_ms)
                case Ejected() | Releasing():
                    pass
                case Returning() | None:
                    # A write whose answer was lost took effect after the
                    # server looked well again.
                    self._cases[server] = Releasing(now_ms)
        for server, case in list(self._cases.items()):
            if isinstance(case, Releasing) and server not in own:
                self._cases[server] = Returning(case.since_ms)

    def _judge(self) -> None:
        verdicts = outlier_detection.detect_outliers(self._window)
        for server, verdict in verdicts.items():
            match verdict, self._cases.get(server):
                case outlier_detection.FaultyServer() as bad, (
                    None | Suspected() | Returning()
                ):
                    self._cases[server] = Suspected(bad)
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

    def _move(self, situation: Situation) -> None:
        now_ms = situation.now_ms
        for server, case in list(self._cases.items()):
            match case:
                case Ejected(until_ms):
                    if now_ms >= until_ms or not situation.judging:
                        self._release(server, now_ms)
                case Returning(since_ms):
                    if now_ms - since_ms >= SLOW_START_MS:
                        del self._cases[server]
                case Suspected() if not situation.primary:
                    del self._cases[server]
                case Suspected() if server not in situation.capacity.slots:
                    del self._cases[server]
                case _:
                    pass

    def _return_below_floor(self, situation: Situation) -> None:
        """Return ejected servers when others became unavailable."""
        kept = permits.within_floor(self.ejected(), situation.capacity)
        for server in self.ejected():
            if server not in kept:
                self._release(server, situation.now_ms)

    def _eject(self, server: str, now_ms: int) -> None:
        rounds = self._rounds.get(server)
        number = 0
        if rounds and now_ms - rounds.ended_ms < ROUNDS_FORGOTTEN_AFTER_MS:
            number = rounds.number + 1
        lasts_ms = min(MAX_EJECTION_MS, EJECTION_MS * 2**number)
        self._rounds[server] = _Round(number, now_ms + lasts_ms)
        self._cases[server] = Ejected(now_ms + lasts_ms)

    def _release(self, server: str, now_ms: int) -> None:
        self._cases[server] = Releasing(now_ms)
        # What it did before it was ejected says nothing of it now.
        self._window.discard_server(server)

    def _asks(self, situation: Situation) -> list[Action]:
        asks: list[Action] = []
        for server, case in self._cases.items():
            asked_at_ms = self._asked_at_ms.get(server, -ASK_AGAIN_MS)
            if (
                isinstance(case, Suspected)
                and situation.now_ms - asked_at_ms >= ASK_AGAIN_MS
            ):
                self._asked_at_ms[server] = situation.now_ms
                asks.append(AskPermit(server, situation.capacity))
        return asks

    def _drops(self, situation: Situation) -> list[Action]:
        now_ms = situation.now_ms
        expired = {
            permits.Permit(server, self._holder)
            for server, case in self._cases.items()
            if isinstance(case, Releasing)
            and now_ms - case.since_ms >= self._wait_ms
        }
        expired |= self._reclaimable(situation)
        return [DropPermits(frozenset(expired))] if expired else []

    def _reclaimable(self, situation: Situation) -> set[permits.Permit]:
        """Return permits whose holder and every view of them are gone."""
        now_ms = situation.now_ms
        gone = {
            permit
            for permit in self._record.permits
            if situation.is_gone(permit.holder)
        }
        self._gone_since_ms = {
            permit: self._gone_since_ms.get(permit, now_ms) for permit in gone
        }
        return {
            permit
            for permit, since_ms in self._gone_since_ms.items()
            if now_ms - since_ms >= self._wait_ms
        }

    def _reads(self, situation: Situation) -> list[Action]:
        due = (
            self._read_at_ms is None
            or situation.now_ms - self._read_at_ms >= RECORD_READ_MS
        )
        if not (due and situation.primary):
            return []
        self._read_at_ms = situation.now_ms
        return [ReadPermits()]


def _slow_start(elapsed_ms: int) -> float:
    share = min(1.0, elapsed_ms / SLOW_START_MS)
    return SLOW_START_WEIGHT + (1 - SLOW_START_WEIGHT) * share
