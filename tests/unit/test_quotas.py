"""Quotas: what a lender lends, which host lends, and what a host keeps."""

import bisect
import dataclasses
import random
import unittest

from cardamomdeal.protocol import codec
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import allowance
from cardamomdeal.workspaces import lenders
from cardamomdeal.workspaces import model
from cardamomdeal.workspaces import quotas
from cardamomdeal.workspaces import reachability
from cardamomdeal.workspaces import token_holder

BOUNDS = settings_model.Bounds(
    drain_ms=2_500,
    stop_grace_ms=6_000,
    max_keep_for_ms=5_000,
    repeat_ratio=0.2,
    repeat_window_ms=10_000,
    repeat_slack=220.0,
    capacity_floor=0.7,
    quota_window_ms=5_000,
    quota_overage=0.1,
    quota_slack=20.0,
)
ALONE = quotas.Undisputed(0)
LONG_AGO_MS = 100_000


def limit(rate_per_s=10.0, burst=10.0, bounds=BOUNDS):
    quota = model.Quota(rate_per_s, burst)
    return allowance.allowance(model.Workspace('w', (), None, quota), bounds)


class AllowanceTest(unittest.TestCase):
    def test_workspace_without_quota_is_not_limited(self):
        unlimited = model.Workspace('w', (), None, None)
        self.assertIsNone(allowance.allowance(unlimited, BOUNDS))
        no_window = dataclasses.replace(BOUNDS, quota_window_ms=None)
        self.assertIsNone(limit(bounds=no_window))
        self.assertIsNone(limit(rate_per_s=0.0))

    def test_fallback_of_all_hosts_is_its_share_of_what_is_free(self):
        """Hosts without a lender must not run more than is left."""
        for hosts in (1, 3, 7, 113, 2_000):
            tokens = sum(
                allowance.fallback_tokens(limit(300.0), index, hosts)
                for index in range(hosts)
            )
            share = allowance.FALLBACK_SHARE * limit(300.0).free
            self.assertLessEqual(tokens, share)
            self.assertGreater(tokens, share - 1)

    def test_two_disputed_lenders_stay_within_the_bound(self):
        """Neither knows whether the other still lends."""
        for rate_per_s in (1.0, 11.0, 1_000.0):
            for burst in (0.0, 10.0):
                known = limit(rate_per_s, burst)
                both = sum(
                    known.ceiling(known.rate_per_ms / 2, part)
                    for part in (burst, 0.0)
                )
                fallback = allowance.FALLBACK_SHARE * known.free
                self.assertLessEqual(
                    both + fallback, known.per_window + known.free
                )


