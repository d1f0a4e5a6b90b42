"""Estimates what the servers of a service can take now.

Answers the load under which hundreds of hosts send to a few servers whose
queues each of them knows only from reports.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import statistics

from cardamomdeal.balancing import failure_detector
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import server_selection
from cardamomdeal.balancing import server_views

# Time until the hosts know what the others have sent to a server.
REACTION_MS = 300
# Time over which requests are counted and work is measured.
WINDOW_MS = 5_000
# With fewer responses it is not known how long a request runs.
MIN_WORK_SAMPLES = 2
MAX_WORK_SAMPLES = 64
# With fewer requests for each slot, selection finds a server with a free slot.
SHORT_UTILIZATION = 1.0
# The same, as the share of the servers that lately had no free slot.
SHORT_SHARE = 0.25
# Requests in line for each slot at which a server's queue is taken as full:
# from there on servers reject requests and reset new connections.
FULL_QUEUE_PER_SLOT = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRoom:
    """Slots of a server and the requests that run or wait there."""

    slots: int
    busy: float

    def openings(self, queued_per_slot: float) -> float:
        """Return how many more requests fit at this length of the queue."""
        return max(0.0, self.slots * (1 + queued_per_slot) - self.busy)


@dataclasses.dataclass(frozen=True, slots=True)
class Claims:
    """Requests of all hosts that are as urgent as one, or more."""

    arrivals_per_s: float
    # At the moment.
    waiting: float


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What a service can take now, and when the next request would start."""

    servers: tuple[ServerRoom, ...]
    work_ms: float
    # Median age of the reports that the estimate rests on.
    age_ms: float
    # Expected start of the next request, and its spread.
    start_ms: float
    spread_ms: float

    @property
    def capacity_per_s(self) -> float:
        """Return the requests that the servers can run each second."""
        slots = sum(server.slots for server in self.servers)
        return slots * 1_000 / self.work_ms

    def openings(self, queued_per_slot: float) -> float:
        """Return how many more requests fit at this length of the queues."""
        return sum(server.openings(queued_per_slot) for server in self.servers)

    def chance(self, queued_per_slot: float, claims: Claims) -> float:
        """Return the part of the requests that fits, of those of all hosts.

        Every host sees the same openings until it learns what the others
        have sent, so each may take its part of them only.
        """
        count = claims.arrivals_per_s * REACTION_MS / 1_000 + claims.waiting
        return min(1.0, self.openings(queued_per_slot) / max(1.0, count))


class ServiceHistory:
    """Arrivals and measured work of a service at this host."""

    def __init__(self) -> None:
        self._arrivals: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        self._work_ms: collections.deque[float] = collections.deque(
            maxlen=MAX_WORK_SAMPLES
        )

    def record_arrival(self, priority: int, now_ms: int) -> None:
        """Count a request of a caller."""
        self._arrivals.append((now_ms, priority))
        self._expire(now_ms)

    def record_result(self, result: outcomes.AttemptResult) -> None:
        """Measure the work of a request, without its wait at the server.

        The line that it left is taken to be as long as the one it joined.
        """
        match result:
            case outcomes.Answered(
                status, latency_ms, outcomes.Load(_, waiting, slots)
            ) if status < outcomes.SERVER_ERROR_STATUS:
                self._work_ms.append(latency_ms / (1 + waiting / slots))

    def work_ms(self) -> float | None:
        """Return the mean work of a request, or None if it is not known."""
        if len(self._work_ms) < MIN_WORK_SAMPLES:
            return None
        return max(1.0, statistics.fmean(self._work_ms))

    def arrivals_per_s(self, priority: int, now_ms: int) -> float:
        """Return the rate of requests that are as urgent, or more."""
        self._expire(now_ms)
        count = sum(seen <= priority for _, seen in self._arrivals)
        return count * 1_000 / WINDOW_MS

    def _expire(self, now_ms: int) -> None:
        while self._arrivals and self._arrivals[0][0] <= now_ms - WINDOW_MS:
            self._arrivals.popleft()

    def rank(self, priority: int, now_ms: int) -> int:
        """Return how many more urgent priorities were seen lately."""
        return len(
            {
                seen
                for at_ms, seen in self._arrivals
                if seen < priority and at_ms > now_ms - WINDOW_MS
            }
        )


