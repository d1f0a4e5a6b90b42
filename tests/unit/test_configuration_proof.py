"""Tests of the proof that a host's configuration is recent."""

import dataclasses
import logging
import random
import unittest
from unittest import mock

from cardamomdeal.balancing import outcomes
from cardamomdeal.entry import dispatcher
from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.fleet import proof_exchange
from cardamomdeal.fleet import routes
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import model as workspace_model
from cardamomdeal.workspaces import proof

REVOKE_MS = 5_000
BOUNDS = settings_model.Bounds(
    drain_ms=2_500,
    stop_grace_ms=6_000,
    max_keep_for_ms=5_000,
    repeat_ratio=0.2,
    repeat_window_ms=10_000,
    repeat_slack=192.0,
    capacity_floor=0.7,
    fail_closed=True,
    revoke_ms=REVOKE_MS,
)
OPEN_BOUNDS = dataclasses.replace(BOUNDS, fail_closed=False, revoke_ms=None)


class ConfigurationProofTest(unittest.TestCase):
    def setUp(self):
        self.proof = proof.ConfigurationProof(BOUNDS)
        self.proof.record_applied(7)

    def record(self, revision, proved_at_ms):
        return self.proof.record(proof.Proof(revision, proved_at_ms))

    def test_host_that_has_just_started_has_no_proof(self):
        self.assertIsNotNone(self.proof.check(0))

    def test_proof_ends_before_revocations_must_be_in_force(self):
        self.record(7, 10_000)
        self.assertIsNone(self.proof.check(14_000))
        self.assertIsNotNone(self.proof.check(10_000 + REVOKE_MS - 1))

    def test_proof_of_a_later_configuration_waits_for_it(self):
        # Otherwise keys that the later one took away would stay valid.
        self.record(7, 10_000)
        self.assertFalse(self.record(8, 14_000))
        self.assertIsNotNone(self.proof.check(16_000))
        self.assertTrue(self.proof.record_applied(8))
        self.assertIsNone(self.proof.check(16_000))

    def test_proof_of_an_earlier_configuration_holds(self):
        self.proof.record_applied(9)
        self.assertTrue(self.record(8, 10_000))

    def test_configuration_between_the_two_proves_nothing(self):
        self.record(9, 10_000)
        self.assertFalse(self.proof.record_applied(8))
        self.assertIsNotNone(self.proof.check(10_100))

    def test_reordered_proofs_change_nothing(self):
        self.record(7, 10_000)
        self.assertFalse(self.record(7, 9_000))
        self.assertFalse(self.record(7, 10_000))
        self.assertEqual(10_000, self.proof.current.proved_at_ms)

    def test_nothing_is_checked_unless_revocations_fail_closed(self):
        self.proof.set_bounds(OPEN_BOUNDS)
        self.assertIsNone(self.proof.check(10**9))

    def test_callers_return_soon_and_later_in_a_long_outage(self):
        self.record(7, 10_000)
        waits_ms = [
            self.proof.check(now_ms).retry_after_ms
            for now_ms in (15_000, 17_000, 60_000)
        ]
        self.assertLess(waits_ms[0], 1_000)
        self.assertEqual(sorted(waits_ms), waits_ms)
        self.assertLess(waits_ms[-1], REVOKE_MS)


class ProofExchangeTest(unittest.TestCase):
    """Questions of one of 60 hosts in 3 data centres."""

    def setUp(self):
        self.hosts = [self.host(number) for number in range(60)]
        self.exchange = self.exchange_of(self.hosts[9])

    def host(self, number):
        at = address.Address(f'10.0.0.{number}', 7_200)
        return model.EntryHost(
            f'h-{number}', 1, 'r', f'a-{number % 3}', at, at, 10.0
        )

    def exchange_of(self, host):
        exchange = proof_exchange.ProofExchange(host, random.Random(3))
        exchange.set_hosts(self.hosts)
        return exchange

    def situation(self, age_ms=1_000, reads_store=False):
        relays = (self.hosts[0], self.hosts[3])
        return proof_exchange.Situation(
            age_ms, REVOKE_MS, reads_store, relays, ('h-1', 'h-2')
        )

    def targets(self, now_ms, **situation):
        question = self.exchange.ask(self.situation(**situation), now_ms)
        return {host.name for host in question.targets} if question else set()

    def test_host_asks_the_relay_of_its_data_centre_about_once_a_second(self):
        asked = [self.targets(now_ms) for now_ms in range(0, 9_000, 300)]
        self.assertEqual(10, asked.count({'h-0'}))
        self.assertEqual(20, asked.count(set()))

    def test_relay_asks_a_reader(self):
        self.exchange = self.exchange_of(self.hosts[3])
        self.assertEqual({'h-1'}, self.targets(0))

    def test_reader_asks_nobody(self):
        self.assertEqual(set(), self.targets(0, reads_store=True))

    def test_old_or_missing_proof_is_asked_for_often_and_elsewhere(self):
        for age_ms in (None, 3_000, 60_000):
            with self.subTest(age_ms=age_ms):
                self.setUp()
                asked = [
                    self.targets(now_ms, age_ms=age_ms)
                    for now_ms in range(0, 6_000, 300)
                ]
                self.assertTrue(all({'h-0', 'h-3'} <= a for a in asked))
                self.assertTrue(any({'h-1', 'h-2'} & a for a in asked))
                self.assertGreater(len(set().union(*asked)), 8)

    def test_readers_get_few_questions_of_a_large_fleet(self):
        self.hosts = [self.host(n) for n in range(2_000)]
        self.exchange = self.exchange_of(self.hosts[9])
        asked = [
            self.targets(now_ms, age_ms=None)
            for now_ms in range(0, 3_000_000, 300)
        ]
        each = sum(1 for a in asked if {'h-1', 'h-2'} & a) / 3_000
        self.assertLess(
            2_000 * each, 1.2 * proof_exchange.READER_QUESTIONS_PER_S
        )

    def test_answer_holds_as_of_the_question(self):
        nonce = self.exchange.ask(self.situation(), 5_000).nonce
        self.assertEqual(4_200, self.exchange.proved_at_ms(nonce, 800))

    def test_answers_to_nobodys_question_are_ignored(self):
        # As those to a process that ran here before, or with a wrong age.
        nonce = self.exchange.ask(self.situation(), 5_000).nonce
        self.assertIsNone(self.exchange.proved_at_ms(nonce + 1, 800))
        self.assertIsNone(self.exchange.proved_at_ms(nonce, -800))
        restarted = self.exchange_of(self.hosts[9])
        self.assertIsNone(restarted.proved_at_ms(nonce, 800))


