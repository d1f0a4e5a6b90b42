"""Holds the tokens that a host has borrowed, and the requests that wait.

Answers the load of a host that sees most workspaces once in many seconds and
a few of them all the time.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math
import random

from cardamomdeal.workspaces import allowance
from cardamomdeal.workspaces import quotas

# A lender in the same region answers within a few milliseconds.
RETRY_AFTER_MS = 80
# Questions to the lender before the host that stands in for it is asked.
MAX_QUESTIONS_TO_LENDER = 2
# Without an answer for this time the host decides alone.
GIVE_UP_MS = 600
# After that, requests do not wait for an answer again for this time.
UNREACHABLE_MS = 200
RATE_SPAN_MS = 2_000
MAX_ARRIVALS = 4_096
# Share of the time until tokens lapse for which they are borrowed ahead.
AHEAD_SHARE = 0.5
# With fewer requests in that time, most tokens ahead of need would lapse.
MIN_AHEAD_TOKENS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """Permission to run one request, to be returned if it does not run."""

    number: int
    # None for one of the host's own, without a lender.
    lender: str | None
    counted_until_ms: int
    lapses_at_ms: int

    def to_return(self) -> 'Return | None':
        """Return what gives the token back to its lender, if it has one."""
        if self.lender is None:
            return None
        return Return(self.lender, self.number, self.counted_until_ms, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request may run."""

    token: Token


@dataclasses.dataclass(frozen=True, slots=True)
class OverLimit:
    """The workspace has used its quota."""

    retry_after_ms: int
    lender: str
    # Since the lender said so.
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoLender:
    """No lender answered, and the host's own allowance is used up."""

    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """The decision follows when a lender answers."""


Decision = Granted | OverLimit | NoLender | Asked
Outcome = Granted | OverLimit | NoLender


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """Tokens to ask a lender for."""

    number: int
    need: int
    ahead: int
    # Number of times that it was asked before.
    attempt: int
    first_asked_at_ms: int


def merged(questions: Iterable[Question]) -> list[Question]:
    """Return the questions with one for each workspace."""
    by_number: dict[int, Question] = {}
    for question in questions:
        known = by_number.get(question.number)
        if known is not None:
            question = Question(
                question.number,
                known.need + question.need,
                known.ahead + question.ahead,
                max(known.attempt, question.attempt),
                min(known.first_asked_at_ms, question.first_asked_at_ms),
            )
        by_number[question.number] = question
    return list(by_number.values())


