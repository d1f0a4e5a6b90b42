"""No request with a key runs past the bound after its key was taken away.

The synchronizers of some hosts exchange real messages over a simulated
network that loses, delays, repeats and splits; the store turns hosts away, is
slow, down or loses answers; hosts are suspended and restarted. Before, a host
that had not heard of a revocation ran requests for as long as that lasted.
"""

import collections
import dataclasses
import functools
import logging
import random
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cardamomdeal.entry import fleet_state
from cardamomdeal.entry import messages
from cardamomdeal.entry import store_follower
from cardamomdeal.platform import store
from cardamomdeal.platform import wire
from cardamomdeal.protocol import codec
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.workspaces import proof
from tests.history import test_changes_reach_hosts as simulation

REVOKE_MS = 5_000
BOUNDS = dataclasses.replace(
    simulation.BOUNDS, fail_closed=True, revoke_ms=REVOKE_MS
)
CHECK_INTERVAL_MS = 50
# A watch notices a change within this time.
POLL_MS = 20
MAX_LATE_MS = 8_000
SECONDS = 10
# Share of the time in which calm hosts may be without a proof.
MAX_REFUSED_SHARE = 0.001
HOSTS = 6
# Of a datagram, on the wire.
HEADER_BYTES = 28


@dataclasses.dataclass
class Faults:
    """Faults of the network and of the store."""

    lost: float = 0.0
    repeated: float = 0.0
    late: float = 0.0
    # Hosts that only reach each other.
    cut_off: frozenset[str] = frozenset()
    store_answer_ms: int = 4
    store_lost: float = 0.0


class Network(simulation.Network):
    """Network with faults."""

    def __init__(self, events):
        super().__init__(events)
        self.faults = Faults()
        # Questions and answers about proofs, and their bytes.
        self.proof_bytes = self.remote_proof_bytes = 0
        self.questions: collections.Counter[str] = collections.Counter()
        self.rng = random.Random(5)

    def send(self, sender, command):
        message = command.message
        if isinstance(message, protocol.ProofRequest | protocol.ProofReply):
            size_bytes = len(codec.encode(message)) + HEADER_BYTES
            for target in command.to:
                self.proof_bytes += size_bytes
                receiver = self.hosts.get(target)
                if receiver is None:
                    continue
                if receiver.place != sender.place:
                    self.remote_proof_bytes += size_bytes
                if isinstance(message, protocol.ProofRequest):
                    self.questions[receiver.entry.name] += 1
        super().send(sender, command)

    def _transmit(self, sender, data, target):
        receiver = self.hosts.get(target)
        names = {sender.entry.name, receiver.entry.name} if receiver else set()
        if len(names & self.faults.cut_off) == 1:
            return
        if self.rng.random() < self.faults.lost:
            return
        if self.rng.random() < self.faults.repeated:
            self._transmit_later(sender, data, target)
        if self.rng.random() < self.faults.late:
            self._transmit_later(sender, data, target)
        else:
            super()._transmit(sender, data, target)

    def _transmit_later(self, sender, data, target):
        send = super()._transmit
        self._events.after(
            self.rng.uniform(1, MAX_LATE_MS),
            lambda: send(sender, data, target),
        )


class Process:
    """Gate before a synchronizer: a suspended one handles nothing.

    Between any two messages a request may arrive.
    """

    def __init__(self, synchronizer, check):
        self._synchronizer = synchronizer
        self._check = check
        self._waiting = []
        self.is_suspended = False
        self.has_ended = False

    def __getattr__(self, name):
        return getattr(self._synchronizer, name)

    def receive(self, message):
        if self.has_ended:
            return
        self._waiting.append(message)
        self._handle_waiting()

    def resume(self):
        self.is_suspended = False
        self._check()
        self._handle_waiting()

    def _handle_waiting(self):
        while self._waiting and not self.is_suspended:
            self._synchronizer.receive(self._waiting.pop(0))
            self._check()


