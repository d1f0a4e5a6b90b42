"""Evidence on the backend servers of one service over time."""

import collections
from collections.abc import Iterable
import dataclasses

from cardamomdeal.protocol import messages

BUCKET_MS = 1_000
WINDOW_MS = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Name who saw what of which server doing which work."""

    server: str
    work_kind: str
    reporter: str
    data_centre: str


@dataclasses.dataclass(slots=True)
class Tally:
    """Count answers and failures."""

    successes: int = 0
    failures: int = 0
    latencies: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def attempts(self) -> int:
        """Return the attempts that ended well or not."""
        return self.successes + self.failures

    def add(self, other: 'Tally') -> None:
        """Add another tally to this one."""
        self.successes += other.successes
        self.failures += other.failures
        self.latencies.update(other.latencies)

    def slower_than(self, bucket: int) -> int:
        """Return how many answers were slower than a bucket."""
        return sum(
            count for slow, count in self.latencies.items() if slow > bucket
        )


class EvidenceWindow:
    """Keep the evidence of the last minute in buckets of a second."""

    def __init__(self) -> None:
        self._buckets: dict[int, dict[Source, Tally]] = {}

    def add(self, report: messages.EvidenceReport, now_ms: int) -> None:
        """Take in a report."""
        bucket = self._buckets.setdefault(now_ms // BUCKET_MS, {})
        for item in report.evidence:
            source = Source(
                item.server,
                item.work_kind,
                report.reporter,
                report.data_centre,
            )
            bucket.setdefault(source, Tally()).add(_tally(item))

    def expire(self, now_ms: int) -> None:
        """Drop evidence that is older than the window."""
        oldest = (now_ms - WINDOW_MS) // BUCKET_MS
        for key in [key for key in self._buckets if key < oldest]:
            del self._buckets[key]

    def forget_server(self, server: str) -> None:
        """Drop the evidence on one server."""
        for bucket in self._buckets.values():
            for source in [s for s in bucket if s.server == server]:
                del bucket[source]

    def since(self, start_ms: int) -> dict[Source, Tally]:
        """Return the sums of the evidence from a time on."""
        sums: dict[Source, Tally] = {}
        for key, bucket in self._buckets.items():
            if key * BUCKET_MS < start_ms:
                continue
            for source, tally in bucket.items():
                sums.setdefault(source, Tally()).add(tally)
        return sums


def total(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of tallies."""
    summed = Tally()
    for tally in tallies:
        summed.add(tally)
    return summed


def _tally(item: messages.ServerEvidence) -> Tally:
    latencies = collections.Counter(
        {bucket: count for bucket, count in enumerate(item.latencies) if count}
    )
    return Tally(item.successes, item.failures, latencies)