class BucketTest(unittest.TestCase):
    def bucket(self, known=None, standing=ALONE, now_ms=LONG_AGO_MS):
        return quotas.Bucket(known or limit(), standing, now_ms)

    def lent(self, loan):
        return loan.lent.tokens if loan.lent else 0

    def test_burst_is_lent_at_once_and_then_the_rate(self):
        bucket = self.bucket()
        loan = bucket.lend(10, 0, ALONE, LONG_AGO_MS)
        self.assertEqual((10, 0), (loan.lent.tokens, loan.lent.wait_ms))
        loan = bucket.lend(1, 0, ALONE, LONG_AGO_MS)
        self.assertEqual(100, loan.lent.wait_ms)
        loan = bucket.lend(1, 0, ALONE, LONG_AGO_MS + 1_000)
        self.assertEqual(0, loan.lent.wait_ms)

    def test_refused_request_learns_when_the_next_token_is_due(self):
        bucket = self.bucket()
        loan = bucket.lend(20, 0, ALONE, LONG_AGO_MS)
        # Ten of the burst, and two that come within a request's wait.
        self.assertEqual(12, loan.lent.tokens)
        self.assertEqual(300, loan.exhausted.due_in_ms)
        # Eight were refused, and ten come in a second.
        self.assertEqual(800, loan.exhausted.spread_ms)

    def test_token_that_was_not_used_is_lent_again(self):
        bucket = self.bucket()
        loan = bucket.lend(10, 0, ALONE, LONG_AGO_MS)
        bucket.take_back(loan.lent.counted_until_ms, 10)
        # A second copy of the message returns nothing.
        bucket.take_back(loan.lent.counted_until_ms, 10)
        self.assertEqual(0, bucket.lent_count)
        loan = bucket.lend(20, 0, ALONE, LONG_AGO_MS)
        self.assertEqual(12, loan.lent.tokens)

    def test_lower_limit_binds_at_once_and_a_higher_one_too(self):
        bucket = self.bucket(limit(100.0, 100.0))
        bucket.set_limit(limit(10.0, 10.0))
        self.assertEqual(10, bucket.tokens)
        bucket.set_limit(limit(10.0, 50.0))
        self.assertEqual(50, bucket.tokens)

    def test_tokens_ahead_of_need_are_not_taken_from_others(self):
        bucket = self.bucket(limit(10.0, 40.0))
        loan = bucket.lend(0, 100, ALONE, LONG_AGO_MS)
        self.assertEqual(10, loan.lent.tokens)
        self.assertIsNone(loan.exhausted)

    def test_new_lender_starts_as_if_the_burst_were_used(self):
        """The lender before it may have lent the burst just now."""
        known = limit(100.0, 100.0)
        standing = quotas.Undisputed(LONG_AGO_MS)
        bucket = self.bucket(known, standing)
        self.assertEqual(known.initial_tokens, bucket.tokens)

    def test_lender_that_was_replaced_meanwhile_has_no_burst(self):
        known = limit(100.0, 100.0)
        bucket = self.bucket(known)
        bucket.lend(1, 0, ALONE, LONG_AGO_MS)
        again = quotas.Undisputed(LONG_AGO_MS + 500)
        bucket.lend(1, 0, again, LONG_AGO_MS + 500)
        self.assertEqual(known.initial_tokens - 1, bucket.tokens)

    def test_no_window_exceeds_the_lender_s_ceiling(self):
        """Tokens are used at any time until they lapse, or are returned."""
        for seed in range(30):
            rng = random.Random(seed)
            known = limit(rng.choice((1.0, 11.0, 300.0)), rng.choice((0, 50)))
            bucket = self.bucket(known)
            uses_ms = []
            now_ms = LONG_AGO_MS
            for _ in range(600):
                now_ms += rng.choice((0, 1, 10, 100))
                asked_at_ms = now_ms - rng.randrange(100)
                loan = bucket.lend(
                    rng.randrange(8), rng.randrange(8), ALONE, now_ms
                )
                if loan.lent is None:
                    continue
                for _ in range(loan.lent.tokens):
                    if rng.random() < 0.2:
                        bucket.take_back(loan.lent.counted_until_ms, 1)
                        continue
                    first_ms = now_ms + loan.lent.wait_ms
                    last_ms = max(
                        first_ms,
                        asked_at_ms + loan.lent.wait_ms + loan.lent.lapse_ms,
                    )
                    uses_ms.append(rng.choice((first_ms, last_ms)))
            uses_ms.sort()
            most = max(
                bisect.bisect_right(uses_ms, at_ms + known.window_ms) - index
                for index, at_ms in enumerate(uses_ms)
            )
            allowed = known.ceiling(known.rate_per_ms, known.burst)
            self.assertLessEqual(most, allowed)