class Host(simulation.Host):
    """Host whose dispatcher holds a proof, and that watches the store."""

    def __init__(self, fleet, number, link_mbps):
        self.proof = proof.ConfigurationProof(BOUNDS)
        self.version = 0
        self._is_urgent = False
        super().__init__(fleet, number, link_mbps)
        rng = random.Random(number)
        self.synchronizer._rng = rng
        self.synchronizer._proofs._exchange._rng = rng
        self.check = lambda: None
        self.synchronizer = Process(self.synchronizer, lambda: self.check())

    def tell(self, message):
        match message:
            case messages.RoutesUpdated(table):
                self.version = table.version
            case messages.ProofUpdated(newer):
                assert newer.revision <= self._revision_in_force()
                self.proof.record_applied(newer.revision)
                self.proof.record(newer)
            case messages.FollowStore():
                self._is_urgent = message.is_urgent
        super().tell(message)

    def _revision_in_force(self):
        written = [
            event.revision
            for event in self._fleet.store.history
            if event.key == wire.CONFIGURATION_KEY
        ]
        return written[self.version - 1]

    def _call_store(self):
        if not self._should_read or self.synchronizer.has_ended:
            self._is_calling = False
            return
        wait_ms, margin_ms = (
            store_follower.WATCH_MS,
            store.WATCH_TIMEOUT_MARGIN_MS,
        )
        if self._is_urgent:
            wait_ms = store_follower.URGENT_WATCH_MS
            margin_ms = store_follower.URGENT_MARGIN_MS
        faults, rng = self._fleet.network.faults, self._fleet.network.rng
        asked_at_ms = self._events.clock.now_ms()
        end_ms = asked_at_ms + wait_ms + margin_ms
        delay_ms = faults.store_answer_ms * rng.uniform(0.5, 1.5)
        if not self.reaches_store or rng.random() < faults.store_lost:
            self._events.after(wait_ms + margin_ms, self._fail_call)
            return
        self._fleet.store.calls += 1
        # The store looks at any time between question and answer.
        before_ms = rng.uniform(0, delay_ms)
        self._events.after(
            before_ms,
            lambda: self._watch(
                asked_at_ms,
                asked_at_ms + wait_ms,
                delay_ms - before_ms,
                end_ms,
            ),
        )

    def _watch(self, asked_at_ms, until_ms, delay_ms, end_ms):
        now_ms = self._events.clock.now_ms()
        current = self._fleet.store
        if self._revision == current.revision and now_ms < until_ms:
            self._events.after(
                POLL_MS,
                lambda: self._watch(asked_at_ms, until_ms, delay_ms, end_ms),
            )
            return
        if now_ms + delay_ms > end_ms:
            self._events.after(max(0, end_ms - now_ms), self._fail_call)
            return
        after, revision = self._revision, current.revision
        if after is None:
            update = messages.StoreSnapshot(
                tuple(current.items.values()), revision, asked_at_ms
            )
        else:
            changes = tuple(e for e in current.history if e.revision > after)
            update = messages.StoreChanged(
                after, changes, revision, asked_at_ms
            )
        self._events.after(delay_ms, lambda: self._deliver(update, revision))

    def _deliver(self, update, revision):
        self._revision = max(self._revision or 0, revision)
        self.synchronizer.receive(update)
        self._events.after(self._call_interval_ms, self._call_store)


class Fleet:
    """Hosts, revocations, and what the hosts would run."""

    def __init__(self, hosts=HOSTS, fast=3, places=3):
        patches = (
            mock.patch.multiple(
                simulation, BOUNDS=BOUNDS, Host=Host, Network=Network
            ),
            # What the configuration holds decides whether it is checked, not
            # whether it is proved.
            mock.patch.object(fleet_state.FleetState, 'has_workspaces', True),
        )
        for patch in patches:
            patch.start()
        self.end = lambda: [patch.stop() for patch in patches]
        self.fleet = simulation.Fleet(hosts, fast, 3, places=places)
        self.events, self.network = self.fleet.events, self.fleet.network
        self.revoked: list[tuple[int, int]] = []
        self.past_revocation: list[str] = []
        self.checks = self.refused = 0
        self._watch_hosts()

    @property
    def hosts(self):
        return self.fleet.hosts

    def set_faults(self, **faults):
        self.network.faults = dataclasses.replace(
            self.network.faults, **faults
        )

    def revoke(self):
        self.fleet.change_configuration()
        self.revoked.append((self.events.clock.now_ms(), self.fleet.version))

    def cut_off(self, numbers):
        self.set_faults(cut_off=frozenset(f'host-{n}' for n in numbers))

    def turn_away(self, numbers):
        for number, host in enumerate(self.hosts):
            host.reaches_store = number not in numbers

    def suspend(self, host, duration_ms):
        process = host.synchronizer
        process.is_suspended = True
        self.events.after(duration_ms, process.resume)

    def restart(self, host):
        host.synchronizer.has_ended = True
        host.is_heard = False
        self.fleet.restart(host)

    def run(self, duration_ms):
        self.checks = self.refused = 0
        self.events.run(duration_ms)

    def _watch_hosts(self):
        for host in self.hosts:
            host.check = functools.partial(self.check, host)
            if not host.synchronizer.is_suspended:
                self.check(host)
        self.events.after(CHECK_INTERVAL_MS, self._watch_hosts)

    def check(self, host):
        """Record whether a request that is sent now would run."""
        now_ms = self.events.clock.now_ms()
        self.checks += 1
        if host.proof.check(now_ms) is not None:
            self.refused += 1
            return
        in_force = [
            version
            for at_ms, version in self.revoked
            if now_ms > at_ms + REVOKE_MS
        ]
        if in_force and host.version < in_force[-1]:
            self.past_revocation.append(
                f'{host.entry.name} runs version {host.version}, not '
                f'{in_force[-1]}, at {now_ms}'
            )


