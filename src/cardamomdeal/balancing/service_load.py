"""Estimates how a service fares at all hosts together."""

import collections
import statistics

# Window over which a service's work is counted.
WINDOW_MS = 5_000


class ServiceLoad:
    """Count a service's work here and what other hosts tell of theirs."""

    def __init__(self) -> None:
        self._requests: collections.deque[int] = collections.deque()
        self._unserved: collections.deque[int] = collections.deque()
        # Failures of other hosts, with their own count of requests.
        self._reports: collections.deque[tuple[int, int]] = collections.deque()

    def note_request(self, now_ms: int) -> None:
        """Count a request that this host was sent."""
        self._requests.append(now_ms)

    def note_unserved(self, now_ms: int) -> None:
        """Count an attempt of this host that failed."""
        self._unserved.append(now_ms)

    def note_peer_failure(self, requests: int, now_ms: int) -> None:
        """Count another host's failed attempt; it had so many requests."""
        self._reports.append((now_ms, requests))

    def requests(self, now_ms: int) -> int:
        """Return the requests that this host was sent lately."""
        self._expire(now_ms)
        return len(self._requests)

    def rate_per_s(self, hosts: int, now_ms: int) -> float:
        """Return the requests a second that all hosts get together."""
        self._expire(now_ms)
        counts = [len(self._requests), *(count for _, count in self._reports)]
        everywhere = max(1.0, statistics.fmean(counts)) * hosts
        return everywhere * 1_000 / WINDOW_MS

    def unserved_share(self, hosts: int, now_ms: int) -> float:
        """Return the share of attempts that failed lately, everywhere."""
        rate_per_s = self.rate_per_s(hosts, now_ms)
        failures = len(self._reports) + len(self._unserved)
        return failures * 1_000 / (WINDOW_MS * rate_per_s)

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - WINDOW_MS
        for times in (self._requests, self._unserved):
            while times and times[0] <= oldest_ms:
                times.popleft()
        while self._reports and self._reports[0][0] <= oldest_ms:
            self._reports.popleft()
