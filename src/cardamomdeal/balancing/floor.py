"""Decides how much of a service's capacity avoidance must leave."""

import collections

# Window over which a service's work is counted.
WINDOW_MS = 5_000
# Above this share of unserved requests the full floor holds: avoiding
# servers has not helped, and those left may be overloaded by it.
UNSERVED_SHARE = 0.08
# Floor while nearly everything is served: failing servers hurt callers
# more than the waiting at the others.
RELAXED_FLOOR = 0.35


class CapacityFloor:
    """Watch how a service fares and say which floor holds.

    Load it answers: so many servers failing, or so much work, that the
    servers left are crowded by the very avoidance that should help.
    """

    def __init__(self, floor: float) -> None:
        self._floor = floor
        self._requests: collections.deque[int] = collections.deque()
        self._unserved: collections.deque[int] = collections.deque()
        self._failures: collections.deque[int] = collections.deque()

    def note_request(self, now_ms: int) -> None:
        """Count a request that this host was sent."""
        self._requests.append(now_ms)

    def note_unserved(self, now_ms: int) -> None:
        """Count a request that this host could not get served."""
        self._unserved.append(now_ms)

    def note_peer_failure(self, now_ms: int) -> None:
        """Count a failed attempt of another host."""
        self._failures.append(now_ms)

    def share(self, hosts: int, now_ms: int) -> float:
        """Return the share of the servers that must stay in use."""
        oldest_ms = now_ms - WINDOW_MS
        for times in (self._requests, self._unserved, self._failures):
            while times and times[0] <= oldest_ms:
                times.popleft()
        everywhere = max(1, len(self._requests)) * hosts
        failures = len(self._failures) + len(self._unserved)
        if failures > UNSERVED_SHARE * everywhere:
            return self._floor
        return min(self._floor, RELAXED_FLOOR)
