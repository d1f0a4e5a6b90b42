"""Arranges the lending of quota tokens between hosts."""

import collections
from collections.abc import Iterable
import dataclasses
import logging
import random

from cardamomdeal.channels import datagrams
from cardamomdeal.fleet import freshness
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import allowance
from cardamomdeal.workspaces import lenders
from cardamomdeal.workspaces import model as workspace_model
from cardamomdeal.workspaces import quotas
from cardamomdeal.workspaces import reachability
from cardamomdeal.workspaces import token_holder

# A view that was confirmed within this time shows which hosts are present.
FRESH_VIEW_MS = freshness.STALE_MS
# Probes are sent before a view is too old, so that their answers are there.
PROBE_VIEW_AGE_MS = 900
# The first question about a workspace waits this long for consents.
CONSENT_WAIT_MS = 40
CONSENT_RETRY_MS = 100
CONSENT_RENEWAL_MS = lenders.CONSENT_MS // 2
UPKEEP_INTERVAL_MS = 200
# Numbers of earlier messages that are remembered, to tell copies.
REMEMBERED_SEQUENCES = 256
MAX_SESSION = 1_000_000
# No message stays on its way for so long.
MAX_SESSION_AGE_MS = 60_000
# Workspaces with metrics of their own.
REPORTED_WORKSPACES = 20

log = logging.getLogger(__name__)

Decided = tuple[int, token_holder.Outcome]


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
class _Asked:
    """Question that was sent, until its answer cannot be used any more."""

    question: token_holder.Question
    lender: str
    asked_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """Question that waits for consents."""

    sender: address.Address
    session: int
    sequence: int
    question: protocol.QuotaQuestion
    until_ms: int


@dataclasses.dataclass(slots=True)
class _ConsentAsked:
    first_at_ms: int
    last_at_ms: int


