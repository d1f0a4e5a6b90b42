"""Bounds how often work is sent to a second backend server."""

import collections

from cardamomdeal.settings import model

# Part of the bound that is spent: hosts count some requests that are not
# the callers' own, and do not all see the same number of hosts.
SPENT_SHARE = 0.75


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
        # When the number of hosts was seen; falling from left to right.
        self._hosts: collections.deque[tuple[int, int]] = collections.deque()

    def use_bounds(self, bounds: model.Bounds) -> None:
        """Take over changed bounds; what was spent stays spent."""
        self._bounds = bounds

    def note_request(self, now_ms: int, hosts: int) -> None:
        """Count a request of a caller for the service."""
        self._requests.append(now_ms)
        self._most_hosts(now_ms, hosts)
        self._expire(now_ms)

    def take(self, now_ms: int, hosts: int) -> bool:
        """Spend one repeat; return False when none is left."""
        self._expire(now_ms)
        slack = self._bounds.repeat_slack / self._most_hosts(now_ms, hosts)
        earned = self._bounds.repeat_ratio * len(self._requests)
        allowed = SPENT_SHARE * (earned + slack)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now_ms)
        return True

    def _most_hosts(self, now_ms: int, hosts: int) -> int:
        """Return how many hosts may have spent in the window.

        Hosts that have left lately spent their part of the slack too.
        """
        while self._hosts and self._hosts[-1][1] <= hosts:
            self._hosts.pop()
        self._hosts.append((now_ms, hosts))
        while self._hosts[0][0] <= now_ms - self._bounds.repeat_window_ms:
            self._hosts.popleft()
        return max(1, self._hosts[0][1])

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._bounds.repeat_window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] <= oldest_ms:
                times.popleft()
