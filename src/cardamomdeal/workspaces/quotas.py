"""Lends the tokens of quotas to hosts, from one bucket for each workspace.

Answers the load of a workspace whose requests arrive at all hosts, a few at
each, and together stay around its limit.
"""

import collections
from collections.abc import Callable
import dataclasses
import math

from cardamomdeal.workspaces import allowance

# A request may wait this long for the next token.
MAX_RESERVATION_MS = 200
# Share of the tokens that are left which one host may borrow ahead of need.
MAX_AHEAD_SHARE = 0.25
# Those denied in this time are expected to return together.
DENIED_SPAN_MS = 1_000
MAX_DENIED = 10_000
# A hand-over is sent again for this time, as its message may be lost.
HAND_OVER_REPEAT_MS = 2_000
# A message carries no more.
MAX_HANDED_OVER_TOKENS = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Undisputed:
    """No other host lends the workspace's tokens."""

    since_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Disputed:
    """One other host may lend the workspace's tokens at the same time."""

    since_ms: int
    # Whether this host goes before the other one.
    is_first: bool


Standing = Undisputed | Disputed


@dataclasses.dataclass(frozen=True, slots=True)
class Lent:
    """Tokens for a host, usable after a wait and until they lapse."""

    tokens: int
    wait_ms: int
    lapse_ms: int
    # Names the loan when tokens are returned.
    counted_until_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Exhausted:
    """No token is left; those refused may return over a span of time."""

    due_in_ms: int
    spread_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """Answer to a host that asked for tokens."""

    lent: Lent | None
    # Set if fewer tokens were lent than requests wait.
    exhausted: Exhausted | None