class LenderTest(unittest.TestCase):
    """Two hosts that lend one after the other."""

    def setUp(self):
        self.known = limit(10.0, 50.0)
        self.old, self.new = quotas.Lender(), quotas.Lender()

    def lend(self, lender, need, now_ms, since_ms=0):
        loan = lender.lend(
            self.known, need, 0, quotas.Undisputed(since_ms), now_ms
        )
        return loan.lent.tokens if loan.lent else 0

    def hand_over(self, now_ms):
        for part in self.old.hand_over(lambda _: True, now_ms):
            self.new.take_over(part, now_ms)

    def test_new_lender_goes_on_with_what_is_left(self):
        self.lend(self.old, 20, LONG_AGO_MS)
        self.hand_over(LONG_AGO_MS)
        # Without the hand-over these would be 3 and 2.
        self.assertEqual(
            30 + 2, self.lend(self.new, 99, LONG_AGO_MS, LONG_AGO_MS)
        )
        self.assertEqual((), self.old.numbers())

    def test_hand_over_that_is_sent_again_counts_once(self):
        """The answer to the first request for consent may be lost."""
        self.lend(self.old, 20, LONG_AGO_MS)
        for _ in range(2):
            self.hand_over(LONG_AGO_MS)
            self.lend(self.new, 20, LONG_AGO_MS, LONG_AGO_MS)
        self.assertEqual(0, self.lend(self.new, 1, LONG_AGO_MS, LONG_AGO_MS))

    def test_message_can_carry_what_is_handed_over(self):
        """A consent with more tokens was dropped by its recipient."""
        bucket = quotas.Bucket(limit(1e9, 1e9), ALONE, LONG_AGO_MS)
        tokens = bucket.tokens_to_hand_over(LONG_AGO_MS + 10_000)
        self.assertGreater(tokens, 100_000)
        part = protocol.QuotaHandOver(1, tokens, LONG_AGO_MS)
        sent = protocol.LendingConsent(1, 'yields', (part,))
        self.assertEqual(sent, codec.decode(codec.encode(sent)).value_or(None))

    def test_lender_that_was_cut_off_learns_what_another_lent(self):
        """It had its burst left, and the other one has used it."""
        self.lend(self.new, 1, LONG_AGO_MS)
        now_ms = LONG_AGO_MS + 6_000
        self.lend(self.old, 49, now_ms)
        self.hand_over(now_ms)
        self.assertEqual(1 + 2, self.lend(self.new, 99, now_ms))


class LendersTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = LONG_AGO_MS
        names = [f'h-{n}' for n in range(20)]
        self.all = {name: self.host(name, names) for name in names}
        self.number = 77
        ranked = next(iter(self.all.values())).candidates(
            self.number, self.now_ms
        )
        self.first, self.second = (self.all[name] for name in ranked)
        self.first_name, self.second_name = ranked

    def host(self, name, names):
        created = lenders.Lenders(name, 0)
        created.set_hosts(names, 0)
        return created

    def role(self, host):
        return host.role(self.number, self.now_ms)

    def ask(self, asking, asked):
        """Let one host ask another for its consent."""
        consent = asked.consent(asking._name, False, self.now_ms)
        asking.record_consent(asked._name, consent, self.now_ms)

    def test_hosts_agree_on_one_lender(self):
        lending = [
            name
            for name, host in self.all.items()
            if isinstance(self.role(host), lenders.Lending)
        ]
        self.assertEqual({self.first_name, self.second_name}, {*lending})

    def test_lender_is_undisputed_while_its_stand_in_has_consented(self):
        self.assertEqual(
            lenders.Lending(quotas.Disputed(0, True), (self.second_name,)),
            self.role(self.first),
        )
        self.ask(self.first, self.second)
        self.assertEqual(
            lenders.Lending(quotas.Undisputed(0), ()), self.role(self.first)
        )
        self.assertIsInstance(self.role(self.second), lenders.Elsewhere)
        self.now_ms += lenders.CONSENT_MS
        self.assertIsInstance(self.role(self.first).standing, quotas.Disputed)

    def test_stand_in_lends_when_its_promise_is_over(self):
        self.ask(self.first, self.second)
        self.now_ms += lenders.CONSENT_MS
        role = self.role(self.second)
        self.assertFalse(role.standing.is_first)
        # What it promised counts as lent by the other until then.
        self.assertEqual(self.now_ms, role.standing.since_ms)

    def test_stand_in_does_not_lend_if_the_lender_answers(self):
        self.ask(self.second, self.first)
        self.assertIsInstance(self.role(self.second), lenders.Elsewhere)

    def test_stand_in_lends_undisputed_after_a_planned_stop(self):
        rest = set(self.all) - {self.first_name}
        for host in (self.first, self.second):
            host.set_hosts(rest, self.now_ms)
        self.ask(self.second, self.first)
        third = self.second.candidates(self.number, self.now_ms)[1]
        self.ask(self.second, self.all[third])
        self.assertEqual(
            quotas.Undisputed(self.now_ms), self.role(self.second).standing
        )
        self.assertIsInstance(self.role(self.first), lenders.Elsewhere)

    def test_host_yields_to_one_that_it_does_not_know_yet(self):
        """Views differ while a host joins."""
        rest = set(self.all) - {self.first_name}
        unaware = self.host(self.second_name, rest)
        self.assertIsInstance(self.role(unaware), lenders.Lending)
        unaware.consent(self.first_name, False, self.now_ms)
        self.assertIsInstance(self.role(unaware), lenders.Elsewhere)

    def test_lender_that_others_may_have_seen_leave_starts_anew(self):
        """It was cut off, and does not know who has lent meanwhile."""
        self.ask(self.first, self.second)
        self.first.record_absence(self.now_ms - 1)
        self.assertEqual(
            quotas.Undisputed(self.now_ms - 1), self.role(self.first).standing
        )

    def test_host_that_left_is_forgotten_after_a_pause(self):
        """Nothing asks for a role for as long as changes are remembered."""
        rest = set(self.all) - {self.first_name}
        self.second.set_hosts(rest, self.now_ms)
        self.now_ms += lenders.MAX_MEMORY_MS
        self.second.set_hosts(rest, self.now_ms)
        self.assertEqual(frozenset(), self.second.left)
        self.assertIsInstance(self.role(self.second), lenders.Lending)

    def test_restarted_stand_in_keeps_to_an_earlier_promise(self):
        restarted = lenders.Lenders(self.second_name, self.now_ms)
        restarted.set_hosts(self.all, self.now_ms)
        self.assertEqual(
            lenders.Starting(lenders.CONSENT_MS), self.role(restarted)
        )

    def test_ranking_is_the_same_however_hosts_came(self):
        at_once = self.host('h-0', self.all)
        in_turn = lenders.Lenders('h-0', 0)
        for count in range(1, len(self.all) + 1):
            in_turn.set_hosts(list(self.all)[:count], 0)
            in_turn.candidates(self.number, 0)
        in_turn.set_hosts(set(self.all) - {'h-3'}, 0)
        in_turn.set_hosts(self.all, 0)
        for number in range(200):
            self.assertEqual(
                at_once.candidates(number, 0), in_turn.candidates(number, 0)
            )


