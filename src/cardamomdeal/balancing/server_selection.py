"""Selects the backend server for a request."""

from collections.abc import Sequence
import dataclasses
import random
import statistics

from cardamomdeal.balancing import failure_detector
from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import probing
from cardamomdeal.fleet import model

# Load reports older than this are ignored.
LOAD_VALID_MS = 1_500
# Servers compared for one request: enough to avoid the busy ones, few enough
# that hosts with the same view do not all select the same server.
SAMPLED_SERVERS = 3
# Costs are probabilities that the caller gets no response in time. The small
# ones only decide between servers that are otherwise equal.
OTHER_DATA_CENTRE_COST = 0.1
NEW_CONNECTION_COST = 0.04
BUSY_SLOT_COST = 0.2
# A server that has just started runs at about half its speed.
SLOW_START_COST = 0.1
# Approximate share of its requests that a failing server fails.
FAILING_SERVER_COST = 0.9
# From this probability on, a server is taken to shed whatever its load.
SHEDDING_PROBABILITY = 0.1
# The servers that do not shed get as many requests as fill this share of
# their slots. Hosts learn of a queue too late to fill it together: a server
# with a long one refuses requests, and resets connections.
ACCEPTING_UTILIZATION = 0.8
# Number of least suspected servers compared with the trusted ones.
SAMPLED_SUSPECTS = 3
# Hosts see the same load reports; without random jitter all of them would
# send their next requests to the same server.
MAX_COST_JITTER = 0.1
# A queue of this many requests per slot cannot be served in time.
TIMEOUT_QUEUE_RATIO = 2.0
TIMEOUT_COST = 0.95


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """State of one server, as far as this host knows it."""

    server: model.BackendServer
    in_flight: int
    load: outcomes.Load | None
    load_at_ms: int
    # Requests that this host sent since the load was reported.
    sent_since_load: int
    suspicion: failure_detector.Suspicion | None
    # Probability that the server refuses requests whatever its load.
    shedding_probability: float
    # Until then the server is taken to be unreachable from this host, or its
    # queue to be full.
    unavailable_until_ms: int
    # The server asked this host to send nothing until then.
    paused_until_ms: int
    has_idle_connection: bool
    slow_start_until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """The selected server and the counts that are logged with it."""

    candidate: Candidate
    trusted_count: int
    usable_count: int
    # Whether a suspected server was selected to test if it has recovered.
    is_probe: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SelectionContext:
    """Inputs of a selection other than the servers."""

    data_centre: str
    service: probing.ServiceHealth
    retryable: bool
    now_ms: int


def select(
    candidates: Sequence[Candidate],
    context: SelectionContext,
    rng: random.Random,
) -> Selection | None:
    """Return the server for one request, or None without candidates."""
    now_ms = context.now_ms
    accepting = [c for c in candidates if c.paused_until_ms <= now_ms]
    if not accepting:
        return None
    available = [c for c in accepting if c.unavailable_until_ms <= now_ms]
    usable = available or accepting
    trusted, suspected = _partition(usable, now_ms)
    probes = probing.plan(
        [c.suspicion for c in suspected if c.suspicion],
        probing.TrustedServers(
            len(trusted), sum(c.server.slots for c in trusted)
        ),
        context.service,
        context.retryable,
        now_ms,
    )
    is_probe = rng.random() < probes.share
    if is_probe:
        best = suspected[rng.choice(probes.indexes)]
    else:
        # Suspected servers are compared too, and win if the trusted ones
        # are overloaded.
        group = _choose_group(trusted, context.service, rng)
        sampled = _sample(group, context.data_centre, rng)
        sampled += suspected[:SAMPLED_SUSPECTS]
        mean_utilization = _mean_utilization(
            group, context.data_centre, now_ms
        )
        best = min(
            sampled,
            key=lambda c: (
                _cost(c, context, mean_utilization)
                + rng.uniform(0, MAX_COST_JITTER)
            ),
        )
    return Selection(best, len(trusted), len(usable), is_probe)


