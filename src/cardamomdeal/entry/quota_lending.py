"""Answers the questions of hosts for tokens, and agrees on who lends."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging

from cardamomdeal.entry import quota_hosts
from cardamomdeal.internal import address
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.workspaces import allowance
from cardamomdeal.workspaces import lenders
from cardamomdeal.workspaces import quotas

# The first question about a workspace waits this long for consents.
CONSENT_WAIT_MS = 40
CONSENT_RETRY_MS = 100
CONSENT_RENEWAL_MS = lenders.CONSENT_MS // 2
# Numbers of earlier messages that are remembered, to tell copies.
REMEMBERED_SEQUENCES = 256
# No message stays on its way for so long.
MAX_SESSION_AGE_MS = 60_000

log = logging.getLogger(__name__)

Answer = protocol.QuotaLoan | protocol.QuotaElsewhere
FindLimit = Callable[[int], allowance.Allowance | None]
# Takes an answer to a question of this host itself.
TakeOwnAnswer = Callable[[int, Answer, int], None]


@dataclasses.dataclass(slots=True)
class _Session:
    """Messages received from one life of a host."""

    heard_at_ms: int
    highest: int = 0
    seen: set[int] = dataclasses.field(default_factory=set)

    def is_new(self, sequence: int) -> bool:
        """Record a message; return False for a copy or a very late one."""
        if sequence <= self.highest - REMEMBERED_SEQUENCES:
            return False
        if sequence in self.seen:
            return False
        self.seen.add(sequence)
        self.highest = max(self.highest, sequence)
        if len(self.seen) > 2 * REMEMBERED_SEQUENCES:
            oldest = self.highest - REMEMBERED_SEQUENCES
            self.seen = {number for number in self.seen if number > oldest}
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class _Question:
    """Question that is answered, at the latest at a time."""

    sender: address.Address
    session: int
    sequence: int
    asked: protocol.QuotaQuestion
    due_at_ms: int


@dataclasses.dataclass(slots=True)
class _ConsentAsked:
    """Host that was asked for its consent and has not answered."""

    first_at_ms: int
    last_at_ms: int


class QuotaLending:
    """Lends the tokens of the workspaces that fall to this host."""

    def __init__(
        self,
        hosts: quota_hosts.QuotaHosts,
        find_limit: FindLimit,
        take_own_answer: TakeOwnAnswer,
        counters: collections.Counter[str],
    ) -> None:
        self._hosts = hosts
        self._find_limit = find_limit
        self._take_own_answer = take_own_answer
        self._counters = counters
        self._lender = quotas.Lender()
        # Questions that wait for consents.
        self._waiting: list[_Question] = []
        self._consents_asked: dict[str, _ConsentAsked] = {}
        self._sessions: dict[tuple[address.Address, int], _Session] = {}

    @property
    def outstanding_tokens(self) -> int:
        """Return the tokens that count as used."""
        return self._lender.lent_count()

    @property
    def is_active(self) -> bool:
        """Return whether this host lends any workspace's tokens."""
        return bool(self._lender.numbers())

    def next_event_at_ms(self) -> int | None:
        """Return when a question is due, or None if none waits."""
        return min(
            (question.due_at_ms for question in self._waiting), default=None
        )

    def receive_questions(
        self,
        sender: address.Address,
        message: protocol.QuotaQuestions,
        now_ms: int,
    ) -> None:
        """Take back what is returned, and answer the questions."""
        session = self._sessions.setdefault(
            (sender, message.session), _Session(now_ms)
        )
        session.heard_at_ms = now_ms
        if not session.is_new(message.sequence):
            return
        # Without a bucket, nothing else finds out whom this host reaches.
        self._hosts.probe(now_ms)
        for returned in message.returned:
            self.take_back(
                returned.workspace, returned.counted_until_ms, returned.tokens
            )
        questions = [
            _Question(
                sender,
                message.session,
                message.sequence,
                asked,
                now_ms + CONSENT_WAIT_MS,
            )
            for asked in message.questions
        ]
        self._answer_all(questions, now_ms)

    def take_back(
        self, number: int, counted_until_ms: int, tokens: int
    ) -> None:
        """Take back tokens of a loan that were not used."""
        self._lender.take_back(number, counted_until_ms, tokens)

    def answer_waiting(self, now_ms: int) -> None:
        """Answer the questions that need to wait no longer."""
        waiting, self._waiting = self._waiting, []
        self._answer_all(waiting, now_ms)

    def answer_request(
        self,
        sender: address.Address,
        request: protocol.LendingRequest,
        now_ms: int,
    ) -> None:
        """Promise a host not to lend, and hand over what is left."""
        if request.is_probe:
            # A host that is not listed here may have been replaced.
            if self._hosts.is_listed(request.host):
                self._hosts.send(
                    sender,
                    protocol.LendingConsent(request.asked_at_ms, 'none'),
                )
            return
        consent = self._hosts.lenders.consent(
            request.host, self._hosts.is_stopping, now_ms
        )
        handed_over = self._lender.hand_over(
            lambda number: self._hosts.lenders.succeeds(
                request.host, number, now_ms
            ),
            now_ms,
        )
        self._hosts.send(
            sender,
            protocol.LendingConsent(
                request.asked_at_ms,
                consent.value,
                tuple(
                    protocol.QuotaHandOver(
                        part.number, part.tokens, part.at_ms
                    )
                    for part in handed_over
                ),
            ),
        )

    def receive_consent(
        self,
        sender: address.Address,
        message: protocol.LendingConsent,
        now_ms: int,
    ) -> None:
        """Record the answer of a host that was asked for its consent."""
        name = self._hosts.name_of(sender)
        if name is None:
            return
        self._hosts.reachability.record_answer(name, message.asked_at_ms)
        if message.consent == 'none':
            return
        self._consents_asked.pop(name, None)
        self._hosts.lenders.record_consent(
            name, lenders.Consent(message.consent), message.asked_at_ms
        )
        for part in message.handed_over:
            self._lender.take_over(
                quotas.HandOver(part.workspace, part.tokens, part.at_ms),
                now_ms,
            )
        self.answer_waiting(now_ms)

    def upkeep(self, now_ms: int) -> None:
        """Renew consents, and drop what is of no use any more."""
        self._lender.drop_full(now_ms)
        due = {
            name
            for number in self._lender.numbers()
            for name in self._hosts.lenders.consents_due(
                number, now_ms + CONSENT_RENEWAL_MS
            )
        }
        self._ask_consents(sorted(due), now_ms)
        for key, session in list(self._sessions.items()):
            if now_ms - session.heard_at_ms > MAX_SESSION_AGE_MS:
                del self._sessions[key]

    def _answer_all(self, questions: list[_Question], now_ms: int) -> None:
        """Answer questions; those of one message go back in one message."""
        answers = collections.defaultdict(list)
        for question in questions:
            answer = self._answer(question, now_ms)
            if answer is None:
                self._waiting.append(question)
            elif question.sender == self._hosts.own_address:
                self._take_own_answer(question.sequence, answer, now_ms)
            else:
                key = (question.sender, question.session, question.sequence)
                answers[key].append(answer)
        for (sender, session, sequence), ready in answers.items():
            self._hosts.send(
                sender, protocol.QuotaAnswers(session, sequence, tuple(ready))
            )

    def _answer(self, question: _Question, now_ms: int) -> Answer | None:
        """Return the answer, or None while consents may come."""
        number = question.asked.workspace
        limit = self._find_limit(number)
        if limit is None:
            return protocol.QuotaElsewhere(number)
        match self._hosts.role(number, now_ms):
            case lenders.Elsewhere():
                return protocol.QuotaElsewhere(number)
            case lenders.Starting(remaining_ms):
                exhausted = quotas.Exhausted(remaining_ms, remaining_ms)
                return _to_message(number, quotas.Loan(None, exhausted))
            case lenders.Lending(standing, without_consent):
                is_awaited = self._ask_consents(without_consent, now_ms)
                if is_awaited and now_ms < question.due_at_ms:
                    return None
                return self._lend(limit, question.asked, standing, now_ms)

    def _lend(
        self,
        limit: allowance.Allowance,
        asked: protocol.QuotaQuestion,
        standing: quotas.Standing,
        now_ms: int,
    ) -> protocol.QuotaLoan:
        loan = self._lender.lend(
            limit, asked.need, asked.ahead, standing, now_ms
        )
        if loan.lent is not None:
            self._counters['quota.lent'] += loan.lent.tokens
        if isinstance(standing, quotas.Disputed):
            self._counters['quota.lent_disputed'] += 1
        if loan.exhausted is not None:
            log.info(
                'quota exhausted',
                extra={
                    'workspace': limit.name,
                    'rate_per_s': limit.rate_per_s,
                    'burst': limit.burst,
                    'asked': asked.need,
                    'lent': loan.lent.tokens if loan.lent else 0,
                    'due_in_ms': loan.exhausted.due_in_ms,
                    'standing': type(standing).__name__,
                },
            )
        return _to_message(limit.number, loan)

    def _ask_consents(self, names: Iterable[str], now_ms: int) -> bool:
        """Ask hosts for their consent; return whether an answer may come."""
        is_awaited = False
        for name in names:
            asked = self._consents_asked.get(name)
            if asked is None:
                asked = _ConsentAsked(now_ms, now_ms - CONSENT_RETRY_MS)
                self._consents_asked[name] = asked
            if now_ms - asked.last_at_ms >= CONSENT_RETRY_MS:
                asked.last_at_ms = now_ms
                self._hosts.send_to(
                    name, protocol.LendingRequest(self._hosts.name, now_ms)
                )
            is_awaited |= now_ms - asked.first_at_ms < CONSENT_WAIT_MS
        return is_awaited


def _to_message(number: int, loan: quotas.Loan) -> protocol.QuotaLoan:
    lent = loan.lent or quotas.Lent(0, 0, 0, 0)
    exhausted = loan.exhausted or quotas.Exhausted(0, 0)
    return protocol.QuotaLoan(
        number,
        lent.tokens,
        lent.wait_ms,
        lent.lapse_ms,
        lent.counted_until_ms,
        exhausted.due_in_ms if loan.exhausted else None,
        exhausted.spread_ms,
    )
