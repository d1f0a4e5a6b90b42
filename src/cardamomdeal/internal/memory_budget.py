"""Bound on the memory that bodies in flight take together."""

import threading

# A body up to this size is held whatever others take, up to the reserve.
SMALL_BODY_BYTES = 256 * 1024
SMALL_BODIES_RESERVE_BYTES = 16 * 1024**2
# Requests without a body find room beside many small ones.
TINY_BODY_BYTES = 4 * 1024
TINY_SHARE_OF_RESERVE = 1 / 8
# A larger body may take up to this multiple of what is still free. So there is
# always room for others, however many bodies without an end arrive.
MAX_SHARE_OF_FREE = 2
# While all others together hold less than this share of the budget, a body
# may take what is left: the largest one must be served by an idle host.
MAX_SHARE_OF_OTHERS = 1 / 16


class MemoryBudget:
    """Memory of a process for bodies, and how much of it is held.

    Many threads read bodies, so it is guarded by a lock.
    """

    def __init__(
        self,
        limit_bytes: int,
        reserve_bytes: int = SMALL_BODIES_RESERVE_BYTES,
    ) -> None:
        self.limit_bytes = limit_bytes
        # What small and tiny bodies may take beyond the limit.
        self._tiny_reserve_bytes = reserve_bytes
        self._small_reserve_bytes = round(
            reserve_bytes * (1 - TINY_SHARE_OF_RESERVE)
        )
        self._max_others_bytes = round(MAX_SHARE_OF_OTHERS * limit_bytes)
        self._held_bytes = 0
        self._lock = threading.Lock()

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes held by all reservations."""
        with self._lock:
            return self._held_bytes

    def _try_add(self, own_bytes: int, added_bytes: int) -> bool:
        with self._lock:
            held_bytes = self._held_bytes + added_bytes
            free_bytes = self.limit_bytes - held_bytes
            own_bytes += added_bytes
            if own_bytes <= TINY_BODY_BYTES:
                is_allowed = free_bytes + self._tiny_reserve_bytes >= 0
            elif own_bytes <= SMALL_BODY_BYTES:
                is_allowed = free_bytes + self._small_reserve_bytes >= 0
            elif held_bytes - own_bytes < self._max_others_bytes:
                is_allowed = free_bytes >= 0
            else:
                is_allowed = own_bytes <= MAX_SHARE_OF_FREE * free_bytes
            if is_allowed:
                self._held_bytes = held_bytes
            return is_allowed

    def _remove(self, removed_bytes: int) -> None:
        with self._lock:
            self._held_bytes -= removed_bytes


class Reservation:
    """Part of a budget that the bodies of one request take."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.held_bytes = 0

    def __str__(self) -> str:
        return (
            f'{self.held_bytes} bytes held for this request, '
            f'{self._budget.held_bytes} of {self._budget.limit_bytes} in all'
        )

    def try_add(self, added_bytes: int) -> bool:
        """Hold more bytes; return False if they do not fit the budget."""
        if not self._budget._try_add(self.held_bytes, added_bytes):
            return False
        self.held_bytes += added_bytes
        return True

    def split_off(self, split_bytes: int) -> 'Reservation':
        """Return a reservation that takes over some of the held bytes."""
        other = Reservation(self._budget)
        other.held_bytes = split_bytes
        self.held_bytes -= split_bytes
        return other

    def reduce_to(self, kept_bytes: int) -> None:
        """Release all but the given number of bytes."""
        released_bytes = self.held_bytes - kept_bytes
        if released_bytes > 0:
            self.held_bytes = kept_bytes
            self._budget._remove(released_bytes)