class QuotaKeeper:
    """Lends and borrows tokens for the dispatcher, which owns it.

    It sends nothing itself: its owner sends what `pop_sends` returns, and
    calls `wake` when that is due.
    """

    def __init__(
        self,
        settings: settings_model.EntrySettings,
        rng: random.Random,
        started_ms: int,
    ) -> None:
        self._name = settings.name
        self._own_address = settings.peers
        self._bounds = settings.bounds
        self._rng = rng
        self._session = rng.randrange(MAX_SESSION)
        self._sequence = 0
        self._workspaces: dict[int, workspace_model.Workspace] = {}
        self._addresses: dict[str, address.Address] = {}
        self._names: dict[address.Address, str] = {}
        self._left_addresses: dict[str, address.Address] = {}
        self._sorted_names: tuple[str, ...] = ()
        self._view_confirmed_at_ms: int | None = None
        self._lenders = lenders.Lenders(settings.name, started_ms)
        self._lender = quotas.Lender()
        self._reachability = reachability.Reachability(rng)
        self._hands: dict[int, token_holder.Hand] = {}
        self._asked: dict[tuple[int, int], _Asked] = {}
        self._answered: dict[tuple[int, int], _Asked] = {}
        self._held: list[_Held] = []
        self._consents_asked: dict[str, _ConsentAsked] = {}
        self._sessions: dict[tuple[address.Address, int], _Session] = {}
        self._questions: dict[str, list[token_holder.Question]] = (
            collections.defaultdict(list)
        )
        self._returns: dict[str, list[token_holder.Return]] = (
            collections.defaultdict(list)
        )
        self._sends: list[datagrams.SendTo] = []
        self._decided: list[Decided] = []
        self._upkeep_at_ms = 0
        self._is_stopping = False
        self.counters: collections.Counter[str] = collections.Counter()
        self._denied_by_workspace: collections.Counter[str] = (
            collections.Counter()
        )

    # What the owner tells.

    def set_bounds(self, bounds: settings_model.Bounds) -> None:
        """Replace the bounds of the platform."""
        self._bounds = bounds

    def set_workspaces(
        self, workspaces: Iterable[workspace_model.Workspace]
    ) -> None:
        """Replace the workspaces of the configuration in force."""
        self._workspaces = {
            allowance.number_of(workspace.name): workspace
            for workspace in workspaces
            if workspace.quota is not None
        }

    def set_hosts(
        self,
        hosts: tuple[model.EntryHost, ...],
        confirmed_at_ms: int | None,
        now_ms: int,
    ) -> None:
        """Replace the hosts, as of the last confirmation of the view."""
        self._view_confirmed_at_ms = confirmed_at_ms
        known = self._left_addresses | self._addresses
        self._addresses = {host.name: host.peers for host in hosts}
        self._lenders.set_hosts(self._addresses, now_ms)
        # Those that have just left are asked whether they still lend.
        self._left_addresses = {
            name: peer
            for name, peer in known.items()
            if name in self._lenders.left
        }
        self._names = {
            peer: name
            for name, peer in (self._left_addresses | self._addresses).items()
        }
        self._sorted_names = tuple(sorted(self._addresses))
        self._reachability.record_hosts(len(hosts), now_ms)

    def stop(self) -> None:
        """Lend no more tokens, as this host is stopping."""
        self._is_stopping = True

    # Requests.

    def request(
        self,
        request_number: int,
        workspace: workspace_model.Workspace | None,
        now_ms: int,
    ) -> token_holder.Decision | None:
        """Decide on a request; return None if it has no quota."""
        limit = workspace and allowance.allowance(workspace, self._bounds)
        if limit is None:
            return None
        hand = self._hands.get(limit.number)
        if hand is None:
            hand = token_holder.Hand(limit, self._rng)
            self._hands[limit.number] = hand
        hand.limit = limit
        self._collect_lapsed(hand, now_ms)
        decision = hand.request(
            request_number, self._own_tokens(limit, now_ms), now_ms
        )
        self._ask(hand, now_ms)
        if not isinstance(decision, token_holder.Asked):
            self._count(limit.name, decision)
            return decision
        # This host itself may have lent the token.
        decided, self._decided = self._decided, []
        for number, outcome in decided:
            if number == request_number:
                decision = outcome
            else:
                self._decided.append((number, outcome))
        return decision

    def withdraw(
        self, request_number: int, workspace: workspace_model.Workspace | None
    ) -> None:
        """Forget a request that waits, as its caller has left."""
        if workspace is None:
            return
        hand = self._hands.get(allowance.number_of(workspace.name))
        if hand is not None:
            hand.withdraw(request_number)

    def give_back(self, token: token_holder.Token, now_ms: int) -> None:
        """Take back the token of a request that no server ran."""
        self.counters['quota.returned'] += 1
        hand = self._hands.get(token.number)
        if hand is None:
            return
        returned = hand.give_back(token, now_ms)
        if returned is not None:
            self._return((returned,))
        self._decide(hand.resume(now_ms), hand)

    def pop_decided(self) -> list[Decided]:
        """Return the requests on which it was decided since."""
        decided, self._decided = self._decided, []
        return decided

    def pop_sends(self, now_ms: int) -> list[datagrams.SendTo]:
        """Return the messages to send now."""
        for name in self._questions.keys() | self._returns.keys():
            self._flush(name, now_ms)
        sends, self._sends = self._sends, []
        return sends

    @property
    def has_sends(self) -> bool:
        """Return whether there are messages to send."""
        return bool(self._sends or self._questions or self._returns)

    # Time.

    def next_event_at_ms(self) -> int | None:
        """Return when `wake` is to be called, or None if nothing is due."""
        times_ms = [held.until_ms for held in self._held]
        times_ms += [
            asked.asked_at_ms + token_holder.RETRY_AFTER_MS
            for asked in self._asked.values()
        ]
        for hand in self._hands.values():
            at_ms = hand.next_event_at_ms()
            if at_ms is not None:
                times_ms.append(at_ms)
        if self._hands or self._lender.numbers():
            times_ms.append(self._upkeep_at_ms)
        return min(times_ms, default=None)

    def wake(self, now_ms: int) -> None:
        """Do what is due."""
        for hand in self._hands.values():
            self._collect_lapsed(hand, now_ms)
            self._decide(hand.resume(now_ms), hand)
        for key, asked in list(self._asked.items()):
            if now_ms - asked.asked_at_ms >= token_holder.RETRY_AFTER_MS:
                del self._asked[key]
                self._answered[key] = asked
                self._ask_again(asked.question, now_ms)
        held, self._held = self._held, []
        for entry in held:
            self._answer(entry, now_ms)
        if now_ms >= self._upkeep_at_ms:
            self._upkeep_at_ms = now_ms + UPKEEP_INTERVAL_MS
            self._upkeep(now_ms)

    # Messages of other hosts.

    def receive(
        self,
        sender: address.Address,
        message: protocol.QuotaMessage,
        now_ms: int,
    ) -> None:
        """Handle a message of another host."""
        match message:
            case protocol.QuotaQuestions():
                self._receive_questions(sender, message, now_ms)
            case protocol.QuotaAnswers(session, sequence, answers):
                if session == self._session:
                    for answer in answers:
                        self._receive_answer(sequence, answer, now_ms)
            case protocol.LendingRequest(host, asked_at_ms, is_probe):
                answer = protocol.LendingConsent(asked_at_ms, 'none')
                if not is_probe:
                    answer = self._consent(host, asked_at_ms, now_ms)
                self._send(sender, answer)
            case protocol.LendingConsent():
                self._receive_consent(sender, message, now_ms)

    @property
    def outstanding_tokens(self) -> int:
        """Return the tokens lent by this host that count as used."""
        return self._lender.lent_count()

    @property
    def held_tokens(self) -> int:
        """Return the tokens that this host has borrowed and not used."""
        return sum(hand.held for hand in self._hands.values())

    def metrics(self) -> dict[str, int]:
        """Return counters; only the largest workspaces have their own."""
        if not self.counters:
            return {}
        largest = self._denied_by_workspace.most_common(REPORTED_WORKSPACES)
        rest = self._denied_by_workspace.total() - sum(n for _, n in largest)
        return {
            **self.counters,
            'quota.tokens_outstanding': self.outstanding_tokens,
            'quota.tokens_held': self.held_tokens,
            **{f'quota.denied.{name}': count for name, count in largest},
            'quota.denied_rest': rest,
        }

    def _receive_questions(
        self,
        sender: address.Address,
        message: protocol.QuotaQuestions,
        now_ms: int,
    ) -> None:
        session = self._sessions.setdefault(
            (sender, message.session), _Session(now_ms)
        )
        session.heard_at_ms = now_ms
        if not session.is_new(message.sequence):
            return
        for returned in message.returned:
            self._lender.take_back(
                returned.workspace, returned.counted_until_ms, returned.tokens
            )
        for question in message.questions:
            self._answer(
                _Held(
                    sender,
                    message.session,
                    message.sequence,
                    question,
                    now_ms + CONSENT_WAIT_MS,
                ),
                now_ms,
            )

    def _answer(self, asked: _Held, now_ms: int) -> None:
        """Answer a question, or hold it until consents have come."""
        question = asked.question
        workspace = self._workspaces.get(question.workspace)
        limit = workspace and allowance.allowance(workspace, self._bounds)
        role: lenders.Role = lenders.Elsewhere()
        if limit is not None:
            role = self._role(question.workspace, now_ms)
        match role:
            case lenders.Elsewhere():
                self._send_answer(
                    asked, protocol.QuotaElsewhere(question.workspace), now_ms
                )
            case lenders.Starting(remaining_ms):
                exhausted = quotas.Exhausted(remaining_ms, remaining_ms)
                self._send_loan(asked, quotas.Loan(None, exhausted), now_ms)
            case lenders.Lending(standing, without_consent):
                if limit is None:
                    return
                is_awaited = self._awaits_consent(without_consent, now_ms)
                if is_awaited and now_ms < asked.until_ms:
                    self._held.append(asked)
                    return
                loan = self._lender.lend(
                    limit, question.need, question.ahead, standing, now_ms
                )
                self._count_loan(limit, question.need, loan, standing)
                self._send_loan(asked, loan, now_ms)

    def _send_loan(self, asked: _Held, loan: quotas.Loan, now_ms: int) -> None:
        self._send_answer(
            asked, _to_message(asked.question.workspace, loan), now_ms
        )

    def _send_answer(
        self,
        asked: _Held,
        answer: protocol.QuotaLoan | protocol.QuotaElsewhere,
        now_ms: int,
    ) -> None:
        if asked.sender == self._own_address:
            self._receive_answer(asked.sequence, answer, now_ms)
            return
        # Answers to one message that are ready together go together.
        if self._sends:
            match self._sends[-1]:
                case datagrams.SendTo(
                    (to,), protocol.QuotaAnswers(session, sequence, answers)
                ) if (to, session, sequence) == (
                    asked.sender,
                    asked.session,
                    asked.sequence,
                ):
                    self._sends.pop()
                    self._send(
                        to,
                        protocol.QuotaAnswers(
                            session, sequence, (*answers, answer)
                        ),
                    )
                    return
        self._send(
            asked.sender,
            protocol.QuotaAnswers(asked.session, asked.sequence, (answer,)),
        )

    def _receive_answer(
        self,
        sequence: int,
        answer: protocol.QuotaLoan | protocol.QuotaElsewhere,
        now_ms: int,
    ) -> None:
        key = (sequence, answer.workspace)
        hand = self._hands.get(answer.workspace)
        late = self._answered.pop(key, None)
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

    def _consent(
        self, host: str, asked_at_ms: int, now_ms: int
    ) -> protocol.LendingConsent:
        """Promise a host not to lend, and hand over what is left."""
        consent = self._lenders.consent(host, self._is_stopping, now_ms)
        handed_over = [
            (number, self._lender.hand_over(number, now_ms))
            for number in self._lender.numbers()
            if self._lenders.succeeds(host, number, now_ms)
        ]
        return protocol.LendingConsent(
            asked_at_ms,
            consent.value,
            tuple(entry for entry in handed_over if entry[1]),
        )

    def _receive_consent(
        self,
        sender: address.Address,
        message: protocol.LendingConsent,
        now_ms: int,
    ) -> None:
        name = self._names.get(sender)
        if name is None:
            return
        self._reachability.record_answer(name, message.asked_at_ms)
        if message.consent == 'none':
            return
        self._consents_asked.pop(name, None)
        self._lenders.record_consent(
            name, lenders.Consent(message.consent), message.asked_at_ms
        )
        for number, tokens in message.tokens:
            self._lender.accept(number, tokens, now_ms)
        held, self._held = self._held, []
        for entry in held:
            self._answer(entry, now_ms)

    # Lending.

    def _reach(self, now_ms: int) -> reachability.Reach:
        """Return how much of the fleet this host sees."""
        age_ms = self._view_age_ms(now_ms)
        if age_ms is not None and age_ms <= FRESH_VIEW_MS:
            return self._reachability.by_view(now_ms)
        if self._addresses.keys() == {self._name}:
            return self._reachability.by_view(now_ms)
        return self._reachability.by_probes(now_ms)

    def _role(self, number: int, now_ms: int) -> lenders.Role:
        """Return whether this host lends, as far as it sees the fleet."""
        if self._is_stopping:
            return lenders.Elsewhere()
        reach = self._reach(now_ms)
        if reach is reachability.Reach.LITTLE:
            return lenders.Elsewhere()
        role = self._lenders.role(number, now_ms)
        match role:
            case lenders.Lending(quotas.Undisputed(since_ms)) if (
                reach is reachability.Reach.SOME
            ):
                return lenders.Lending(quotas.Disputed(since_ms, True), ())
        return role

    def _view_age_ms(self, now_ms: int) -> int | None:
        if self._view_confirmed_at_ms is None:
            return None
        return now_ms - self._view_confirmed_at_ms

    def _awaits_consent(self, names: Iterable[str], now_ms: int) -> bool:
        """Ask hosts for their consent; return whether an answer may come."""
        is_awaited = False
        for name in names:
            asked = self._consents_asked.get(name)
            if asked is None:
                asked = _ConsentAsked(now_ms, now_ms)
                self._consents_asked[name] = asked
                self._ask_consent(name, now_ms)
            elif now_ms - asked.last_at_ms >= CONSENT_RETRY_MS:
                asked.last_at_ms = now_ms
                self._ask_consent(name, now_ms)
            is_awaited |= now_ms - asked.first_at_ms < CONSENT_WAIT_MS
        return is_awaited

    def _ask_consent(
        self, name: str, now_ms: int, is_probe: bool = False
    ) -> None:
        to = self._addresses.get(name) or self._left_addresses.get(name)
        if to is not None:
            self._send(
                to, protocol.LendingRequest(self._name, now_ms, is_probe)
            )

    def _count_loan(
        self,
        limit: allowance.Allowance,
        need: int,
        loan: quotas.Loan,
        standing: quotas.Standing,
    ) -> None:
        if loan.lent is not None:
            self.counters['quota.lent'] += loan.lent.tokens
        if isinstance(standing, quotas.Disputed):
            self.counters['quota.lent_disputed'] += 1
        if loan.exhausted is not None:
            log.info(
                'quota exhausted',
                extra={
                    'workspace': limit.name,
                    'rate_per_s': limit.rate_per_s,
                    'burst': limit.burst,
                    'asked': need,
                    'due_in_ms': loan.exhausted.due_in_ms,
                    'standing': type(standing).__name__,
                },
            )

    # Borrowing.

    def _ask(self, hand: token_holder.Hand, now_ms: int) -> None:
        question = hand.next_question(now_ms)
        if question is not None:
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
        candidates = self._lenders.candidates(question.number, now_ms)
        if not candidates:
            self._give_up(question, now_ms)
            return
        lender = candidates[
            token_holder.candidate_index(question.attempt) % len(candidates)
        ]
        self._questions[lender].append(question)
        if lender == self._name:
            self._flush(lender, now_ms)

    def _give_up(self, question: token_holder.Question, now_ms: int) -> None:
        hand = self._hands.get(question.number)
        if hand is not None:
            own_tokens = self._own_tokens(hand.limit, now_ms)
            self._decide(hand.give_up(question, own_tokens, now_ms), hand)

    def _own_tokens(self, limit: allowance.Allowance, now_ms: int) -> int:
        """Return what this host may run in a window without a lender."""
        if self._name not in self._addresses:
            return 0
        return allowance.fallback_tokens(
            limit,
            self._sorted_names.index(self._name),
            self._reachability.most_hosts(now_ms),
        )

    def _decide(self, decided: list[Decided], hand: token_holder.Hand) -> None:
        for _, outcome in decided:
            self._count(hand.limit.name, outcome)
        self._decided += decided

    def _count(self, name: str, outcome: token_holder.Decision) -> None:
        match outcome:
            case token_holder.Granted(token):
                own = token.lender is None
                self.counters['quota.granted'] += 1
                self.counters['quota.granted_by_fallback'] += own
            case token_holder.OverLimit():
                self.counters['quota.denied'] += 1
                self._denied_by_workspace[name] += 1
            case token_holder.NoLender():
                self.counters['quota.refused_by_fallback'] += 1

    def _collect_lapsed(self, hand: token_holder.Hand, now_ms: int) -> None:
        self._return(hand.pop_lapsed(now_ms))

    def _return(self, returns: Iterable[token_holder.Return]) -> None:
        for returned in returns:
            if returned.lender == self._name:
                self._lender.take_back(
                    returned.number,
                    returned.counted_until_ms,
                    returned.tokens,
                )
            else:
                self._returns[returned.lender].append(returned)

    def _flush(self, lender: str, now_ms: int) -> None:
        """Send what waits for a lender, in one message."""
        questions = self._questions.pop(lender, [])
        returns = self._returns.pop(lender, [])
        self._sequence += 1
        for question in questions:
            self._asked[self._sequence, question.number] = _Asked(
                question, lender, now_ms
            )
        message = protocol.QuotaQuestions(
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
                for returned in returns
            ),
        )
        to = self._addresses.get(lender)
        if lender == self._name:
            self._receive_questions(self._own_address, message, now_ms)
        elif to is not None:
            self._send(to, message)

    # Upkeep.

    def _upkeep(self, now_ms: int) -> None:
        for number, hand in list(self._hands.items()):
            if hand.is_idle(now_ms):
                del self._hands[number]
        for key, asked in list(self._answered.items()):
            age_ms = now_ms - asked.asked_at_ms
            if age_ms > allowance.MAX_LAPSE_MS:
                del self._answered[key]
        self._lender.drop_full(now_ms)
        self._renew_consents(now_ms)
        if self._lender.numbers():
            self._probe(now_ms)
        for session_key, session in list(self._sessions.items()):
            if now_ms - session.heard_at_ms > MAX_SESSION_AGE_MS:
                del self._sessions[session_key]

    def _renew_consents(self, now_ms: int) -> None:
        due = {
            name
            for number in self._lender.numbers()
            for name in self._lenders.consents_due(
                number, now_ms + CONSENT_RENEWAL_MS
            )
        }
        for name in due:
            asked = self._consents_asked.get(name)
            if asked is None or (
                now_ms - asked.last_at_ms >= CONSENT_RETRY_MS
            ):
                self._consents_asked[name] = _ConsentAsked(
                    asked.first_at_ms if asked else now_ms, now_ms
                )
                self._ask_consent(name, now_ms)

    def _probe(self, now_ms: int) -> None:
        age_ms = self._view_age_ms(now_ms)
        if age_ms is not None and age_ms < PROBE_VIEW_AGE_MS:
            return
        others = [name for name in self._sorted_names if name != self._name]
        for name in self._reachability.next_probes(others, now_ms):
            self._ask_consent(name, now_ms, is_probe=True)

    def _send(self, to: address.Address, message: protocol.AnyMessage) -> None:
        self._sends.append(datagrams.SendTo((to,), message))


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
