"""Outlier detection among the backend servers of a service.

A server is compared with its peers on the results of real requests, for each
kind of work.
"""

import dataclasses
import statistics

from cardamomdeal.health import binomial
from cardamomdeal.health import evidence

MIN_ATTEMPTS = 5
MIN_PEERS = 2
# A single agent cannot distinguish a faulty server from a faulty path.
MIN_AFFECTED_AGENTS = 2
# Highest probability that a healthy server is reported in an evaluation.
SERVER_SIGNIFICANCE = 1e-8
PATH_SIGNIFICANCE = 0.01
MIN_EXPECTED_FAILURE_SHARE = 0.02
MIN_EXPECTED_SLOW_SHARE = 0.1
PEER_TOLERANCE_FACTOR = 2.0
# Buckets double in latency, so two buckets are a factor of four.
SLOW_LATENCY_BUCKETS = 2
MIN_SLOW_LATENCY_BUCKET = 4
# Larger samples are scaled down to this size, which bounds the computation.
MAX_BINOMIAL_TRIALS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Healthy:
    """Verdict that nothing indicates a fault."""


@dataclasses.dataclass(frozen=True, slots=True)
class FaultyServer:
    """Verdict that a server fails or is slow for all agents using it."""

    reason: str
    p_value: float


@dataclasses.dataclass(frozen=True, slots=True)
class FaultyPath:
    """Verdict that only some agents have a faulty path to a server."""

    reason: str


Verdict = Healthy | FaultyServer | FaultyPath


@dataclasses.dataclass(frozen=True, slots=True)
class FailureCriterion:
    """Criterion that a server fails more often than its peers."""

    expected_share: float

    def count_bad(self, tally: evidence.Tally) -> int:
        """Return how many attempts failed."""
        return tally.failures


@dataclasses.dataclass(frozen=True, slots=True)
class LatencyCriterion:
    """Criterion that a server is slow more often than its peers."""

    expected_share: float
    limit_bucket: int

    def count_bad(self, tally: evidence.Tally) -> int:
        """Return how many responses were slow."""
        return tally.slower_than(self.limit_bucket)


Criterion = FailureCriterion | LatencyCriterion


def detect_outliers(window: evidence.EvidenceWindow) -> dict[str, Verdict]:
    """Return a verdict on each server with reported results."""
    verdicts: dict[str, Verdict] = {}
    for span_ms in evidence.SPANS_MS:
        sums = window.sums(span_ms)
        for kind in {workload.kind for workload in sums}:
            same_kind = {
                other: tally
                for other, tally in sums.items()
                if other.kind == kind
            }
            for workload in same_kind:
                verdict = _evaluate_workload(
                    window, workload, same_kind, span_ms
                )
                previous = verdicts.get(workload.server, Healthy())
                verdicts[workload.server] = _more_severe(previous, verdict)
    return verdicts


def _more_severe(first: Verdict, other: Verdict) -> Verdict:
    for severity in (FaultyServer, FaultyPath):
        for verdict in (first, other):
            if isinstance(verdict, severity):
                return verdict
    return Healthy()


def _evaluate_workload(
    window: evidence.EvidenceWindow,
    workload: evidence.Workload,
    same_kind: dict[evidence.Workload, evidence.Tally],
    span_ms: int,
) -> Verdict:
    peers = [
        tally
        for other, tally in same_kind.items()
        if other != workload and tally.attempts
    ]
    if len(peers) < MIN_PEERS or same_kind[workload].attempts < MIN_ATTEMPTS:
        return Healthy()
    verdict: Verdict = Healthy()
    for criterion in (_failure_criterion(peers), _latency_criterion(peers)):
        found = _evaluate_criterion(
            criterion, window, workload, same_kind[workload], span_ms
        )
        verdict = _more_severe(verdict, found)
    return verdict


def _failure_criterion(peers: list[evidence.Tally]) -> FailureCriterion:
    share = statistics.median(peer.failures / peer.attempts for peer in peers)
    return FailureCriterion(
        max(MIN_EXPECTED_FAILURE_SHARE, PEER_TOLERANCE_FACTOR * share)
    )


def _latency_criterion(peers: list[evidence.Tally]) -> LatencyCriterion:
    median = statistics.median(peer.median_bucket() for peer in peers)
    limit = (
        max(MIN_SLOW_LATENCY_BUCKET, int(median) + SLOW_LATENCY_BUCKETS) - 1
    )
    share = statistics.median(
        peer.slower_than(limit) / peer.attempts for peer in peers
    )
    return LatencyCriterion(
        max(MIN_EXPECTED_SLOW_SHARE, PEER_TOLERANCE_FACTOR * share), limit
    )


def _evaluate_criterion(
    criterion: Criterion,
    window: evidence.EvidenceWindow,
    workload: evidence.Workload,
    tally: evidence.Tally,
    span_ms: int,
) -> Verdict:
    bad = criterion.count_bad(tally)
    if bad <= criterion.expected_share * tally.attempts:
        return Healthy()
    p_value = _p_value(bad, tally.attempts, criterion.expected_share)
    if p_value >= SERVER_SIGNIFICANCE:
        return Healthy()
    if _is_path_fault(
        criterion, window, workload, bad / tally.attempts, span_ms
    ):
        return FaultyPath(_reason(criterion))
    return FaultyServer(_reason(criterion), p_value)


def _is_path_fault(
    criterion: Criterion,
    window: evidence.EvidenceWindow,
    workload: evidence.Workload,
    bad_share: float,
    span_ms: int,
) -> bool:
    """Return whether only some of the agents observe the fault."""
    by_agent = window.by_agent(workload, span_ms)
    affected = sum(
        criterion.count_bad(tally) > 0 for tally in by_agent.values()
    )
    reporting = len(window.reporting_agents(span_ms))
    if affected < min(MIN_AFFECTED_AGENTS, reporting):
        return True
    by_centre = window.by_data_centre(workload, span_ms)
    groups = by_centre if len(by_centre) > 1 else by_agent
    # A group of agents with a much lower share of failed or slow results
    # than the total has a working path to the server, so the fault is in
    # the other paths.
    return any(
        binomial.lower_tail(
            criterion.count_bad(group), group.attempts, bad_share
        )
        < PATH_SIGNIFICANCE
        for group in groups.values()
    )


def _p_value(bad: int, attempts: int, expected_share: float) -> float:
    if attempts > MAX_BINOMIAL_TRIALS:
        bad = int(bad * MAX_BINOMIAL_TRIALS / attempts)
        attempts = MAX_BINOMIAL_TRIALS
    return binomial.upper_tail(bad, attempts, expected_share)


def _reason(criterion: Criterion) -> str:
    match criterion:
        case FailureCriterion():
            return 'fails'
        case LatencyCriterion():
            return 'slow'
