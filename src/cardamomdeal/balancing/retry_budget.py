"""Limits how often requests are retried at another backend server."""

import collections
import random

from cardamomdeal.settings import model

# Share of the bound that is used: hosts also count some requests that do not
# come from callers, and they do not all see the same number of hosts.
USABLE_SHARE = 0.75


class RetryBudget:
    """One host's share of the retries that the fleet allows a service.

    Prevents a retry storm when many servers fail at once: if every host
    retried, the servers that are left would get twice the load. Each host
    may use a ratio of its own requests and an equal part of the fleet's
    slack, so the sum stays within bounds without coordination on the
    request path, even while hosts cannot reach each other.
    """

    def __init__(
        self, bounds: model.Bounds, rng: random.Random | None = None
    ) -> None:
        self._bounds = bounds
        # A large fleet's hosts have a few retries each, so rounding all of
        # them down would leave a tenth of the budget unused.
        self._rounding = (rng or random).random()
        self._requests: collections.deque[int] = collections.deque()
        self._retries: collections.deque[int] = collections.deque()
        # Pairs of time and number of hosts; the numbers decrease, so the
        # first one is the maximum of the window.
        self._hosts: collections.deque[tuple[int, int]] = collections.deque()

    def set_bounds(self, bounds: model.Bounds) -> None:
        """Replace the bounds; retries already counted stay counted."""
        self._bounds = bounds

    def record_request(self, now_ms: int, hosts: int) -> None:
        """Count a caller's request to the service."""
        self._requests.append(now_ms)
        self._max_hosts(now_ms, hosts)
        self._expire(now_ms)

    def try_spend(self, now_ms: int, hosts: int) -> bool:
        """Use one retry; return False if the budget is exhausted."""
        self._expire(now_ms)
        slack = self._bounds.repeat_slack / self._max_hosts(now_ms, hosts)
        earned = self._bounds.repeat_ratio * len(self._requests)
        allowed = USABLE_SHARE * (earned + slack)
        if len(self._retries) + 1 > allowed + self._rounding:
            return False
        self._retries.append(now_ms)
        return True

    def _max_hosts(self, now_ms: int, hosts: int) -> int:
        """Record the number of hosts and return its maximum in the window.

        Hosts that left during the window may have used their part of the
        slack as well.
        """
        while self._hosts and self._hosts[-1][1] <= hosts:
            self._hosts.pop()
        self._hosts.append((now_ms, hosts))
        while self._hosts[0][0] <= now_ms - self._bounds.repeat_window_ms:
            self._hosts.popleft()
        return max(1, self._hosts[0][1])

    def _expire(self, now_ms: int) -> None:
        window_start_ms = now_ms - self._bounds.repeat_window_ms
        for times in (self._requests, self._retries):
            while times and times[0] <= window_start_ms:
                times.popleft()
