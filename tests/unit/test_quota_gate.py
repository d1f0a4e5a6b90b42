"""The dispatcher holds requests to the quotas of their workspaces."""

import hashlib
import logging
import unittest
from unittest import mock

from cardamomdeal.balancing import outcomes
from cardamomdeal.channels import datagrams
from cardamomdeal.entry import dispatcher
from cardamomdeal.entry import fleet_synchronizer
from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.fleet import routes
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.platform import store
from cardamomdeal.platform import wire
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import lenders
from cardamomdeal.workspaces import model as workspace_model
from tests.unit import test_quotas
from tests.unit import test_workspace_keys

KEY = hashlib.sha256(b'key').digest()
LIMITS = model.Limits(16_384, 1_000, 3_000, 15_000)
LOAD = outcomes.Load(1, 0, 3)


def host(name, number):
    return model.EntryHost(
        name,
        1,
        'r',
        'z',
        address.Address('10.0.0.1', number),
        address.Address('10.0.0.2', number),
        0.0,
    )


class QuotaGateTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.clock = clock.ManualClock(1_000_000)
        self.synchronizer = mock.Mock()
        self.own = host('h-0', 1)
        settings = mock.Mock(
            bounds=test_quotas.BOUNDS,
            peers=self.own.peers,
            place=settings_model.Place('h-0', 'r', 'z'),
        )
        settings.name = 'h-0'
        self.dispatcher = dispatcher.Dispatcher(
            settings, self.synchronizer, self.clock, mock.Mock()
        )
        self.addCleanup(self.dispatcher.on_stop)
        self.configure(workspace_model.Quota(1.0, 2.0))
        server = model.BackendServer(
            'i-1',
            1,
            's',
            address.Address('10.0.0.3', 1),
            'z',
            3,
            model.ServerState.READY,
            0,
        )
        self.send(messages.ServersUpdated((server,), 1))
        self.see(self.own)
        self.clock.advance(60_000)
        self.see(self.own)

    def configure(self, quota):
        table = self.table(quota)
        self.assertIs(quota is not None, table.has_quotas)
        self.send(messages.RoutesUpdated(table))

    def table(self, quota):
        """Return the routes of a configuration with one workspace."""
        route = model.Route(
            'r',
            'a.example',
            '/',
            model.NonIdempotent(),
            None,
            None,
            1,
            1,
            (model.WeightedService('s', 1.0),),
        )
        workspace = workspace_model.Workspace('w', (KEY,), None, quota)
        configuration = model.Configuration(
            1, (route,), (model.Service('s', 9),), LIMITS, (workspace,)
        )
        return routes.build(configuration)

    def send(self, message):
        return self.dispatcher.receive(message)

    def see(self, *hosts):
        self.send(messages.HostsSeen(hosts, self.clock.now_ms()))

    def admit(self, asked_until_ms=None):
        return self.send(
            messages.Admit(
                'id',
                'a.example',
                '/x',
                5_000,
                self.clock.now_ms(),
                workspace_model.Key(KEY),
                asked_until_ms,
            )
        )

    def finish(self, decision, result):
        self.send(messages.Finished(decision.admission_id, result, None))

    def sent(self):
        """Return the messages that were sent to other hosts."""
        self.send(messages.FlushQuotas())
        told = [call.args[0] for call in self.synchronizer.tell.mock_calls]
        self.synchronizer.tell.reset_mock()
        return [
            (send.to[0], send.message)
            for message in told
            if isinstance(message, messages.SendDatagrams)
            for send in message.sends
        ]

    def test_requests_beyond_the_quota_are_refused(self):
        for _ in range(2):
            self.assertIsInstance(self.admit(), messages.Assigned)
        refused = self.admit()
        self.assertEqual(429, refused.status)
        self.assertGreaterEqual(refused.retry_after_ms, 1_000)
        counters = self.send(messages.GetMetrics()).counters
        self.assertEqual(2, counters['quota.granted'])
        self.assertEqual(1, counters['quota.denied.w'])

    def test_request_that_no_server_ran_uses_no_quota(self):
        """A full server's refusal must not cost the caller its quota."""
        for result in (
            outcomes.NotExecuted(503, LOAD, False),
            outcomes.NotConnected('refused'),
        ) * 4:
            decision = self.admit()
            self.assertIsInstance(decision, messages.Assigned)
            retried = self.send(messages.Retry(decision.admission_id, result))
            if isinstance(retried, messages.Assigned):
                self.finish(retried, result)
            self.clock.advance(1)

    def test_request_that_may_have_run_uses_its_quota(self):
        for _ in range(2):
            self.finish(self.admit(), outcomes.Broken(5, 'reset'))
        self.assertEqual(429, self.admit().status)

    def test_higher_limit_is_usable_at_once(self):
        for _ in range(2):
            self.admit()
        self.clock.advance(10)
        self.configure(workspace_model.Quota(1.0, 9.0))
        for _ in range(7):
            self.assertIsInstance(self.admit(), messages.Assigned)
        self.assertEqual(429, self.admit().status)

    def test_workspace_without_a_quota_is_not_limited(self):
        self.configure(None)
        for _ in range(50):
            self.assertIsInstance(self.admit(), messages.Assigned)
        self.assertEqual([], self.sent())
        self.assertNotIn(
            'quota.granted', self.send(messages.GetMetrics()).counters
        )

    def test_workspaces_are_numbered_when_they_are_decoded(self):
        """The dispatcher serves no request while it numbers them."""
        quota = workspace_model.Quota(1.0, 2.0)
        workspace = workspace_model.Workspace('v', (KEY,), None, quota)
        with mock.patch.object(hashlib, 'blake2b', side_effect=OSError):
            self.dispatcher._quotas._keeper.set_workspaces((workspace,))

    def lender(self):
        """Return another host that lends the workspace's tokens."""
        group = workspace_model.number_of('w')
        for number in range(2, 60):
            other = host(f'h-{number}', number)
            ranking = lenders.Lenders('h-0', 0)
            ranking.set_hosts(('h-0', other.name), 0)
            if ranking.candidates(group, 0)[0] == other.name:
                return other
        raise AssertionError('no host goes before h-0')

    def test_request_waits_for_the_lender_s_answer(self):
        lender = self.lender()
        self.see(self.own, lender)
        waiting = self.admit()
        self.assertIsInstance(waiting, messages.Waiting)
        ((to, asked),) = self.sent()
        self.assertEqual(lender.peers, to)
        ((number, need, ahead),) = (
            (q.workspace, q.need, q.ahead) for q in asked.questions
        )
        self.assertEqual((1, 0), (need, ahead))
        loan = protocol.QuotaLoan(number, 1, 0, 500, 7, None, 0)
        answer = protocol.QuotaAnswers(asked.session, asked.sequence, (loan,))
        for _ in range(2):
            # The second one is a copy.
            self.send(messages.QuotaDatagram(lender.peers, answer))
        watcher = mock.Mock()
        decision = waiting.decision.wait(0, watcher)
        self.assertIsInstance(decision, messages.Assigned)
        self.assertIsInstance(self.admit(), messages.Waiting)

    def test_questions_of_a_moment_are_sent_together(self):
        self.see(self.own, self.lender())
        waiting = [self.admit() for _ in range(3)]
        ((to, asked),) = self.sent()
        ((number, need),) = ((q.workspace, q.need) for q in asked.questions)
        self.assertEqual(3, need)
        loan = protocol.QuotaLoan(number, 2, 0, 500, 7, 900, 0)
        self.send(
            messages.QuotaDatagram(
                to,
                protocol.QuotaAnswers(asked.session, asked.sequence, (loan,)),
            )
        )
        decisions = [r.decision.wait(0, mock.Mock()) for r in waiting]
        self.assertEqual(
            [messages.Assigned, messages.Assigned, messages.Rejected],
            [type(decision) for decision in decisions],
        )

    def test_probe_is_answered_for_a_listed_host_only(self):
        """A host whose entry lapsed must not lend beside its successor."""
        listed, gone = host('h-1', 2), host('h-2', 3)
        self.see(self.own, listed)
        for sender in (listed, gone):
            probe = protocol.LendingRequest(sender.name, 5, is_probe=True)
            self.send(messages.QuotaDatagram(sender.peers, probe))
        ((to, answer),) = self.sent()
        self.assertEqual(listed.peers, to)
        self.assertEqual(protocol.LendingConsent(5, 'none'), answer)

    def handle_told(self):
        """Let the dispatcher handle what it has told itself."""
        inbox = self.dispatcher.actor_inbox
        while not inbox.empty():
            self.send(inbox.get().message)

    def test_token_of_a_rejected_request_goes_to_one_that_is_new(self):
        """It was granted before the caller's thread could wait for it."""
        self.configure(workspace_model.Quota(20.0, 1.0))
        self.clock.advance(10_000)
        self.assertIsInstance(self.admit(), messages.Assigned)
        waiting = [self.admit()]
        self.send(messages.ServersUpdated((), 1))
        self.clock.advance(50)
        waiting.append(self.admit())
        self.handle_told()
        for waits in waiting:
            decision = waits.decision.wait(0, mock.Mock())
            self.assertEqual(503, decision.status)
        self.assertEqual(1, len(self.dispatcher._requests))

    def test_request_that_could_not_be_placed_is_forgotten(self):
        """Its slot and its token were in use for good."""
        self.configure(workspace_model.Quota(0.1, 1.0))
        with mock.patch.object(
            self.dispatcher, '_place_first', side_effect=OSError
        ):
            self.assertRaises(OSError, self.admit)
        self.assertEqual({}, self.dispatcher._requests)
        self.assertIsInstance(self.admit(), messages.Assigned)

    def wait_for_tokens(self, count):
        """Return requests that wait, and grant a token to each."""
        self.see(self.own, self.lender())
        waiting = [self.admit() for _ in range(count)]
        ((to, asked),) = self.sent()
        loan = protocol.QuotaLoan(
            asked.questions[0].workspace, count, 0, 500, 7, None, 0
        )
        answer = protocol.QuotaAnswers(asked.session, asked.sequence, (loan,))
        return waiting, messages.QuotaDatagram(to, answer)

    def test_failure_of_one_request_leaves_the_next_its_token(self):
        """All that were decided on with it waited until their deadlines."""
        waiting, granted = self.wait_for_tokens(2)
        with mock.patch.object(
            self.dispatcher,
            '_place_first',
            side_effect=(OSError, messages.Rejected(503, 'no server')),
        ):
            self.send(granted)
        failed, rejected = (w.decision.wait(0, mock.Mock()) for w in waiting)
        self.assertIsNone(failed)
        self.assertEqual(503, rejected.status)
        self.send(messages.Withdraw(waiting[0].admission_id))
        self.assertNotIn(waiting[0].admission_id, self.dispatcher._requests)

    def test_decision_that_nobody_waits_for_is_withdrawn(self):
        """The server would have kept a request that is never sent."""
        (waiting,), granted = self.wait_for_tokens(1)
        request = self.dispatcher._requests[waiting.admission_id]
        request.reply = None
        self.send(granted)
        self.assertEqual({}, self.dispatcher._requests)
        self.assertIsInstance(self.admit(), messages.Assigned)

    def test_token_that_comes_back_late_goes_to_its_lender(self):
        """The workspace was dropped meanwhile, as nothing else used it."""
        (waiting,), granted = self.wait_for_tokens(1)
        self.send(granted)
        decision = waiting.decision.wait(0, mock.Mock())
        self.clock.advance(4_000)
        keeper = self.dispatcher._quotas._keeper
        keeper.wake(self.clock.now_ms())
        self.finish(decision, outcomes.NotExecuted(503, LOAD, False))
        ((_, message),) = self.sent()
        ((number, counted_until_ms, tokens),) = (
            (r.workspace, r.counted_until_ms, r.tokens)
            for r in message.returned
        )
        self.assertEqual(
            (workspace_model.number_of('w'), 7, 1),
            (number, counted_until_ms, tokens),
        )

    def test_request_that_is_handled_too_late_is_rejected(self):
        """Its thread has answered the caller and would not withdraw it."""
        asked_until_ms = self.clock.now_ms()
        self.assertIsInstance(self.admit(asked_until_ms), messages.Assigned)
        self.clock.advance(1)
        self.assertEqual(503, self.admit(asked_until_ms).status)
        self.assertEqual(1, len(self.dispatcher._requests))
        counters = self.send(messages.GetMetrics()).counters
        self.assertEqual(1, counters['quota.granted'])

    def test_request_whose_caller_left_returns_its_token(self):
        lender = self.lender()
        self.see(self.own, lender)
        waiting = self.admit()
        waiting.decision.close()
        self.send(messages.Withdraw(waiting.admission_id))
        ((_, asked),) = self.sent()
        loan = protocol.QuotaLoan(
            asked.questions[0].workspace, 1, 0, 500, 7, None, 0
        )
        self.send(
            messages.QuotaDatagram(
                lender.peers,
                protocol.QuotaAnswers(asked.session, asked.sequence, (loan,)),
            )
        )
        self.assertIsInstance(self.admit(), messages.Assigned)


