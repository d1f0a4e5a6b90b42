"""Evidence on the backend servers of one service over time."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from cardamomdeal.protocol import messages

BUCKET_MS = 1_000
LATENCY_BUCKETS = 20
SPANS_MS = (3_000, 10_000, 60_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Name one server doing one kind of work."""

    server: str
    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reporter:
    """Name an agent and its data centre."""

    agent: str
    data_centre: str


class Tally:
    """Count answers, failures and latencies."""

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
        """Return the attempts that ended well or not."""
        return self.successes + self.failures

    def add(self, other: 'Tally', sign: int = 1) -> None:
        """Add another tally, or take it away again."""
        self.successes += sign * other.successes
        self.failures += sign * other.failures
        for bucket, count in enumerate(other.latencies):
            if count:
                self.latencies[bucket] += sign * count

    def slower_than(self, bucket: int) -> int:
        """Return how many answers were slower than a bucket."""
        return sum(self.latencies[bucket + 1 :])

    def median_bucket(self) -> int:
        """Return the bucket of the median latency."""
        half = sum(self.latencies) / 2
        seen = 0
        for bucket, count in enumerate(self.latencies):
            seen += count
            if count and seen >= half:
                return bucket
        return 0


class EvidenceWindow:
    """Keep sums over each span up to date as evidence comes and goes."""

    def __init__(self) -> None:
        # Evidence by the second in which it came, and who reported it.
        self._buckets: dict[int, dict[Work, dict[Reporter, Tally]]] = {}
        self._sums: dict[int, dict[Work, Tally]] = {
            span_ms: {} for span_ms in SPANS_MS
        }
        # The oldest bucket that each span's sums still hold.
        self._oldest: dict[int, int] = dict.fromkeys(SPANS_MS, 0)

    def add(self, report: messages.EvidenceReport, now_ms: int) -> None:
        """Take in a report."""
        bucket = self._buckets.setdefault(now_ms // BUCKET_MS, {})
        reporter = Reporter(report.reporter, report.data_centre)
        for item in report.evidence:
            work = Work(item.server, item.work_kind)
            tally = Tally(item.successes, item.failures, item.latencies)
            by_reporter = bucket.setdefault(work, {})
            by_reporter.setdefault(reporter, Tally()).add(tally)
            for sums in self._sums.values():
                sums.setdefault(work, Tally()).add(tally)

    def expire(self, now_ms: int) -> None:
        """Take evidence that is older than a span out of its sums."""
        for span_ms, sums in self._sums.items():
            oldest = (now_ms - span_ms) // BUCKET_MS
            for key in sorted(self._buckets):
                if self._oldest[span_ms] <= key < oldest:
                    _take_away(sums, self._buckets[key])
            self._oldest[span_ms] = max(oldest, self._oldest[span_ms])
        oldest = min(self._oldest.values())
        for key in [key for key in self._buckets if key < oldest]:
            del self._buckets[key]

    def forget_server(self, server: str) -> None:
        """Drop the evidence on one server."""
        for known in (*self._buckets.values(), *self._sums.values()):
            for work in [work for work in known if work.server == server]:
                del known[work]

    def sums(self, span_ms: int) -> dict[Work, Tally]:
        """Return the sums over one span."""
        return self._sums[span_ms]

    def reporting_agents(self, span_ms: int) -> frozenset[str]:
        """Return the agents with evidence on any server of the service."""
        return frozenset(
            reporter.agent
            for bucket in self._recent(span_ms)
            for by_reporter in bucket.values()
            for reporter in by_reporter
        )

    def by_agent(self, work: Work, span_ms: int) -> dict[str, Tally]:
        """Sum what each agent saw."""
        return self._grouped(work, span_ms, _agent_of)

    def by_data_centre(self, work: Work, span_ms: int) -> dict[str, Tally]:
        """Sum what the agents of each data centre saw."""
        return self._grouped(work, span_ms, _data_centre_of)

    def _grouped(
        self,
        work: Work,
        span_ms: int,
        group_of: Callable[[Reporter], str],
    ) -> dict[str, Tally]:
        groups: dict[str, Tally] = {}
        for bucket in self._recent(span_ms):
            for reporter, tally in bucket.get(work, {}).items():
                groups.setdefault(group_of(reporter), Tally()).add(tally)
        return groups

    def _recent(
        self, span_ms: int
    ) -> Iterator[dict[Work, dict[Reporter, Tally]]]:
        for key, bucket in self._buckets.items():
            if key >= self._oldest[span_ms]:
                yield bucket


def _agent_of(reporter: Reporter) -> str:
    return reporter.agent


def _data_centre_of(reporter: Reporter) -> str:
    return reporter.data_centre


def _take_away(
    sums: dict[Work, Tally], bucket: dict[Work, dict[Reporter, Tally]]
) -> None:
    for work, by_reporter in bucket.items():
        if work not in sums:
            continue
        for tally in by_reporter.values():
            sums[work].add(tally, -1)
        if not sums[work].attempts:
            del sums[work]