@dataclasses.dataclass(slots=True)
class _Grant:
    lender: str
    tokens: int
    counted_until_ms: int
    usable_at_ms: int
    lapses_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Tokens that go back to their lender."""

    lender: str
    number: int
    counted_until_ms: int
    tokens: int


def candidate_index(attempt: int) -> int:
    """Return which host to ask: 0 for the lender, 1 for its stand-in."""
    if attempt < MAX_QUESTIONS_TO_LENDER:
        return 0
    return (attempt - MAX_QUESTIONS_TO_LENDER + 1) % 2


class Hand:
    """Tokens and waiting requests of one workspace."""

    def __init__(self, limit: allowance.Allowance, rng: random.Random) -> None:
        self.limit = limit
        self._rng = rng
        self._grants: collections.deque[_Grant] = collections.deque()
        # Numbers and arrivals of the requests that wait.
        self._waiting: collections.deque[tuple[int, int]] = collections.deque()
        self._arrivals_ms: collections.deque[int] = collections.deque(
            maxlen=MAX_ARRIVALS
        )
        # Tokens that were asked for and not answered yet.
        self._asked_need = 0
        self._asked_ahead = 0
        self._exhausted: quotas.Exhausted | None = None
        self._exhausted_at_ms = 0
        self._exhausted_by = ''
        self._unreachable_until_ms = 0
        # Uses of the host's own allowance.
        self._own_uses_ms: collections.deque[int] = collections.deque()

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait for a token."""
        return len(self._waiting)

    @property
    def held(self) -> int:
        """Return the tokens that are held."""
        return sum(grant.tokens for grant in self._grants)

    def is_idle(self, now_ms: int) -> bool:
        """Return whether nothing would be lost with this hand."""
        self._forget_arrivals(now_ms)
        self._forget_own_uses(now_ms)
        return not (
            self._grants
            or self._waiting
            or self._arrivals_ms
            or self._own_uses_ms
            or self._asked_need
            or self._asked_ahead
        )

    def request(
        self, request_number: int, own_tokens: int, now_ms: int
    ) -> Decision:
        """Decide on a request that has just arrived."""
        self._arrivals_ms.append(now_ms)
        # Tokens that are not usable yet belong to the requests that wait.
        token = None if self._waiting else self._take(now_ms)
        if token is not None:
            return Granted(token)
        if self._is_exhausted(now_ms):
            return self._over_limit(now_ms)
        if now_ms < self._unreachable_until_ms:
            return self._decide_alone(own_tokens, now_ms)
        self._waiting.append((request_number, now_ms))
        return Asked()

    def withdraw(self, request_number: int) -> None:
        """Forget a request whose caller has left."""
        self._waiting = collections.deque(
            entry for entry in self._waiting if entry[0] != request_number
        )

    def give_back(self, token: Token, now_ms: int) -> Return | None:
        """Keep the token of a request that did not run, or return it."""
        if token.lender is None:
            if self._own_uses_ms:
                self._own_uses_ms.popleft()
            return None
        if token.lapses_at_ms <= now_ms:
            return token.to_return()
        self._grants.appendleft(
            _Grant(
                token.lender,
                1,
                token.counted_until_ms,
                now_ms,
                token.lapses_at_ms,
            )
        )
        return None

    def next_question(self, now_ms: int) -> Question | None:
        """Return what to ask for now, if anything."""
        held = self.held
        need = max(0, len(self._waiting) - held - self._asked_need)
        asked = self._asked_need + need + self._asked_ahead
        spare = held + asked - len(self._waiting)
        target = self._ahead_target(now_ms)
        ahead = max(0, target - spare) if spare <= target / 2 else 0
        if self._is_exhausted(now_ms) or now_ms < self._unreachable_until_ms:
            ahead = 0
        if not need and not ahead:
            return None
        self._asked_need += need
        self._asked_ahead += ahead
        # The one that waits longest may have lost its token: it lapsed.
        since_ms = self._waiting[0][1] if need else now_ms
        return Question(self.limit.number, need, ahead, 0, since_ms)

    def receive(
        self,
        question: Question,
        loan: quotas.Loan,
        lender: str,
        asked_at_ms: int,
        now_ms: int,
    ) -> list[tuple[int, Outcome]]:
        """Take the answer to a question; return what it decides."""
        self._forget_question(question)
        tokens = 0
        if loan.lent is not None:
            tokens = self._add_grant(loan.lent, lender, asked_at_ms, now_ms)
            self._exhausted = None
        decided = self.resume(now_ms)
        if loan.exhausted is not None:
            self._exhausted = loan.exhausted
            self._exhausted_at_ms = now_ms
            self._exhausted_by = lender
            decided += self._deny(question.need - tokens, now_ms)
        return decided

    def receive_late(
        self,
        loan: quotas.Loan,
        lender: str,
        asked_at_ms: int,
        now_ms: int,
    ) -> list[tuple[int, Outcome]]:
        """Take the answer to a question that was asked again meanwhile."""
        if loan.lent is not None:
            self._add_grant(loan.lent, lender, asked_at_ms, now_ms)
        return self.resume(now_ms)

    def give_up(
        self, question: Question, own_tokens: int, now_ms: int
    ) -> list[tuple[int, Outcome]]:
        """Decide alone on the requests of a question without an answer."""
        self._forget_question(question)
        if not question.need:
            return []
        self._unreachable_until_ms = now_ms + UNREACHABLE_MS
        decided: list[tuple[int, Outcome]] = []
        for _ in range(min(question.need, len(self._waiting))):
            decided.append(
                (
                    self._waiting.popleft()[0],
                    self._decide_alone(own_tokens, now_ms),
                )
            )
        return decided

    def resume(self, now_ms: int) -> list[tuple[int, Outcome]]:
        """Give usable tokens to the requests that wait."""
        decided: list[tuple[int, Outcome]] = []
        while self._waiting:
            token = self._take(now_ms)
            if token is None:
                break
            decided.append((self._waiting.popleft()[0], Granted(token)))
        return decided

    def next_event_at_ms(self) -> int | None:
        """Return when a token becomes usable or lapses, if one is held."""
        if not self._grants:
            return None
        if self._waiting:
            return min(grant.usable_at_ms for grant in self._grants)
        return min(grant.lapses_at_ms for grant in self._grants)

    def pop_lapsed(self, now_ms: int) -> list[Return]:
        """Remove the tokens that have lapsed, to be returned."""
        lapsed = [
            Return(
                grant.lender,
                self.limit.number,
                grant.counted_until_ms,
                grant.tokens,
            )
            for grant in self._grants
            if grant.lapses_at_ms <= now_ms
        ]
        if lapsed:
            self._grants = collections.deque(
                grant for grant in self._grants if grant.lapses_at_ms > now_ms
            )
        return lapsed

    def _take(self, now_ms: int) -> Token | None:
        for grant in self._grants:
            if grant.usable_at_ms <= now_ms < grant.lapses_at_ms:
                grant.tokens -= 1
                if not grant.tokens:
                    self._grants.remove(grant)
                return Token(
                    self.limit.number,
                    grant.lender,
                    grant.counted_until_ms,
                    grant.lapses_at_ms,
                )
        return None

    def _add_grant(
        self, lent: quotas.Lent, lender: str, asked_at_ms: int, now_ms: int
    ) -> int:
        grant = _Grant(
            lender,
            lent.tokens,
            lent.counted_until_ms,
            now_ms + lent.wait_ms,
            asked_at_ms + lent.wait_ms + lent.lapse_ms,
        )
        self._grants.append(grant)
        return lent.tokens

    def _forget_question(self, question: Question) -> None:
        self._asked_need -= question.need
        self._asked_ahead -= question.ahead

    def _deny(self, count: int, now_ms: int) -> list[tuple[int, Outcome]]:
        """Refuse the requests that came last and that no token waits for."""
        unserved = len(self._waiting) - self.held - self._asked_need
        return [
            (self._waiting.pop()[0], self._over_limit(now_ms))
            for _ in range(min(count, max(0, unserved)))
        ]

    def _is_exhausted(self, now_ms: int) -> bool:
        known = self._exhausted
        return (
            known is not None
            and now_ms < self._exhausted_at_ms + known.due_in_ms
        )

    def _over_limit(self, now_ms: int) -> OverLimit:
        known = self._exhausted or quotas.Exhausted(0, 0)
        age_ms = now_ms - self._exhausted_at_ms
        due_in_ms = max(0, known.due_in_ms - age_ms)
        spread_ms = self._rng.uniform(0, known.spread_ms)
        return OverLimit(
            math.ceil(due_in_ms + spread_ms), self._exhausted_by, age_ms
        )

    def _decide_alone(self, own_tokens: int, now_ms: int) -> Outcome:
        self._forget_own_uses(now_ms)
        if len(self._own_uses_ms) < own_tokens:
            self._own_uses_ms.append(now_ms)
            return Granted(Token(self.limit.number, None, 0, 0))
        wait_ms = max(0, self._unreachable_until_ms - now_ms)
        return NoLender(
            math.ceil(wait_ms + self._rng.uniform(0, UNREACHABLE_MS))
        )

    def _ahead_target(self, now_ms: int) -> int:
        self._forget_arrivals(now_ms)
        rate_per_ms = len(self._arrivals_ms) / RATE_SPAN_MS
        target = AHEAD_SHARE * self.limit.lapse_ms * rate_per_ms
        return math.floor(target) if target >= MIN_AHEAD_TOKENS else 0

    def _forget_arrivals(self, now_ms: int) -> None:
        while (
            self._arrivals_ms and self._arrivals_ms[0] <= now_ms - RATE_SPAN_MS
        ):
            self._arrivals_ms.popleft()

    def _forget_own_uses(self, now_ms: int) -> None:
        since_ms = now_ms - self.limit.window_ms
        while self._own_uses_ms and self._own_uses_ms[0] <= since_ms:
            self._own_uses_ms.popleft()
