"""Results of requests to the backend servers of a service over time."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from cardamomdeal.protocol import messages

INTERVAL_MS = 1_000
LATENCY_BUCKETS = 20
# Lengths of the sliding windows over which results are summed.
SPANS_MS = (3_000, 10_000, 60_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """One kind of work on one server."""

    server: str
    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reporter:
    """Agent that reported results, and its data centre."""

    agent: str
    data_centre: str


class Tally:
    """Counts of successes, failures and latencies by bucket."""

    __slots__ = ('failures', 'latencies', 'successes')

    def __init__(
        self,
        successes: int = 0,
        failures: int = 0,
        latencies: tuple[int, ...] = (),
    ) -> None:
        self.successes = successes
        self.failures = failures
        self.latencies = [0] * LATENCY_BUCKETS
        for bucket, count in enumerate(latencies):
            self.latencies[min(bucket, LATENCY_BUCKETS - 1)] += count

    @property
    def attempts(self) -> int:
        """Return the number of successes and failures."""
        return self.successes + self.failures

    def add(self, other: 'Tally', sign: int = 1) -> None:
        """Add another tally, or subtract it if `sign` is -1."""
        self.successes += sign * other.successes
        self.failures += sign * other.failures
        for bucket, count in enumerate(other.latencies):
            if count:
                self.latencies[bucket] += sign * count

    def slower_than(self, bucket: int) -> int:
        """Return how many responses were slower than a bucket."""
        return sum(self.latencies[bucket + 1 :])

    def median_bucket(self) -> int:
        """Return the bucket of the median latency."""
        half = sum(self.latencies) / 2
        cumulative = 0
        for bucket, count in enumerate(self.latencies):
            cumulative += count
            if count and cumulative >= half:
                return bucket
        return 0


class EvidenceWindow:
    """Sliding windows of results, with a running sum for each span."""

    def __init__(self) -> None:
        # Results by the interval of their arrival, and by reporter.
        self._intervals: dict[int, dict[Workload, dict[Reporter, Tally]]] = {}
        self._sums: dict[int, dict[Workload, Tally]] = {
            span_ms: {} for span_ms in SPANS_MS
        }
        # The oldest interval that is included in the sums of each span.
        self._oldest_interval: dict[int, int] = dict.fromkeys(SPANS_MS, 0)

    def add(self, report: messages.EvidenceReport, now_ms: int) -> None:
        """Add the results of a report."""
        interval = self._intervals.setdefault(now_ms // INTERVAL_MS, {})
        reporter = Reporter(report.reporter, report.data_centre)
        for item in report.evidence:
            workload = Workload(item.server, item.work_kind)
            tally = Tally(item.successes, item.failures, item.latencies)
            by_reporter = interval.setdefault(workload, {})
            by_reporter.setdefault(reporter, Tally()).add(tally)
            for sums in self._sums.values():
                sums.setdefault(workload, Tally()).add(tally)

    def expire(self, now_ms: int) -> None:
        """Subtract results that are older than a span from its sums."""
        for span_ms, sums in self._sums.items():
            oldest = (now_ms - span_ms) // INTERVAL_MS
            for number in sorted(self._intervals):
                if self._oldest_interval[span_ms] <= number < oldest:
                    _subtract(sums, self._intervals[number])
            self._oldest_interval[span_ms] = max(
                oldest, self._oldest_interval[span_ms]
            )
        oldest = min(self._oldest_interval.values())
        for number in [
            number for number in self._intervals if number < oldest
        ]:
            del self._intervals[number]

    def discard_server(self, server: str) -> None:
        """Discard the results of one server."""
        for by_workload in (*self._intervals.values(), *self._sums.values()):
            for workload in [
                workload
                for workload in by_workload
                if workload.server == server
            ]:
                del by_workload[workload]

    def sums(self, span_ms: int) -> dict[Workload, Tally]:
        """Return the sums over one span."""
        return self._sums[span_ms]

    def reporting_agents(self, span_ms: int) -> frozenset[str]:
        """Return the agents with evidence on any server of the service."""
        return frozenset(
            reporter.agent
            for interval in self._recent_intervals(span_ms)
            for by_reporter in interval.values()
            for reporter in by_reporter
        )

    def by_agent(self, workload: Workload, span_ms: int) -> dict[str, Tally]:
        """Return the sum of the results that each agent reported."""
        return self._sum_by(workload, span_ms, _agent_of)

    def by_data_centre(
        self, workload: Workload, span_ms: int
    ) -> dict[str, Tally]:
        """Return the sum of the results that each data centre reported."""
        return self._sum_by(workload, span_ms, _data_centre_of)

    def _sum_by(
        self,
        workload: Workload,
        span_ms: int,
        group_of: Callable[[Reporter], str],
    ) -> dict[str, Tally]:
        groups: dict[str, Tally] = {}
        for interval in self._recent_intervals(span_ms):
            for reporter, tally in interval.get(workload, {}).items():
                groups.setdefault(group_of(reporter), Tally()).add(tally)
        return groups

    def _recent_intervals(
        self, span_ms: int
    ) -> Iterator[dict[Workload, dict[Reporter, Tally]]]:
        for number, interval in self._intervals.items():
            if number >= self._oldest_interval[span_ms]:
                yield interval


def _agent_of(reporter: Reporter) -> str:
    return reporter.agent


def _data_centre_of(reporter: Reporter) -> str:
    return reporter.data_centre


def _subtract(
    sums: dict[Workload, Tally],
    interval: dict[Workload, dict[Reporter, Tally]],
) -> None:
    for workload, by_reporter in interval.items():
        if workload not in sums:
            continue
        for tally in by_reporter.values():
            sums[workload].add(tally, -1)
        if not sums[workload].attempts:
            del sums[workload]