class ReachabilityTest(unittest.TestCase):
    def setUp(self):
        self.known = reachability.Reachability(random.Random(1))
        self.names = [f'h-{n}' for n in range(20)]

    def test_probes_tell_the_larger_side_of_a_split(self):
        for reached, expected in (
            (8, reachability.Reach.LITTLE),
            (15, reachability.Reach.SOME),
            (20, reachability.Reach.MOST),
        ):
            with self.subTest(reached=reached):
                known = reachability.Reachability(random.Random(1))
                probed = known.next_probes(self.names, 1_000)
                self.assertEqual((), known.next_probes(self.names, 1_100))
                for name in probed:
                    if name in self.names[:reached]:
                        known.record_answer(name, 1_000)
                # An answer to an earlier probe tells nothing.
                known.record_answer('h-19', 500)
                self.assertIs(expected, known.by_probes(1_010))
                late_ms = 1_000 + reachability.VALID_MS
                self.assertIs(
                    reachability.Reach.LITTLE, known.by_probes(late_ms)
                )

    def test_view_that_shrinks_shows_the_smaller_side(self):
        """The entries of hosts behind a cut lapse although they go on."""
        for left, expected in (
            (20, reachability.Reach.MOST),
            (19, reachability.Reach.SOME),
            (5, reachability.Reach.LITTLE),
        ):
            known = reachability.Reachability(random.Random(1))
            known.record_hosts(40, 1_000)
            known.record_hosts(left, 9_000)
            self.assertIs(expected, known.by_view(9_000))
            late_ms = 9_000 + reachability.RECENT_MS
            self.assertIs(reachability.Reach.MOST, known.by_view(late_ms))