class RevocationMachine(stateful.RuleBasedStateMachine):
    """Revocations among faults that come in any order."""

    def __init__(self):
        super().__init__()
        logging.disable(logging.CRITICAL)
        self.fleet = Fleet()

    def teardown(self):
        logging.disable(logging.NOTSET)
        self.fleet.end()

    @stateful.rule(duration_ms=strategies.integers(100, 6_000))
    def wait(self, duration_ms):
        self.fleet.run(duration_ms)

    @stateful.rule(duration_ms=strategies.integers(0, 3_000))
    def revoke(self, duration_ms):
        self.fleet.revoke()
        self.fleet.run(duration_ms)

    @stateful.rule(
        numbers=strategies.sets(strategies.integers(0, HOSTS - 1)),
        duration_ms=strategies.integers(0, 6_000),
    )
    def cut_off(self, numbers, duration_ms):
        self.fleet.cut_off(numbers)
        self.fleet.run(duration_ms)

    @stateful.rule(
        numbers=strategies.sets(strategies.integers(0, HOSTS - 1)),
        duration_ms=strategies.integers(0, 15_000),
    )
    def isolate(self, numbers, duration_ms):
        self.fleet.cut_off(numbers)
        self.fleet.turn_away(numbers)
        self.fleet.revoke()
        self.fleet.run(duration_ms)

    @stateful.rule(
        numbers=strategies.sets(strategies.integers(0, HOSTS - 1)),
        duration_ms=strategies.integers(0, 6_000),
    )
    def turn_away(self, numbers, duration_ms):
        self.fleet.turn_away(numbers)
        self.fleet.run(duration_ms)

    @stateful.rule(
        lost=strategies.sampled_from((0.0, 0.1, 0.5)),
        repeated=strategies.sampled_from((0.0, 0.3)),
        late=strategies.sampled_from((0.0, 0.3)),
        answer_ms=strategies.sampled_from((4, 300, 900)),
        store_lost=strategies.sampled_from((0.0, 0.3)),
    )
    def disturb(self, lost, repeated, late, answer_ms, store_lost):
        self.fleet.set_faults(
            lost=lost,
            repeated=repeated,
            late=late,
            store_answer_ms=answer_ms,
            store_lost=store_lost,
        )

    @stateful.rule(
        number=strategies.integers(0, HOSTS - 1),
        duration_ms=strategies.integers(100, 9_000),
    )
    def suspend(self, number, duration_ms):
        self.fleet.suspend(self.fleet.hosts[number], duration_ms)

    @stateful.rule(number=strategies.integers(0, HOSTS - 1))
    def restart(self, number):
        self.fleet.restart(self.fleet.hosts[number])

    @stateful.invariant()
    def no_request_runs_past_its_revocation(self):
        assert not self.fleet.past_revocation, self.fleet.past_revocation[:3]


