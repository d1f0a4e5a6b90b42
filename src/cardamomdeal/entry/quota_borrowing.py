"""Borrows tokens for the requests of this host."""

import collections
from collections.abc import Iterable
import dataclasses
import random

from cardamomdeal.entry import quota_hosts
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.workspaces import allowance
from cardamomdeal.workspaces import quotas
from cardamomdeal.workspaces import token_holder

MAX_SESSION = 1_000_000
# Workspaces with metrics of their own.
REPORTED_WORKSPACES = 20

Decided = tuple[int, token_holder.Outcome]


@dataclasses.dataclass(frozen=True, slots=True)
class _Asked:
    """Question that was sent, until its answer cannot be used any more."""

    question: token_holder.Question
    lender: str
    asked_at_ms: int


class QuotaBorrowing:
    """Tokens that this host holds, and its questions to lenders."""

    def __init__(
        self,
        hosts: quota_hosts.QuotaHosts,
        rng: random.Random,
        counters: collections.Counter[str],
    ) -> None:
        self._hosts = hosts
        self._rng = rng
        self._counters = counters
        self._denied_by_workspace: collections.Counter[str] = (
            collections.Counter()
        )
        self._session = rng.randrange(MAX_SESSION)
        self._sequence = 0
        self._hands: dict[int, token_holder.Hand] = {}
        # Those with tokens, or with requests that wait.
        self._busy: dict[int, token_holder.Hand] = {}
        # By number of the message and workspace: unanswered questions, and
        # those that were asked again.
        self._asked: dict[tuple[int, int], _Asked] = {}
        self._asked_again: dict[tuple[int, int], _Asked] = {}
        self._questions: dict[str, list[token_holder.Question]] = (
            collections.defaultdict(list)
        )
        self._returns: dict[str, list[token_holder.Return]] = (
            collections.defaultdict(list)
        )
        self._decided: list[Decided] = []

    @property
    def held_tokens(self) -> int:
        """Return the tokens that were borrowed and not used."""
        return sum(hand.held for hand in self._hands.values())

    @property
    def is_active(self) -> bool:
        """Return whether requests with quotas have come lately."""
        return bool(self._hands)

    @property
    def has_messages(self) -> bool:
        """Return whether there are questions or tokens to send."""
        return bool(self._questions or self._returns)

    @property
    def has_decided(self) -> bool:
        """Return whether it was decided on requests that wait."""
        return bool(self._decided)

    def denied_by_workspace(self) -> dict[str, int]:
        """Return counters of the largest workspaces and of the rest."""
        largest = self._denied_by_workspace.most_common(REPORTED_WORKSPACES)
        rest = self._denied_by_workspace.total() - sum(n for _, n in largest)
        counters = {f'quota.denied.{name}': count for name, count in largest}
        return {**counters, 'quota.denied_rest': rest}

    def request(
        self, request_number: int, limit: allowance.Allowance, now_ms: int
    ) -> token_holder.Decision:
        """Decide on a request, or ask for a token."""
        hand = self._hands.get(limit.number)
        if hand is None:
            hand = token_holder.Hand(limit, self._rng)
            self._hands[limit.number] = hand
        hand.limit = limit
        self._return(hand.pop_lapsed(now_ms))
        decision = hand.request(
            request_number, self._own_tokens(limit, now_ms), now_ms
        )
        self._ask(hand, now_ms)
        self._note_busy(hand)
        match decision:
            case token_holder.Asked():
                return self.pop_decision(request_number)
            case _:
                self._count(limit.name, decision)
                return decision

    def withdraw(self, request_number: int, number: int) -> None:
        """Forget a request that waits, as its caller has left."""
        hand = self._hands.get(number)
        if hand is not None:
            hand.withdraw(request_number)

    def give_back(self, token: token_holder.Token, now_ms: int) -> None:
        """Take back the token of a request that no server ran."""
        self._counters['quota.returned'] += 1
        hand = self._hands.get(token.number)
        if hand is None:
            # It was dropped as idle while the request was under way.
            returned = token.to_return()
        else:
            returned = hand.give_back(token, now_ms)
            self._decide(hand.resume(now_ms), hand)
        if returned is not None:
            self._return((returned,))

    def pop_decided(self) -> list[Decided]:
        """Return the requests on which it was decided since."""
        decided, self._decided = self._decided, []
        return decided

    def flush(self, now_ms: int) -> None:
        """Send what waits, to each lender in one message."""
        for lender in sorted(self._questions.keys() | self._returns.keys()):
            self._hosts.send_to(lender, self._pop_message(lender, now_ms))

    def pop_own_questions(self, now_ms: int) -> protocol.QuotaQuestions | None:
        """Return what this host asks itself."""
        if self._hosts.name in self._questions.keys() | self._returns.keys():
            return self._pop_message(self._hosts.name, now_ms)
        return None

    def next_event_at_ms(self) -> int | None:
        """Return when `wake` is to be called, or None if nothing is due."""
        times_ms = [
            asked.asked_at_ms + token_holder.RETRY_AFTER_MS
            for asked in self._asked.values()
        ]
        for hand in self._busy.values():
            at_ms = hand.next_event_at_ms()
            if at_ms is not None:
                times_ms.append(at_ms)
        return min(times_ms, default=None)

    def wake(self, now_ms: int) -> None:
        """Use and return tokens, and ask again, where that is due."""
        for hand in list(self._busy.values()):
            self._return(hand.pop_lapsed(now_ms))
            self._decide(hand.resume(now_ms), hand)
            self._ask(hand, now_ms)
        for key, asked in list(self._asked.items()):
            if now_ms - asked.asked_at_ms >= token_holder.RETRY_AFTER_MS:
                del self._asked[key]
                self._asked_again[key] = asked
                self._ask_again(asked.question, now_ms)

    def upkeep(self, now_ms: int) -> None:
        """Drop what is of no use any more."""
        for number, hand in list(self._hands.items()):
            if hand.is_idle(now_ms):
                del self._hands[number]
        for key, asked in list(self._asked_again.items()):
            if now_ms - asked.asked_at_ms > allowance.MAX_LAPSE_MS:
                del self._asked_again[key]

    def receive_answers(
        self, message: protocol.QuotaAnswers, now_ms: int
    ) -> None:
        """Take the answers of a lender."""
        if message.session == self._session:
            for answer in message.answers:
                self.receive_answer(message.sequence, answer, now_ms)

    def receive_answer(
        self,
        sequence: int,
        answer: protocol.QuotaLoan | protocol.QuotaElsewhere,
        now_ms: int,
    ) -> None:
        """Take the answer to one question, unless it is a copy."""
        key = (sequence, answer.workspace)
        hand = self._hands.get(answer.workspace)
        late = self._asked_again.pop(key, None)
        asked = self._asked.pop(key, None)
        if hand is None:
            return
        match answer:
            case protocol.QuotaLoan() if asked is not None:
                decided = hand.receive(
                    asked.question,
                    _to_loan(answer),
                    asked.lender,
                    asked.asked_at_ms,
                    now_ms,
                )
                self._decide(decided, hand)
            case protocol.QuotaLoan() if late is not None:
                decided = hand.receive_late(
                    _to_loan(answer), late.lender, late.asked_at_ms, now_ms
                )
                self._decide(decided, hand)
            case protocol.QuotaElsewhere() if asked is not None:
                first_to_stand_in = token_holder.MAX_QUESTIONS_TO_LENDER
                if asked.question.attempt < first_to_stand_in:
                    question = dataclasses.replace(
                        asked.question, attempt=first_to_stand_in - 1
                    )
                    self._ask_again(question, now_ms)
                else:
                    # Neither lends yet; asked again when that is due.
                    self._asked[key] = asked

    def _ask(self, hand: token_holder.Hand, now_ms: int) -> None:
        question = hand.next_question(now_ms)
        if question is None:
            return
        if now_ms - question.first_asked_at_ms >= token_holder.GIVE_UP_MS:
            self._give_up(question, now_ms)
        else:
            self._send_question(question, now_ms)

    def _ask_again(self, question: token_holder.Question, now_ms: int) -> None:
        elapsed_ms = now_ms - question.first_asked_at_ms
        if elapsed_ms >= token_holder.GIVE_UP_MS:
            self._give_up(question, now_ms)
            return
        self._send_question(
            dataclasses.replace(question, attempt=question.attempt + 1),
            now_ms,
        )

    def _send_question(
        self, question: token_holder.Question, now_ms: int
    ) -> None:
        candidates = self._hosts.lenders.candidates(question.number, now_ms)
        if not candidates:
            self._give_up(question, now_ms)
            return
        index = token_holder.candidate_index(question.attempt)
        self._questions[candidates[index % len(candidates)]].append(question)

    def _give_up(self, question: token_holder.Question, now_ms: int) -> None:
        hand = self._hands.get(question.number)
        if hand is not None:
            own_tokens = self._own_tokens(hand.limit, now_ms)
            self._decide(hand.give_up(question, own_tokens, now_ms), hand)

    def _own_tokens(self, limit: allowance.Allowance, now_ms: int) -> int:
        """Return what this host may run in a window without a lender."""
        position = self._hosts.position(now_ms)
        if position is None:
            return 0
        return allowance.fallback_tokens(limit, *position)

    def _pop_message(
        self, lender: str, now_ms: int
    ) -> protocol.QuotaQuestions:
        self._sequence += 1
        # An answer names its workspace, so each has one question.
        questions = token_holder.merged(self._questions.pop(lender, []))
        for question in questions:
            self._asked[self._sequence, question.number] = _Asked(
                question, lender, now_ms
            )
        return protocol.QuotaQuestions(
            self._session,
            self._sequence,
            tuple(
                protocol.QuotaQuestion(
                    question.number, question.need, question.ahead
                )
                for question in questions
            ),
            tuple(
                protocol.QuotaReturn(
                    returned.number,
                    returned.counted_until_ms,
                    returned.tokens,
                )
                for returned in self._returns.pop(lender, [])
            ),
        )

    def _return(self, returns: Iterable[token_holder.Return]) -> None:
        for returned in returns:
            self._returns[returned.lender].append(returned)

    def _decide(self, decided: list[Decided], hand: token_holder.Hand) -> None:
        self._note_busy(hand)
        for _, outcome in decided:
            self._count(hand.limit.name, outcome)
        self._decided += decided

    def pop_decision(self, request_number: int) -> token_holder.Decision:
        """Return the decision on a request if it has been made meanwhile."""
        for index, (number, outcome) in enumerate(self._decided):
            if number == request_number:
                del self._decided[index]
                return outcome
        return token_holder.Asked()

    def _note_busy(self, hand: token_holder.Hand) -> None:
        number = hand.limit.number
        if hand.next_event_at_ms() is None:
            self._busy.pop(number, None)
        else:
            self._busy[number] = hand

    def _count(self, name: str, outcome: token_holder.Decision) -> None:
        match outcome:
            case token_holder.Granted(token):
                is_own = token.lender is None
                self._counters['quota.granted'] += 1
                self._counters['quota.granted_by_fallback'] += is_own
            case token_holder.OverLimit():
                self._counters['quota.denied'] += 1
                self._denied_by_workspace[name] += 1
            case token_holder.NoLender():
                self._counters['quota.refused_by_fallback'] += 1


def _to_loan(answer: protocol.QuotaLoan) -> quotas.Loan:
    return quotas.Loan(
        quotas.Lent(
            answer.tokens,
            answer.wait_ms,
            answer.lapse_ms,
            answer.counted_until_ms,
        )
        if answer.tokens
        else None,
        None
        if answer.due_in_ms is None
        else quotas.Exhausted(answer.due_in_ms, answer.spread_ms),
    )
