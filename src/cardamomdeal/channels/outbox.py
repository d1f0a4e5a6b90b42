"""Short-lived queue of messages for a peer that is connecting."""

import collections
import dataclasses

MAX_QUEUED_MESSAGES = 64
MESSAGE_TTL_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedMessage:
    data: bytes
    expires_at_ms: int


class Outbox:
    """Bounded queue of messages for one peer, each with an expiry time."""

    def __init__(self) -> None:
        self._queue: collections.deque[_QueuedMessage] = collections.deque()

    def __len__(self) -> int:
        return len(self._queue)

    def put(self, data: bytes, now_ms: int) -> bool:
        """Queue a message; return False when the queue is full."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            return False
        self._queue.append(_QueuedMessage(data, now_ms + MESSAGE_TTL_MS))
        return True

    def peek(self) -> bytes | None:
        """Return the oldest message, or None when the queue is empty."""
        return self._queue[0].data if self._queue else None

    def remove_oldest(self) -> None:
        """Remove the oldest message."""
        self._queue.popleft()

    def expire(self, now_ms: int) -> int:
        """Drop expired messages; return their number."""
        dropped = 0
        while self._queue and self._queue[0].expires_at_ms <= now_ms:
            self._queue.popleft()
            dropped += 1
        return dropped