RevocationMachine.TestCase.settings = hypothesis.settings(
    max_examples=100,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    # Steps depend on each other through time, so few can be left out.
    phases=(hypothesis.Phase.generate,),
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
RevocationTest = RevocationMachine.TestCase


class ProvedHostsTest(unittest.TestCase):
    """Hosts that could know the newest configuration run requests."""

    def fleet(self, hosts=60):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        fleet = Fleet(hosts, fast=6)
        self.addCleanup(fleet.end)
        return fleet

    def refused_share(self, fleet, what):
        share = fleet.refused / fleet.checks
        print(f'{what}: {share:.4f} of the time without a proof')
        self.assertEqual([], fleet.past_revocation)
        return share

    def assert_proved(self, fleet, what):
        self.assertLessEqual(
            self.refused_share(fleet, what), MAX_REFUSED_SHARE
        )

    def test_calm(self):
        fleet = self.fleet()
        fleet.run(20_000)
        self.assert_proved(fleet, 'calm')

    def test_packets_are_lost(self):
        fleet = self.fleet()
        fleet.set_faults(lost=0.05)
        fleet.run(20_000)
        self.assert_proved(fleet, 'one packet in twenty lost')

    def test_store_is_slow(self):
        for answer_ms in (200, 500):
            fleet = self.fleet()
            fleet.set_faults(store_answer_ms=answer_ms)
            fleet.run(20_000)
            self.assert_proved(fleet, f'store answers after {answer_ms} ms')

    def test_store_turns_a_share_of_the_hosts_away(self):
        """The others prove to them that their configuration is the newest.

        All keys of a workspace are taken away meanwhile, and callers go on
        using them at the hosts that the store turns away.
        """
        for first in range(3):
            fleet = self.fleet()
            fleet.fleet.turn_away(fleet.hosts[first::3])
            fleet.run(500)
            fleet.revoke()
            fleet.run(9_000)
            self.assert_proved(fleet, f'a third turned away, from {first}')

    def test_store_turns_readers_and_relays_away(self):
        fleet = self.fleet()
        fleet.fleet.turn_away(fleet.hosts[:6])
        fleet.run(9_000)
        self.assert_proved(fleet, 'readers and relays turned away')

    def test_readers_and_relays_die(self):
        fleet = self.fleet()
        for host in fleet.hosts[:6]:
            host.synchronizer.has_ended = True
            host.is_heard = False
            del fleet.network.hosts[host.entry.peers]
        fleet.fleet.hosts = fleet.hosts[6:]
        fleet.run(9_000)
        self.assert_proved(fleet, 'readers and relays dead')

    def test_proofs_are_back_soon_after_the_store(self):
        fleet = self.fleet()
        fleet.set_faults(store_lost=1.0)
        fleet.run(12_000)
        self.assertEqual(len(fleet.hosts), self.unproven(fleet))
        fleet.set_faults(store_lost=0.0)
        fleet.run(1_500)
        print('1.5 s after the store:', self.unproven(fleet), 'unproven')
        fleet.run(1_000)
        self.assertEqual(0, self.unproven(fleet))

    def unproven(self, fleet):
        now_ms = fleet.events.clock.now_ms()
        return sum(h.proof.check(now_ms) is not None for h in fleet.hosts)

    def test_host_cut_off_stops_and_others_go_on(self):
        fleet = self.fleet()
        cut_off = fleet.hosts[20]
        cut_off.reaches_store = False
        fleet.set_faults(cut_off=frozenset({cut_off.entry.name}))
        fleet.run(6_000)
        self.assertEqual(1, self.unproven(fleet))

    def test_answer_of_the_store_dates_from_the_question(self):
        """A reader is suspended before it gets an answer of the store.

        When it goes on, the answer is older than the revocation that has come
        meanwhile, and nobody tells the reader of it.
        """
        fleet = self.fleet(hosts=6)
        fleet.set_faults(store_answer_ms=300)
        (reader, *_) = [h for h in fleet.hosts if h.synchronizer.is_reading]
        for asked_for_ms in range(0, 1_000, 100):
            fleet.run(asked_for_ms)
            fleet.suspend(reader, 9_000)
            fleet.run(1_200)
            fleet.cut_off({fleet.hosts.index(reader)})
            reader.reaches_store = False
            fleet.revoke()
            fleet.run(12_000)
            self.assertEqual([], fleet.past_revocation)
            reader.reaches_store = True
            fleet.cut_off(set())
            fleet.run(3_000)

    def test_nothing_is_sent_where_it_is_not_asked_for(self):
        fleet = self.fleet(hosts=20)
        with mock.patch.object(
            fleet_state.FleetState, 'has_workspaces', False
        ):
            fleet.network.sent_messages.clear()
            fleet.run(5_000)
        sent = fleet.network.sent_messages
        self.assertEqual(0, sent[protocol.ProofRequest])
        self.assertEqual(0, sent[protocol.ProofReply])


class CostTest(unittest.TestCase):
    """Messages of the proofs grow with the hosts, those at readers do not."""

    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_costs_by_number_of_hosts(self):
        for hosts in (113, 136, 300):
            fleet = Fleet(hosts, fast=6)
            self.addCleanup(fleet.end)
            network = fleet.network
            network.sent_messages.clear()
            network.questions.clear()
            network.proof_bytes = network.remote_proof_bytes = 0
            calls = fleet.fleet.store.calls
            fleet.run(SECONDS * 1_000)
            questions = network.questions.total()
            replies = network.sent_messages[protocol.ProofReply]
            busiest = max(network.questions.values())
            readers = [
                network.questions[host.entry.name]
                for host in fleet.hosts
                if host.synchronizer.is_reading
            ]
            print(
                f'{hosts} hosts, each second: {questions / SECONDS:.0f} '
                f'questions, {replies / SECONDS:.0f} replies, '
                f'{network.proof_bytes / SECONDS:.0f} bytes, between data '
                f'centres {network.remote_proof_bytes / SECONDS:.0f}; at one '
                f'host {busiest / SECONDS:.0f} questions, at readers '
                f'{[n / SECONDS for n in readers]}; '
                f'{(fleet.fleet.store.calls - calls) / SECONDS} store calls'
            )
            self.assertLess(questions, 2 * SECONDS * hosts)
