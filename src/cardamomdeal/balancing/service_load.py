"""Estimates a service's load and failure share across all hosts."""

import collections
import statistics

# Window over which requests and failures are counted.
WINDOW_MS = 5_000
# With fewer responses it is not known how long a request runs.
MIN_LATENCIES = 4


class ServiceLoad:
    """Sliding-window counts of a service, from this host and its peers."""

    def __init__(self) -> None:
        self._requests: collections.deque[int] = collections.deque()
        self._failures: collections.deque[int] = collections.deque()
        # Responses to this host: time and latency.
        self._latencies: collections.deque[tuple[int, int]] = (
            collections.deque()
        )
        # Failures at other hosts: time and the host's own request count.
        self._peer_failures: collections.deque[tuple[int, int]] = (
            collections.deque()
        )

    def record_request(self, now_ms: int) -> None:
        """Count a request that this host received."""
        self._requests.append(now_ms)

    def record_latency(self, latency_ms: int, now_ms: int) -> None:
        """Record how long a response to this host took."""
        self._latencies.append((now_ms, latency_ms))

    def record_failure(self, now_ms: int) -> None:
        """Count a failed attempt of this host."""
        self._failures.append(now_ms)

    def record_peer_failure(self, requests: int, now_ms: int) -> None:
        """Count another host's failed attempt and its request count."""
        self._peer_failures.append((now_ms, requests))

    def recent_requests(self, now_ms: int) -> int:
        """Return the requests that this host received in the window."""
        self._expire(now_ms)
        return len(self._requests)

    def rate_per_s(self, hosts: int, now_ms: int) -> float:
        """Return the estimated requests per second of all hosts together."""
        self._expire(now_ms)
        counts = [
            len(self._requests),
            *(count for _, count in self._peer_failures),
        ]
        fleet_requests = max(1.0, statistics.fmean(counts)) * hosts
        return fleet_requests * 1_000 / WINDOW_MS

    def concurrency(self, rate_per_s: float) -> float:
        """Return the estimated number of requests in flight at this rate."""
        if not self._latencies:
            return 0.0
        latency_ms = statistics.fmean(ms for _, ms in self._latencies)
        return rate_per_s * latency_ms / 1_000

    def running(self, rate_per_s: float) -> float | None:
        """Return the estimated number of running requests at this rate.

        A quarter of the requests hardly wait, also under load.
        """
        if len(self._latencies) < MIN_LATENCIES:
            return None
        latencies_ms = [latency_ms for _, latency_ms in self._latencies]
        work_ms = statistics.quantiles(latencies_ms, n=4)[0]
        return rate_per_s * work_ms / 1_000

    def failure_share(self, rate_per_s: float) -> float:
        """Return the share of failed attempts at this rate of all hosts."""
        failures = len(self._peer_failures) + len(self._failures)
        return failures * 1_000 / (WINDOW_MS * rate_per_s)

    def _expire(self, now_ms: int) -> None:
        window_start_ms = now_ms - WINDOW_MS
        for times in (self._requests, self._failures):
            while times and times[0] <= window_start_ms:
                times.popleft()
        for pairs in (self._peer_failures, self._latencies):
            while pairs and pairs[0][0] <= window_start_ms:
                pairs.popleft()