class Bucket:
    """Tokens of one workspace, and those that count as used in the window."""

    def __init__(
        self, limit: allowance.Allowance, standing: Standing, now_ms: int
    ) -> None:
        self._limit = limit
        self._at_ms = now_ms
        self._tokens = limit.initial_tokens
        match standing:
            case Undisputed(since_ms):
                self._tokens += max(0, now_ms - since_ms) * limit.rate_per_ms
        self._tokens = min(self._tokens, limit.capacity)
        # Tokens by the time until which they count.
        self._lent: dict[int, int] = {}
        self.lent_count = 0
        self._denied_at_ms: collections.deque[int] = collections.deque(
            maxlen=MAX_DENIED
        )

    @property
    def tokens(self) -> float:
        """Return the tokens that are left, negative if some are reserved."""
        return self._tokens

    def is_full(self, now_ms: int) -> bool:
        """Return whether a new bucket would be no different."""
        self._expire(now_ms)
        missing = self._limit.capacity - self._tokens
        elapsed_ms = now_ms - self._at_ms
        return not self._lent and elapsed_ms * self._limit.rate_per_ms >= max(
            missing, 1
        )

    def tokens_to_hand_over(self, now_ms: int) -> int:
        """Return the tokens for the host that lends from now on."""
        earned = max(0, now_ms - self._at_ms) * self._limit.rate_per_ms
        tokens = min(self._limit.capacity, self._tokens + earned)
        return math.floor(max(0.0, min(tokens, MAX_HANDED_OVER_TOKENS)))

    def take_over(self, tokens: int, at_ms: int, now_ms: int) -> None:
        """Go on with what the host that lent before had left at a time."""
        earned = max(0, now_ms - at_ms) * self._limit.rate_per_ms
        self._tokens = min(self._limit.capacity, tokens + earned)
        self._at_ms = now_ms

    def reduce_to(self, tokens: int, now_ms: int) -> None:
        """Keep no more than another host had left that has lent as well."""
        self._tokens = min(self._tokens, tokens)
        self._at_ms = now_ms

    def set_limit(self, limit: allowance.Allowance) -> None:
        """Replace the limit; a higher burst is usable at once."""
        added = max(0.0, limit.capacity - self._limit.capacity)
        self._tokens = min(self._tokens + added, limit.capacity)
        self._limit = limit

    def lend(
        self, need: int, ahead: int, standing: Standing, now_ms: int
    ) -> Loan:
        """Lend tokens for requests that wait and for those to come."""
        limit = self._limit
        match standing:
            case Undisputed():
                rate_per_ms, burst = limit.rate_per_ms, limit.burst
            case Disputed(_, is_first):
                rate_per_ms = limit.disputed_rate_per_ms
                burst = limit.burst if is_first else 0.0
        self._advance(rate_per_ms, standing, now_ms)
        ceiling = limit.ceiling(
            limit.rate_per_ms
            if isinstance(standing, Undisputed)
            else limit.rate_per_ms / 2,
            burst,
        )
        room = max(0, math.floor(ceiling) - self.lent_count)
        reservable = MAX_RESERVATION_MS * rate_per_ms
        needed = max(0, min(need, math.floor(self._tokens + reservable), room))
        spare = math.floor(MAX_AHEAD_SHARE * (self._tokens - needed))
        tokens = needed + max(0, min(ahead, spare, room - needed))
        return Loan(
            self._lend(tokens, rate_per_ms, now_ms) if tokens else None,
            self._deny(need - needed, rate_per_ms, room, now_ms)
            if needed < need
            else None,
        )

    def take_back(self, counted_until_ms: int, tokens: int) -> None:
        """Take back tokens of a loan that were not used."""
        tokens = min(tokens, self._lent.get(counted_until_ms, 0))
        if tokens > 0:
            self._lent[counted_until_ms] -= tokens
            self.lent_count -= tokens
            self._tokens = min(self._limit.capacity, self._tokens + tokens)

    def _advance(
        self, rate_per_ms: float, standing: Standing, now_ms: int
    ) -> None:
        if standing.since_ms > self._at_ms:
            # Another host has lent meanwhile.
            self._tokens = min(self._tokens, self._limit.initial_tokens)
            self._at_ms = min(standing.since_ms, now_ms)
        elapsed_ms = max(0, now_ms - self._at_ms)
        self._tokens = min(
            self._limit.capacity, self._tokens + elapsed_ms * rate_per_ms
        )
        self._at_ms = now_ms
        self._expire(now_ms)

    def _expire(self, now_ms: int) -> None:
        # A later entry may expire a little earlier; it then counts too long.
        while self._lent:
            counted_until_ms = next(iter(self._lent))
            if counted_until_ms > now_ms:
                return
            self.lent_count -= self._lent.pop(counted_until_ms)

    def _lend(self, tokens: int, rate_per_ms: float, now_ms: int) -> Lent:
        self._tokens -= tokens
        wait_ms = math.ceil(max(0.0, -self._tokens / rate_per_ms))
        lapse_ms = self._limit.lapse_ms
        counted_until_ms = now_ms + wait_ms + lapse_ms + self._limit.window_ms
        self._lent[counted_until_ms] = (
            self._lent.get(counted_until_ms, 0) + tokens
        )
        self.lent_count += tokens
        return Lent(tokens, wait_ms, lapse_ms, counted_until_ms)

    def _deny(
        self, denied: int, rate_per_ms: float, room: int, now_ms: int
    ) -> Exhausted:
        self._denied_at_ms.extend([now_ms] * min(denied, MAX_DENIED))
        while self._denied_at_ms[0] <= now_ms - DENIED_SPAN_MS:
            self._denied_at_ms.popleft()
        due_in_ms = (1 - self._tokens) / rate_per_ms
        if not room and self._lent:
            due_in_ms = max(due_in_ms, next(iter(self._lent)) - now_ms)
        spread_ms = len(self._denied_at_ms) / rate_per_ms
        return Exhausted(
            math.ceil(due_in_ms),
            math.ceil(min(spread_ms, self._limit.window_ms)),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """What a host has left of the tokens that another lends from now on."""

    number: int
    tokens: int
    # Names the hand-over; a time of the host that hands over.
    at_ms: int


class Lender:
    """Buckets of the workspaces whose tokens this host lends."""

    def __init__(self) -> None:
        self._buckets: dict[int, Bucket] = {}
        # What other hosts had left, and when it came.
        self._taken_over: dict[int, tuple[HandOver, int]] = {}
        # Sent again for a while, as the message may be lost.
        self._handed_over: dict[int, HandOver] = {}

    def numbers(self) -> tuple[int, ...]:
        """Return the workspaces that have a bucket."""
        return tuple(self._buckets)

    def lend(
        self,
        limit: allowance.Allowance,
        need: int,
        ahead: int,
        standing: Standing,
        now_ms: int,
    ) -> Loan:
        """Lend tokens of a workspace."""
        bucket = self._buckets.get(limit.number)
        if bucket is None:
            bucket = Bucket(limit, standing, now_ms)
            if limit.number in self._taken_over:
                taken_over, at_ms = self._taken_over[limit.number]
                bucket.take_over(taken_over.tokens, at_ms, now_ms)
            self._buckets[limit.number] = bucket
        bucket.set_limit(limit)
        return bucket.lend(need, ahead, standing, now_ms)

    def take_back(
        self, number: int, counted_until_ms: int, tokens: int
    ) -> None:
        """Take back tokens of a loan that were not used."""
        bucket = self._buckets.get(number)
        if bucket is not None:
            bucket.take_back(counted_until_ms, tokens)

    def hand_over(
        self, succeeds: Callable[[int], bool], now_ms: int
    ) -> tuple[HandOver, ...]:
        """Drop the buckets of the workspaces that another host lends."""
        for number, bucket in list(self._buckets.items()):
            if succeeds(number):
                del self._buckets[number]
                self._handed_over[number] = HandOver(
                    number, bucket.tokens_to_hand_over(now_ms), now_ms
                )
        return tuple(
            handed_over
            for number, handed_over in self._handed_over.items()
            if succeeds(number)
        )

    def take_over(self, handed_over: HandOver, now_ms: int) -> None:
        """Go on with what the host that lent before had left."""
        number = handed_over.number
        known = self._taken_over.get(number)
        if known is not None and known[0] == handed_over:
            # It was sent again.
            return
        self._taken_over[number] = (handed_over, now_ms)
        bucket = self._buckets.get(number)
        if bucket is not None:
            bucket.reduce_to(handed_over.tokens, now_ms)

    def drop_full(self, now_ms: int) -> None:
        """Drop the buckets that a new one would equal."""
        for number, bucket in list(self._buckets.items()):
            if bucket.is_full(now_ms):
                del self._buckets[number]
        self._handed_over = {
            number: handed_over
            for number, handed_over in self._handed_over.items()
            if now_ms - handed_over.at_ms <= HAND_OVER_REPEAT_MS
        }
        # Kept for longer than it may be sent again.
        self._taken_over = {
            number: (handed_over, at_ms)
            for number, (handed_over, at_ms) in self._taken_over.items()
            if now_ms - at_ms <= 2 * HAND_OVER_REPEAT_MS
        }

    def lent_count(self) -> int:
        """Return the tokens that count as used, of all workspaces."""
        return sum(bucket.lent_count for bucket in self._buckets.values())
