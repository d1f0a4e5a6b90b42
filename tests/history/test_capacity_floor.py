"""Property tests that ejections never break the capacity floor.

Agents fail, restart and change roles in any order, and responses of judges and
the store are delayed or lost.
"""

import dataclasses
from typing import Any
import unittest

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from cardamomdeal.health import ejection_cache
from cardamomdeal.health import ejections
from cardamomdeal.health import permits
from cardamomdeal.internal import clock
from cardamomdeal.protocol import messages

SERVERS = {f'lager-{number}': 3 for number in range(1, 10)}
FLOOR_SLOTS = 21
VALIDITY_MS = 3_000
AGENTS = ('entry-1', 'entry-2')
AGENT = strategies.sampled_from(AGENTS)
# The other servers stay healthy, as peers for the comparison.
SERVER = strategies.sampled_from(['lager-1', 'lager-2', 'lager-3'])
STORE_FAULT = strategies.sampled_from(
    ['none', 'none', 'none', 'lost', 'outage', 'late']
)


@dataclasses.dataclass
class PendingWrite:
    """Write that has not reached the store yet."""

    revision: int
    record: permits.PermitRecord


class Agent:
    """Incarnation of an agent, with its judge and its ejection cache."""

    def __init__(self, name: str, started_ms: int) -> None:
        self.incarnation = messages.Incarnation(name, started_ms)
        self.controller = ejections.EjectionController(
            self.incarnation, VALIDITY_MS
        )
        self.cache = ejection_cache.EjectionCache(VALIDITY_MS)


class CapacityFloorMachine(stateful.RuleBasedStateMachine):
    """State machine of a fleet of agents and the permit store."""

    def __init__(self) -> None:
        super().__init__()
        self.time = clock.ManualClock(1_000)
        self.record = permits.PermitRecord()
        self.revision = 0
        self.delayed_writes: list[PendingWrite] = []
        self.delayed_answers: list[tuple[Agent, messages.HeldEjections]] = []
        self.agents: dict[str, Agent] = {
            name: Agent(name, 0) for name in AGENTS
        }
        self.removed: set[str] = set()
        self.unavailable: dict[str, frozenset[str]] = {}

    @stateful.rule(name=AGENT, server=SERVER)
    def report_failures(self, name: str, server: str) -> None:
        agent = self.agents.get(name)
        if agent is None:
            return
        report = messages.EvidenceReport(
            reporter=name,
            data_centre='a',
            service='lager',
            asked_at_ms=self.time.now_ms(),
            evidence=tuple(
                messages.ServerEvidence(
                    server=other,
                    work_kind='stock',
                    successes=0 if other == server else 20,
                    failures=20 if other == server else 0,
                    refusals=0,
                    latencies=(0, 0, 20),
                )
                for other in SERVERS
            ),
        )
        agent.controller.add_report(report, self.time.now_ms())

    @stateful.rule(
        name=AGENT,
        is_judge=strategies.booleans(),
        is_primary=strategies.booleans(),
        fault=STORE_FAULT,
    )
    def step(
        self, name: str, is_judge: bool, is_primary: bool, fault: str
    ) -> None:
        agent = self.agents.get(name)
        if agent is None:
            return
        snapshot = ejections.FleetSnapshot(
            now_ms=self.time.now_ms(),
            capacity=self._capacity(name),
            is_judge=is_judge or is_primary,
            is_primary=is_primary,
            incarnations={
                other.incarnation.name: other.incarnation
                for other in self.agents.values()
            },
            removed_agents=frozenset(self.removed),
        )
        for action in agent.controller.step(snapshot):
            self._execute(agent, action, fault)

    @stateful.rule(name=AGENT, judge=AGENT, delayed=strategies.booleans())
    def query_judge(self, name: str, judge: str, delayed: bool) -> None:
        requester, responder = self.agents.get(name), self.agents.get(judge)
        if requester is None or responder is None:
            return
        held_ejections = messages.HeldEjections(
            judge=judge,
            service='lager',
            asked_at_ms=self.time.now_ms(),
            ejected=responder.controller.ejected(),
            weights={},
        )
        if delayed:
            self.delayed_answers.append((requester, held_ejections))
        else:
            requester.cache.update(held_ejections)

    @stateful.rule(name=AGENT, server=SERVER, fault=STORE_FAULT)
    def eject(self, name: str, server: str, fault: str) -> None:
        self.report_failures(name, server)
        self.step(name, True, True, fault)
        self.query_judge_from_all(name)

    @stateful.rule(name=AGENT)
    def stop_judging(self, name: str) -> None:
        self.query_judge_from_all(name)
        self.step(name, False, False, 'none')

    @stateful.rule(judge=AGENT)
    def query_judge_from_all(self, judge: str) -> None:
        for name in list(self.agents):
            self.query_judge(name, judge, False)

    @stateful.rule()
    def deliver_delayed_answers(self) -> None:
        for agent, held_ejections in self.delayed_answers:
            agent.cache.update(held_ejections)
        self.delayed_answers = []

    @stateful.rule()
    def deliver_delayed_writes(self) -> None:
        for write in self.delayed_writes:
            self._compare_and_swap(write)
        self.delayed_writes = []

    @stateful.rule(step_ms=strategies.sampled_from([100, 1_000, 4_000]))
    def advance(self, step_ms: int) -> None:
        self.time.advance(step_ms)

    @stateful.rule(name=AGENT)
    def restart(self, name: str) -> None:
        self.time.advance(1)
        self.agents[name] = Agent(name, self.time.now_ms())
        self.removed.discard(name)

    @stateful.rule(name=AGENT)
    def remove_host(self, name: str) -> None:
        self.agents.pop(name, None)
        self.removed.add(name)

    @stateful.rule(name=AGENT, servers=strategies.sets(SERVER, max_size=2))
    def set_unavailable(self, name: str, servers: set[str]) -> None:
        self.unavailable[name] = frozenset(servers)

    @stateful.invariant()
    def all_cached_ejections_together_keep_floor(self) -> None:
        ejected: set[str] = set()
        for agent in self.agents.values():
            agent.cache.expire(self.time.now_ms())
            ejected.update(agent.cache.ejected('lager'))
        remaining_slots = sum(
            slots for name, slots in SERVERS.items() if name not in ejected
        )
        assert remaining_slots >= FLOOR_SLOTS, (
            f'{sorted(ejected)} ejected, {remaining_slots} left'
        )

    @stateful.invariant()
    def each_agent_keeps_floor_with_unavailable_servers(self) -> None:
        for name, agent in self.agents.items():
            capacity = self._capacity(name)
            states = ejection_cache.server_states(
                agent.cache, {'lager': capacity}, frozenset()
            )
            ejected = frozenset(s.server for s in states if s.ejected)
            assert not ejected or capacity.keeps_floor(ejected)

    def _capacity(self, name: str) -> permits.Capacity:
        return permits.Capacity(
            FLOOR_SLOTS,
            SERVERS,
            self.unavailable.get(name, frozenset()),
        )

    def _execute(self, agent: Agent, action: Any, fault: str) -> None:
        match action:
            case ejections.RequestPermit(server, capacity):
                updated = permits.grant_permit(
                    self.record, server, agent.incarnation, capacity
                )
            case ejections.RemovePermits(removed):
                updated = self.record.without(removed)
            case ejections.ReadPermits():
                updated = None
        if fault == 'outage':
            return
        if updated is not None:
            write = PendingWrite(self.revision, updated)
            if fault == 'late':
                self.delayed_writes.append(write)
                return
            self._compare_and_swap(write)
        if fault != 'lost':
            agent.controller.reconcile_permits(self.record, self.time.now_ms())

    def _compare_and_swap(self, write: PendingWrite) -> None:
        if write.revision == self.revision:
            self.revision += 1
            self.record = write.record