class HandTest(unittest.TestCase):
    def setUp(self):
        self.hand = token_holder.Hand(limit(), random.Random(1))
        self.now_ms = LONG_AGO_MS

    def request(self, number, own_tokens=0):
        return self.hand.request(number, own_tokens, self.now_ms)

    def answer(self, question, tokens=0, wait_ms=0, exhausted=None):
        lent = quotas.Lent(tokens, wait_ms, 250, 9) if tokens else None
        return self.hand.receive(
            question,
            quotas.Loan(lent, exhausted),
            'h-1',
            self.now_ms,
            self.now_ms,
        )

    def ask(self):
        return self.hand.next_question(self.now_ms)

    def test_request_waits_for_the_token_that_it_asked_for(self):
        self.assertEqual(token_holder.Asked(), self.request(1))
        question = self.ask()
        self.assertEqual((1, 0), (question.need, question.ahead))
        self.assertIsNone(self.ask())
        ((number, outcome),) = self.answer(question, 1)
        self.assertEqual(1, number)
        self.assertIsInstance(outcome, token_holder.Granted)
        self.assertEqual(0, self.hand.held)

    def test_reserved_token_is_used_when_it_is_due(self):
        self.request(1)
        self.assertEqual([], self.answer(self.ask(), 1, wait_ms=100))
        self.assertEqual(self.now_ms + 100, self.hand.next_event_at_ms())
        self.assertEqual([], self.hand.resume(self.now_ms + 99))
        self.assertEqual(1, len(self.hand.resume(self.now_ms + 100)))

    def test_request_over_the_limit_is_refused_and_the_next_at_once(self):
        self.request(1)
        ((_, outcome),) = self.answer(
            self.ask(), exhausted=quotas.Exhausted(300, 200)
        )
        self.assertTrue(300 <= outcome.retry_after_ms <= 500)
        self.now_ms += 100
        outcome = self.request(2)
        self.assertIsInstance(outcome, token_holder.OverLimit)
        self.assertTrue(200 <= outcome.retry_after_ms <= 400)
        self.assertEqual(100, outcome.age_ms)
        self.now_ms += 200
        self.assertEqual(token_holder.Asked(), self.request(3))

    def test_request_whose_token_lapsed_on_its_way_asks_again(self):
        """Messages of a starved process take longer than tokens last."""
        self.request(1)
        question = self.ask()
        asked_at_ms = self.now_ms
        self.now_ms += 300
        lent = quotas.Loan(quotas.Lent(1, 0, 250, 9), None)
        self.assertEqual(
            [],
            self.hand.receive(question, lent, 'h-1', asked_at_ms, self.now_ms),
        )
        self.assertEqual(1, len(self.hand.pop_lapsed(self.now_ms)))
        again = self.ask()
        self.assertEqual(
            (1, asked_at_ms), (again.need, again.first_asked_at_ms)
        )

    def test_busy_workspace_has_tokens_at_hand(self):
        for number in range(100):
            self.now_ms += 20
            if isinstance(self.request(number), token_holder.Asked):
                self.answer(self.ask(), 1)
        question = self.ask()
        self.assertEqual(0, question.need)
        self.assertGreater(question.ahead, 4)
        self.answer(question, question.ahead)
        self.assertIsInstance(self.request(100), token_holder.Granted)

    def test_token_of_a_request_that_did_not_run_is_used_again(self):
        self.request(1)
        ((_, outcome),) = self.answer(self.ask(), 1)
        self.assertIsNone(self.hand.give_back(outcome.token, self.now_ms))
        self.assertIsInstance(self.request(2), token_holder.Granted)

    def test_lapsed_token_of_a_request_that_did_not_run_is_returned(self):
        self.request(1)
        ((_, outcome),) = self.answer(self.ask(), 1)
        self.now_ms += 250
        self.assertEqual(
            token_holder.Return('h-1', limit().number, 9, 1),
            self.hand.give_back(outcome.token, self.now_ms),
        )

    def test_token_whose_caller_left_lapses_and_is_returned(self):
        self.request(1)
        question = self.ask()
        self.hand.withdraw(1)
        self.assertEqual([], self.answer(question, 1))
        self.now_ms += 250
        ((returned),) = self.hand.pop_lapsed(self.now_ms)
        self.assertEqual((9, 1), (returned.counted_until_ms, returned.tokens))
        self.assertTrue(self.hand.next_event_at_ms() is None)

    def test_without_a_lender_a_host_uses_no_more_than_its_own(self):
        numbers = range(3)
        for number in numbers:
            self.request(number)
        decided = self.hand.give_up(self.ask(), 1, self.now_ms)
        kinds = [type(outcome) for _, outcome in decided]
        self.assertEqual(
            [token_holder.Granted, *2 * [token_holder.NoLender]], kinds
        )
        # The next ones do not wait until it is asked again.
        self.assertIsInstance(self.request(4, 1), token_holder.NoLender)
        self.now_ms += token_holder.UNREACHABLE_MS
        self.assertEqual(token_holder.Asked(), self.request(5, 1))