class SynchronizerTest(unittest.TestCase):
    def test_dispatcher_knows_the_hosts_before_the_quotas(self):
        """The first requests found no lender and waited."""
        own = host('h-0', 1)
        place = settings_model.Place('h-0', 'r', 'z')
        settings = mock.Mock(
            bounds=test_quotas.BOUNDS,
            place=place,
            heartbeat_ms=1_500,
            seeds=(),
            link_mbps=0.0,
        )
        settings.name = 'h-0'
        with mock.patch.object(datagrams, 'DatagramTask'):
            synchronizer = fleet_synchronizer.FleetSynchronizer(
                settings, own, clock.ManualClock(1_000_000), mock.Mock()
            )
        task = mock.Mock()
        synchronizer.receive(messages.TasksStarted(task, task, task, task))
        table = test_workspace_keys.table(['w', ['key'], 1, 5, 5])
        value = test_workspace_keys.redact(test_workspace_keys.stored(table))
        item = store.Item(wire.CONFIGURATION_KEY, value, 1)
        synchronizer.receive(messages.StoreSnapshot((item,), 1, 1_000_000))
        kinds = [type(call.args[0]) for call in task.tell.mock_calls]
        self.assertLess(
            kinds.index(messages.HostsSeen),
            kinds.index(messages.RoutesUpdated),
        )