CapacityFloorTest: type[unittest.TestCase] = CapacityFloorMachine.TestCase
CapacityFloorTest.settings = settings(
    max_examples=100,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class CapacityFloorSequenceTest(unittest.TestCase):
    """Event sequences that a random search finds too rarely."""

    def setUp(self) -> None:
        self.fleet = CapacityFloorMachine()
        self.fleet.eject('entry-1', 'lager-1', 'none')
        self.fleet.eject('entry-1', 'lager-2', 'none')

    def assert_floor_and_permit_count(self, permit_count: int) -> None:
        self.fleet.all_cached_ejections_together_keep_floor()
        self.assertEqual(permit_count, len(self.fleet.record.permits))

    def test_permit_is_kept_until_cached_ejections_expire(self) -> None:
        self.fleet.stop_judging('entry-1')
        self.fleet.step('entry-1', False, False, 'none')
        self.fleet.eject('entry-2', 'lager-3', 'none')
        self.assert_floor_and_permit_count(2)
        self.fleet.advance(4_000)
        self.fleet.step('entry-1', False, False, 'none')
        self.fleet.eject('entry-2', 'lager-3', 'none')
        self.assert_floor_and_permit_count(1)

    def test_permits_of_removed_host_are_kept_until_cached_ejections_expire(
        self,
    ) -> None:
        self.fleet.remove_host('entry-1')
        for _ in range(3):
            self.fleet.eject('entry-2', 'lager-3', 'none')
        self.assert_floor_and_permit_count(2)
        self.fleet.advance(4_000)
        self.fleet.step('entry-2', True, True, 'none')
        self.fleet.eject('entry-2', 'lager-3', 'none')
        self.assert_floor_and_permit_count(1)

    def test_silent_holder_keeps_its_permits(self) -> None:
        self.fleet.advance(60_000)
        for _ in range(3):
            self.fleet.eject('entry-2', 'lager-3', 'none')
            self.fleet.advance(4_000)
        self.assert_floor_and_permit_count(2)

    def test_delayed_answer_does_not_extend_an_ejection(self) -> None:
        self.fleet.query_judge('entry-2', 'entry-1', True)
        self.fleet.stop_judging('entry-1')
        self.fleet.advance(4_000)
        self.fleet.step('entry-1', False, False, 'none')
        self.fleet.deliver_delayed_answers()
        self.fleet.eject('entry-2', 'lager-3', 'none')
        self.assert_floor_and_permit_count(1)

    def test_permit_is_kept_if_the_answer_of_the_store_is_lost(self) -> None:
        self.fleet.stop_judging('entry-1')
        self.fleet.advance(4_000)
        self.fleet.step('entry-1', False, False, 'none')
        self.fleet.eject('entry-1', 'lager-3', 'lost')
        self.assert_floor_and_permit_count(1)
        self.assertIsInstance(
            self.fleet.agents['entry-1'].controller.case('lager-3'),
            ejections.Suspected,
        )
        self.fleet.advance(1_000)
        self.fleet.eject('entry-1', 'lager-3', 'none')
        self.assert_floor_and_permit_count(1)
        self.assertEqual(
            ('lager-3',), self.fleet.agents['entry-1'].controller.ejected()
        )