def estimate(
    candidates: Sequence[server_selection.Candidate],
    history: ServiceHistory,
    now_ms: int,
) -> Room | None:
    """Return the room of a service that is short of it, else None.

    Also None if too little is known.
    """
    work_ms = history.work_ms()
    usable = [c for c in candidates if _is_usable(c, now_ms)]
    if work_ms is None or not usable:
        return None
    servers = tuple(_server_room(c, work_ms, now_ms) for c in usable)
    busy = sum(server.busy for server in servers)
    if busy < SHORT_UTILIZATION * sum(server.slots for server in servers):
        return None
    starts_ms = sorted(
        max(0.0, (server.busy + 1) / server.slots - 1) * work_ms
        for server in servers
    )
    return Room(
        servers,
        work_ms,
        _median_age_ms(usable, now_ms),
        # Selection takes the best of several servers.
        _quantile(starts_ms, 0.25),
        _quantile(starts_ms, 0.75) - _quantile(starts_ms, 0.25),
    )


def openings_of(
    candidates: Sequence[server_selection.Candidate],
    history: ServiceHistory,
    queued_per_slot: float,
    now_ms: int,
) -> list[float]:
    """Return how many more requests fit at each server if room is short."""
    work_ms = history.work_ms()
    if work_ms is None or estimate(candidates, history, now_ms) is None:
        return []
    return [
        _server_room(c, work_ms, now_ms).openings(queued_per_slot)
        if _is_usable(c, now_ms)
        else 0.0
        for c in candidates
    ]


def may_be_short(
    views: Sequence[server_views.ServerView], now_ms: int
) -> bool:
    """Return whether many servers have lately reported no free slot.

    Spares the estimate where it is not needed.
    """
    busy = sum(
        view.load is not None
        and view.load.is_full
        and now_ms - view.load_at_ms <= server_selection.LOAD_VALID_MS
        for view in views
    )
    return busy > len(views) * SHORT_SHARE


def is_full(candidate: server_selection.Candidate, now_ms: int) -> bool:
    """Return whether the queue of a server is known to be full."""
    return (
        server_selection.has_valid_load(candidate, now_ms)
        and candidate.load is not None
        and _busy(candidate, candidate.load)
        >= candidate.server.slots * (1 + FULL_QUEUE_PER_SLOT)
    )


def _is_usable(candidate: server_selection.Candidate, now_ms: int) -> bool:
    """Return whether a server runs requests.

    A server without a free slot resets connections, which looks like a
    failure, but it still runs requests.
    """
    if candidate.paused_until_ms > now_ms:
        return False
    suspicion = candidate.suspicion
    if suspicion is None:
        return True
    is_busy = (
        candidate.load is not None
        and candidate.load.is_full
        and server_selection.has_valid_load(candidate, now_ms)
    )
    probability = suspicion.probability(now_ms)
    return is_busy or probability < failure_detector.SUSPECT_PROBABILITY


def _server_room(
    candidate: server_selection.Candidate, work_ms: float, now_ms: int
) -> ServerRoom:
    slots = candidate.server.slots
    # A server with less is not reported to all hosts.
    least = max(candidate.in_flight, slots / 2)
    if candidate.load is None or not server_selection.has_valid_load(
        candidate, now_ms
    ):
        return ServerRoom(slots, least)
    # Each answer of a server without a free slot is reported to all hosts, so
    # silence for longer than between two of them says that it has ended some.
    silent_ms = now_ms - candidate.load_at_ms - work_ms / slots
    ended = max(0.0, silent_ms) * slots / work_ms
    return ServerRoom(
        slots, max(least, _busy(candidate, candidate.load) - ended)
    )


def _busy(candidate: server_selection.Candidate, load: outcomes.Load) -> float:
    reported = load.running + load.waiting + candidate.sent_since_load
    return max(candidate.in_flight, reported)


def _median_age_ms(
    candidates: Iterable[server_selection.Candidate], now_ms: int
) -> float:
    ages_ms = [
        now_ms - c.load_at_ms
        for c in candidates
        if server_selection.has_valid_load(c, now_ms)
    ]
    return statistics.median(ages_ms) if ages_ms else 0.0


def _quantile(ordered: Sequence[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
