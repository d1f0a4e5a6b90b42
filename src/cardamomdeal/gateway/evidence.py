"""Passive health evidence: results of attempts on backend servers."""

import dataclasses

from cardamomdeal.protocol import messages
from cardamomdeal.routing import outcomes

# Bucket i counts latencies below 2**i ms, the last one all longer ones.
LATENCY_BUCKETS = 20


@dataclasses.dataclass(slots=True)
class _Counts:
    successes: int = 0
    failures: int = 0
    refusals: int = 0
    latencies: list[int] = dataclasses.field(
        default_factory=lambda: [0] * LATENCY_BUCKETS
    )

    def add_latency(self, latency_ms: int) -> None:
        bucket = min(latency_ms.bit_length(), LATENCY_BUCKETS - 1)
        self.latencies[bucket] += 1


class EvidenceCounter:
    """Counter of attempt results by backend server and kind of work."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], _Counts] = {}

    def add(
        self, server: str, kind: str, result: outcomes.AttemptResult
    ) -> None:
        """Count the result of one attempt."""
        counts = self._counts.setdefault((server, kind), _Counts())
        match result:
            case outcomes.Completed(status, latency_ms, _):
                counts.add_latency(latency_ms)
                if status >= outcomes.SERVER_ERROR_STATUS:
                    counts.failures += 1
                else:
                    counts.successes += 1
            case outcomes.Broken(latency_ms, _, connection_reused):
                # A reused connection may have failed while it was idle,
                # because of the network path. Only a failure on a new
                # connection is evidence against the server.
                if not connection_reused:
                    counts.add_latency(latency_ms)
                    counts.failures += 1
            case outcomes.NotConnected():
                counts.failures += 1
            case outcomes.RefusedByServer():
                counts.refusals += 1
            case outcomes.CallerLeft():
                pass

    def take(self) -> tuple[messages.ServerEvidence, ...]:
        """Return the counts and reset them."""
        evidence = tuple(
            messages.ServerEvidence(
                server=server,
                work_kind=kind,
                successes=counts.successes,
                failures=counts.failures,
                refusals=counts.refusals,
                latencies=tuple(counts.latencies),
            )
            for (server, kind), counts in self._counts.items()
        )
        self._counts.clear()
        return evidence