class Synchronizer:
    def tell(self, message):
        pass


class DispatcherTest(unittest.TestCase):
    """A host runs requests with a key only while it holds a proof."""

    KEY = workspace_model.Key(b'k' * 32)

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.clock = clock.ManualClock(1_000_000)
        self.dispatcher = self.build(BOUNDS)

    def build(self, bounds, workspaces=True):
        settings = mock.Mock(
            place=settings_model.Place('h', 'r', 'a'), bounds=bounds
        )
        built = dispatcher.Dispatcher(
            settings, Synchronizer(), self.clock, mock.Mock()
        )
        built.receive(messages.RoutesUpdated(self.table(workspaces)))
        at = address.Address('10.0.0.1', 80)
        servers = tuple(
            model.BackendServer(
                f'i-{n}', 1, 's', at, 'a', 3, model.ServerState.READY, 0
            )
            for n in range(3)
        )
        built.receive(messages.ServersUpdated(servers, 1))
        return built

    def table(self, workspaces):
        names = (('/private/', False), ('/public/', True))
        workspace = workspace_model.Workspace(
            'w', (self.KEY.digest,), None, None
        )
        return routes.build(
            model.Configuration(
                4,
                tuple(
                    model.Route(
                        prefix,
                        'x.example',
                        prefix,
                        model.Idempotent(),
                        3_000,
                        None,
                        1,
                        3,
                        (model.WeightedService('s', 1),),
                        is_public,
                    )
                    for prefix, is_public in names
                ),
                (model.Service('s', 10),),
                model.Limits(16_000, 16_000, 3_000, 15_000),
                (workspace,) if workspaces else None,
            )
        )

    def prove(self):
        now_ms = self.clock.now_ms()
        self.dispatcher.receive(
            messages.ProofUpdated(proof.Proof(7, now_ms - 1_000))
        )

    def admit(self, path='/private/x', key=None):
        return self.dispatcher.receive(
            messages.Admit(
                'id', 'x.example', path, 4_000, self.clock.now_ms(), key
            )
        )

    def assert_unproven(self, decision):
        self.assertIsInstance(decision, messages.Rejected)
        self.assertEqual(503, decision.status)
        self.assertLess(decision.retry_after_ms, 1_000)

    def test_request_without_proof_does_not_run(self):
        self.assert_unproven(self.admit(key=self.KEY))
        self.prove()
        self.assertIsInstance(self.admit(key=self.KEY), messages.Assigned)

    def test_suspended_host_needs_a_new_proof(self):
        self.prove()
        self.clock.advance(REVOKE_MS)
        self.assert_unproven(self.admit(key=self.KEY))

    def test_key_is_not_called_unknown_without_proof(self):
        # It may have been added since.
        unknown = workspace_model.Key(b'u' * 32)
        self.assert_unproven(self.admit(key=unknown))
        self.prove()
        self.assertEqual(401, self.admit(key=unknown).status)

    def test_public_route_needs_no_proof(self):
        decision = self.admit('/public/x', workspace_model.NoKey())
        self.assertIsInstance(decision, messages.Assigned)

    def test_other_deployments_need_no_proof(self):
        for bounds, workspaces, key in (
            (OPEN_BOUNDS, True, self.KEY),
            (BOUNDS, False, workspace_model.NoKey()),
        ):
            with self.subTest(bounds=bounds, workspaces=workspaces):
                self.dispatcher = self.build(bounds, workspaces)
                self.assertIsInstance(self.admit(key=key), messages.Assigned)

    def test_second_attempt_is_checked_again(self):
        self.prove()
        assigned = self.admit(key=self.KEY)
        self.clock.advance(REVOKE_MS)
        # The caller's deadline is later for this one.
        self.dispatcher._requests[
            assigned.admission_id
        ].deadline_at_ms += 60_000
        decision = self.dispatcher.receive(
            messages.Retry(assigned.admission_id, outcomes.NotConnected('x'))
        )
        self.assertIsInstance(decision, messages.NoRetry)

    def test_waiting_request_is_checked_when_it_goes_out(self):
        self.prove()
        request = self.dispatcher._requests[
            self.admit(key=self.KEY).admission_id
        ]
        waiting = self.dispatcher._defer(request)
        self.addCleanup(waiting.decision.close)
        self.clock.advance(REVOKE_MS)
        self.assert_unproven(self.dispatcher._place(request))

    def test_age_of_the_proof_is_a_metric(self):
        self.prove()
        metrics = self.dispatcher.receive(messages.GetMetrics())
        self.assertEqual(1_001, metrics.counters['proof.age_ms'])
