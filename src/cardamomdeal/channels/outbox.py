"""Messages that wait a moment for a connection."""

import collections
import dataclasses

MAX_WAITING = 64
WAIT_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    data: bytes
    expires_at_ms: int


class Outbox:
    """Hold a few messages for one peer, none for long."""

    def __init__(self) -> None:
        self._waiting: collections.deque[_Waiting] = collections.deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def put(self, data: bytes, now_ms: int) -> bool:
        """Keep a message; return False when there is no room."""
        if len(self._waiting) >= MAX_WAITING:
            return False
        self._waiting.append(_Waiting(data, now_ms + WAIT_MS))
        return True

    def first(self) -> bytes | None:
        """Return the message that is next to be sent."""
        return self._waiting[0].data if self._waiting else None

    def remove_first(self) -> None:
        """Drop the message that was sent."""
        self._waiting.popleft()

    def expire(self, now_ms: int) -> int:
        """Drop messages that waited too long; return how many."""
        dropped = 0
        while self._waiting and self._waiting[0].expires_at_ms <= now_ms:
            self._waiting.popleft()
            dropped += 1
        return dropped
