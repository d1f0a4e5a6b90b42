"""Decides which fragments of large values a host requests and keeps."""

import dataclasses

# Fragments are as large as the parts of a view, for the same reason.
FRAGMENT_BYTES = 16_000
# Fragments that are under way to a host at once: what the queue of a slow link
# holds.
WINDOW = 2
# A fragment that has not come after this time is lost, or the host that was
# asked does not have it.
FRAGMENT_TIMEOUT_MS = 250
# Fragments that were requested later by this much arrive later.
MAX_REORDERING_MS = 80
# What nobody has offered for this long is out of date.
OFFER_TIMEOUT_MS = 5_000
# A value that is still wanted is offered again within this time.
REPEATED_OFFER_MS = 1_500
MAX_TRANSFERS = 3
# Above the size of the largest value of the store when that does not shrink.
MAX_PACKED_BYTES = 1_100_000


@dataclasses.dataclass(slots=True)
class _Transfer:
    """One value, of which fragments may be missing."""

    size_bytes: int
    offered_at_ms: int
    fragments: dict[int, bytes] = dataclasses.field(default_factory=dict)
    # Times at which fragments that are missing were requested.
    requested_at_ms: dict[int, int] = dataclasses.field(default_factory=dict)

    @property
    def count(self) -> int:
        """Return the number of fragments."""
        return fragment_count(self.size_bytes)

    @property
    def is_whole(self) -> bool:
        """Return whether no fragment is missing."""
        return len(self.fragments) == self.count

    def forget_lost(self, now_ms: int) -> None:
        """Forget the requests that have had no answer for too long."""
        for number, at_ms in list(self.requested_at_ms.items()):
            if now_ms - at_ms >= FRAGMENT_TIMEOUT_MS:
                del self.requested_at_ms[number]

    def record_arrival(self, number: int) -> None:
        """Forget the request of a fragment, and those lost before it."""
        at_ms = self.requested_at_ms.pop(number, 0)
        for other, requested_at_ms in list(self.requested_at_ms.items()):
            if requested_at_ms + MAX_REORDERING_MS < at_ms:
                del self.requested_at_ms[other]


def fragment_count(size_bytes: int) -> int:
    """Return the number of fragments of a packed value."""
    return -(-size_bytes // FRAGMENT_BYTES)


def cut(data: bytes, number: int) -> bytes:
    """Return one fragment of a packed value; empty if there is none."""
    return data[number * FRAGMENT_BYTES : (number + 1) * FRAGMENT_BYTES]


class Transfers:
    """Large values that a host receives, by their digests.

    The host requests a few fragments at a time, so that no other host sends
    more than the link carries. Whole values are kept until they are no longer
    offered: the rest of a view may have to be sent again.
    """

    def __init__(self) -> None:
        self._transfers: dict[bytes, _Transfer] = {}

    def offer(self, digest: bytes, size_bytes: int, now_ms: int) -> bool:
        """Record that a value is wanted; return whether it is received."""
        self._expire(now_ms)
        transfer = self._transfers.get(digest)
        if transfer is not None and transfer.size_bytes == size_bytes:
            transfer.offered_at_ms = now_ms
            return True
        if not 0 < size_bytes <= MAX_PACKED_BYTES:
            return False
        if transfer is None and not self._has_room(now_ms):
            return False
        self._transfers[digest] = _Transfer(size_bytes, now_ms)
        return True

    def add(self, digest: bytes, number: int, data: bytes) -> None:
        """Add one fragment; ignore it if nobody wants it."""
        transfer = self._transfers.get(digest)
        if transfer is None or not 0 <= number < transfer.count:
            return
        size_bytes = min(
            FRAGMENT_BYTES, transfer.size_bytes - number * FRAGMENT_BYTES
        )
        if len(data) == size_bytes:
            transfer.fragments[number] = data
            transfer.record_arrival(number)

    def whole(self, digest: bytes) -> bytes | None:
        """Return a packed value, or None while fragments are missing."""
        transfer = self._transfers.get(digest)
        if transfer is None or not transfer.is_whole:
            return None
        return b''.join(
            transfer.fragments[number] for number in range(transfer.count)
        )

    def discard(self, digest: bytes) -> None:
        """Forget a value that is not what its digest says."""
        self._transfers.pop(digest, None)

    def request(self, now_ms: int) -> list[tuple[bytes, int]]:
        """Return the fragments to request now, as digests and numbers."""
        self._expire(now_ms)
        for transfer in self._transfers.values():
            transfer.forget_lost(now_ms)
        requests: list[tuple[bytes, int]] = []
        free = WINDOW - sum(
            len(transfer.requested_at_ms)
            for transfer in self._transfers.values()
        )
        # A value that is still offered is needed first.
        transfers = sorted(
            self._transfers.items(), key=lambda item: -item[1].offered_at_ms
        )
        for digest, transfer in transfers:
            for number in range(transfer.count):
                if len(requests) >= free:
                    return requests
                if (
                    number not in transfer.fragments
                    and number not in transfer.requested_at_ms
                ):
                    transfer.requested_at_ms[number] = now_ms
                    requests.append((digest, number))
        return requests

    def _has_room(self, now_ms: int) -> bool:
        """Make room for one more; return whether there is any."""
        if len(self._transfers) < MAX_TRANSFERS:
            return True
        digest, oldest = min(
            self._transfers.items(),
            key=lambda item: (not item[1].is_whole, item[1].offered_at_ms),
        )
        is_unwanted = now_ms - oldest.offered_at_ms > REPEATED_OFFER_MS
        if oldest.is_whole or is_unwanted:
            del self._transfers[digest]
            return True
        return False

    def _expire(self, now_ms: int) -> None:
        for digest, transfer in list(self._transfers.items()):
            if now_ms - transfer.offered_at_ms > OFFER_TIMEOUT_MS:
                del self._transfers[digest]
