"""Bounds how often work is sent to a second backend server."""

import collections

from cardamomdeal.settings import model


class RepeatBudget:
    """Allow one host its share of the fleet's repeats for a service.

    Load it answers: many servers failing at once, when every host would
    repeat and double the work of those that are left. Each host spends
    from its own requests and an equal part of the fleet's slack, so that
    the sum stays in bounds without a message on the request path, also
    while hosts cannot reach each other.
    """

    def __init__(self, bounds: model.Bounds) -> None:
        self._bounds = bounds
        self._requests: collections.deque[int] = collections.deque()
        self._repeats: collections.deque[int] = collections.deque()

    def note_request(self, now_ms: int) -> None:
        """Count a request of a caller for the service."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def take(self, now_ms: int, hosts: int) -> bool:
        """Spend one repeat; return False when none is left."""
        self._expire(now_ms)
        allowed = self._bounds.repeat_ratio * len(
            self._requests
        ) + self._bounds.repeat_slack / max(1, hosts)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._bounds.repeat_window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] <= oldest_ms:
                times.popleft()
