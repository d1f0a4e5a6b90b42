"""Decides when a suspected server is probed with a caller's request."""

from collections.abc import Sequence
import dataclasses
import math

from cardamomdeal.balancing import failure_detector
from cardamomdeal.balancing import outcomes

# The capacity floor counts while a tenth of the requests are lost. Hosts see
# about half of the losses as failed attempts; other callers wait too long or
# leave.
FLOOR_FAILURE_SHARE = 0.05
# It is also enforced if the trusted servers are busier than this: then the
# avoided ones are missed, and requests are lost by waiting.
FLOOR_UTILIZATION = 0.6
# A server whose last failure is not older than this counts as unhealthy and
# is left out of the capacity floor.
RECENT_FAILURE_MS = 2_000
# Share of the healthy servers that is aimed at above the floor, since some of
# those counted in fail or wait for their probe at any time.
FLOOR_MARGIN = 0.15
# A server counts towards the floor if it gets a request every two seconds, so
# it is probed once its last failure is this old, at this rate from all hosts.
FLOOR_PROBE_DELAY_MS = 1_500
FLOOR_PROBES_PER_S = 1.0
# Retryable requests show early whether a server has recovered, and cost only
# one retry if it has not.
RETRYABLE_PROBE_DELAY_MS = 1_000
RETRYABLE_PROBES_PER_S = 0.7
# Probing a silent server costs the wait for a timeout, and a replaced server
# does not come back.
PROBED_SYMPTOMS = (outcomes.Symptom.ERROR, outcomes.Symptom.BROKEN)
# Largest share of a service's requests that is used for probes.
MAX_PROBE_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceHealth:
    """Requests of a service across all hosts, and its capacity floor."""

    rate_per_s: float
    failure_share: float
    # Mean number of requests that servers run or queue at the same time.
    concurrency: float
    capacity_floor: float
    # Mean number of requests that they run, without those that wait; None if
    # it is not known.
    running: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TrustedServers:
    """Capacity of the servers that are not suspected."""

    count: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProbePlan:
    """Indexes of the servers to probe, and the share of requests to use."""

    indexes: tuple[int, ...]
    share: float


NO_PROBES = ProbePlan((), 0.0)


def plan(
    suspicions: Sequence[failure_detector.Suspicion],
    trusted: TrustedServers,
    service: ServiceHealth,
    retryable: bool,
    now_ms: int,
) -> ProbePlan:
    """Return which of the suspected servers to probe."""
    healthy = trusted.count + sum(
        now_ms - suspicion.last_failure_at_ms > RECENT_FAILURE_MS
        for suspicion in suspicions
    )
    aim = min(1.0, service.capacity_floor + FLOOR_MARGIN)
    missing = math.ceil(healthy * aim) - trusted.count
    if missing > 0 and _is_floor_enforced(trusted, service):
        indexes = [
            index
            for index, suspicion in enumerate(suspicions)
            if now_ms - suspicion.last_failure_at_ms > FLOOR_PROBE_DELAY_MS
            and suspicion.last_symptom is not outcomes.Symptom.REPLACED
        ]
        return _plan_at_rate(indexes[:missing], FLOOR_PROBES_PER_S, service)
    if retryable:
        indexes = [
            index
            for index, suspicion in enumerate(suspicions)
            if now_ms - suspicion.last_failure_at_ms > RETRYABLE_PROBE_DELAY_MS
            and suspicion.last_symptom in PROBED_SYMPTOMS
        ]
        return _plan_at_rate(indexes, RETRYABLE_PROBES_PER_S, service)
    return NO_PROBES


def _is_floor_enforced(
    trusted: TrustedServers, service: ServiceHealth
) -> bool:
    return (
        service.failure_share > FLOOR_FAILURE_SHARE
        or service.concurrency > FLOOR_UTILIZATION * trusted.slots
    )


def _plan_at_rate(
    indexes: list[int], probes_per_s: float, service: ServiceHealth
) -> ProbePlan:
    if not indexes:
        return NO_PROBES
    share = len(indexes) * probes_per_s / service.rate_per_s
    return ProbePlan(tuple(indexes), min(MAX_PROBE_SHARE, share))
