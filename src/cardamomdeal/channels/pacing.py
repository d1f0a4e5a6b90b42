"""Spreads large datagrams over time so that they fit through the link."""

import collections
import logging

from cardamomdeal.internal import address

# Shorter messages are urgent and few enough to be sent at once.
MIN_PACED_BYTES = 600
# Share of the link for large messages; callers' requests use the rest.
LINK_SHARE = 0.5
# Links have short queues and drop what does not fit.
MAX_BURST_MS = 5
MAX_QUEUED_DATAGRAMS = 4_000
BYTES_PER_MS_AND_MBPS = 125

log = logging.getLogger(__name__)


class PacedQueue:
    """Queue of the datagrams that wait for their turn on the link.

    A change goes to all hosts at once. Without a pause between its copies, a
    host with a slow link would lose most of them.
    """

    def __init__(self, link_mbps: float) -> None:
        """Pace for a link, or not at all if its bandwidth is 0."""
        self._bytes_per_ms = link_mbps * BYTES_PER_MS_AND_MBPS * LINK_SHARE
        self._waiting: collections.deque[tuple[bytes, address.Address]] = (
            collections.deque()
        )
        self._link_free_at_ms = 0.0

    def put(self, data: bytes, target: address.Address) -> bool:
        """Take a large datagram; return False if it can be sent at once."""
        if not self._bytes_per_ms or len(data) < MIN_PACED_BYTES:
            return False
        if len(self._waiting) >= MAX_QUEUED_DATAGRAMS:
            log.warning(
                'datagram dropped: too many wait for the link',
                extra={'to': str(target), 'size_bytes': len(data)},
            )
            return True
        self._waiting.append((data, target))
        return True

    def pop_ready(self, now_ms: int) -> list[tuple[bytes, address.Address]]:
        """Remove and return the datagrams that can be sent now."""
        ready = []
        while self._waiting and self.delay_ms(now_ms) == 0:
            data, target = self._waiting.popleft()
            self._link_free_at_ms = (
                max(self._link_free_at_ms, now_ms)
                + len(data) / self._bytes_per_ms
            )
            ready.append((data, target))
        return ready

    def delay_ms(self, now_ms: int) -> int | None:
        """Return the time until a datagram can be sent; None if none waits."""
        if not self._waiting:
            return None
        return max(0, round(self._link_free_at_ms - now_ms - MAX_BURST_MS))