def _partition(
    usable: list[Candidate], now_ms: int
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the trusted and the suspected servers, least suspected first."""
    probabilities = [_failing_probability(c, now_ms) for c in usable]
    trusted = [
        c
        for c, probability in zip(usable, probabilities, strict=True)
        if probability < failure_detector.SUSPECT_PROBABILITY
    ]
    suspected = [
        (probability, index)
        for index, probability in enumerate(probabilities)
        if probability >= failure_detector.SUSPECT_PROBABILITY
    ]
    return trusted, [usable[index] for _, index in sorted(suspected)]


def _choose_group(
    trusted: list[Candidate],
    service: probing.ServiceHealth,
    rng: random.Random,
) -> list[Candidate]:
    """Return the servers that do not shed, or those that do.

    Answers the load under which most servers of a service refuse a share of
    their requests while they are idle. The few others cannot run everything,
    so they get what they can, and the rest goes to those that shed.
    """
    shedding = [
        c for c in trusted if c.shedding_probability >= SHEDDING_PROBABILITY
    ]
    accepting = [
        c for c in trusted if c.shedding_probability < SHEDDING_PROBABILITY
    ]
    if not shedding or not accepting:
        return trusted
    slots = sum(c.server.slots for c in accepting)
    running = (
        service.concurrency if service.running is None else service.running
    )
    share = ACCEPTING_UTILIZATION * slots / max(1.0, running)
    return accepting if rng.random() < share else shedding


def _failing_probability(candidate: Candidate, now_ms: int) -> float:
    if candidate.suspicion is None:
        return 0.0
    return candidate.suspicion.probability(now_ms)


def _sample(
    trusted: list[Candidate], data_centre: str, rng: random.Random
) -> list[Candidate]:
    local = [c for c in trusted if c.server.data_centre == data_centre]
    remote = [c for c in trusted if c.server.data_centre != data_centre]
    sampled = _random_sample(local, rng) + _random_sample(remote, rng)
    connected = [c for c in trusted if c.has_idle_connection]
    return sampled + _random_sample(connected, rng)


def _random_sample(
    candidates: list[Candidate], rng: random.Random
) -> list[Candidate]:
    return rng.sample(candidates, min(SAMPLED_SERVERS, len(candidates)))


def _mean_utilization(
    trusted: list[Candidate], data_centre: str, now_ms: int
) -> float:
    """Return the mean requests per slot of servers with a valid report.

    Of other data centres only full servers are reported, so their mean would
    make all others there look as busy.
    """
    utilizations = [
        (c.load.running + c.load.waiting) / c.server.slots
        for c in trusted
        if c.server.data_centre == data_centre
        and c.load
        and has_valid_load(c, now_ms)
    ]
    return statistics.fmean(utilizations) if utilizations else 0.0


def has_valid_load(candidate: Candidate, now_ms: int) -> bool:
    """Return whether the load that a server reported still counts."""
    return now_ms - candidate.load_at_ms <= LOAD_VALID_MS


def _cost(
    candidate: Candidate, context: SelectionContext, mean_utilization: float
) -> float:
    """Return the expected cost of sending the request to a server."""
    now_ms = context.now_ms
    cost = FAILING_SERVER_COST * _failing_probability(candidate, now_ms)
    utilization = _utilization(candidate, mean_utilization, now_ms)
    cost += _load_cost(utilization)
    if candidate.server.data_centre != context.data_centre:
        cost += OTHER_DATA_CENTRE_COST
    if not candidate.has_idle_connection:
        cost += NEW_CONNECTION_COST
    if candidate.slow_start_until_ms > now_ms:
        cost += SLOW_START_COST
    return cost


def _utilization(
    candidate: Candidate, mean_utilization: float, now_ms: int
) -> float:
    """Return the estimated number of requests per slot of a server."""
    utilization = candidate.in_flight / candidate.server.slots
    is_trusted = (
        _failing_probability(candidate, now_ms)
        < failure_detector.SUSPECT_PROBABILITY
    )
    if candidate.load and is_trusted:
        # Without a valid report the server is assumed to be as busy as the
        # others. A server that never sent a report is new and should get
        # requests, so nothing is added for it.
        utilization += mean_utilization
    if candidate.load and has_valid_load(candidate, now_ms):
        reported = candidate.load.running + candidate.load.waiting
        busy = max(candidate.in_flight, reported + candidate.sent_since_load)
        utilization = busy / candidate.server.slots
    return utilization


def _load_cost(utilization: float) -> float:
    """Return the cost of a server's load and of waiting for a slot."""
    if utilization < 1:
        return BUSY_SLOT_COST * utilization
    lateness = min(1.0, (utilization - 1) / TIMEOUT_QUEUE_RATIO)
    return BUSY_SLOT_COST * utilization + TIMEOUT_COST * lateness**2
