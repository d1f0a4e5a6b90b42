"""The capacity floor holds through any history of judges and stores."""

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
# The other servers stay well, so that there are peers to compare with.
SERVER = strategies.sampled_from(['lager-1', 'lager-2', 'lager-3'])
STORE_FAULT = strategies.sampled_from(
    ['none', 'none', 'none', 'lost', 'outage', 'late']
)


@dataclasses.dataclass
class Write:
    """Hold a write that is still on its way to the store."""

    revision: int
    record: permits.PermitRecord


class Agent:
    """One life of one agent: its judge and its view."""

    def __init__(self, name: str, started_ms: int) -> None:
        self.incarnation = messages.Incarnation(name, started_ms)
        self.cases = ejections.ServiceCases(self.incarnation, VALIDITY_MS)
        self.answers = ejection_cache.JudgeAnswers(VALIDITY_MS)


class FloorMachine(stateful.RuleBasedStateMachine):
    """Let agents judge, pause, die and lose answers in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.time = clock.ManualClock(1_000)
        self.record = permits.PermitRecord()
        self.revision = 0
        self.late_writes: list[Write] = []
        self.late_answers: list[tuple[Agent, messages.HeldEjections]] = []
        self.agents: dict[str, Agent] = {
            name: Agent(name, 0) for name in AGENTS
        }
        self.removed: set[str] = set()
        self.unavailable: dict[str, frozenset[str]] = {}

    @stateful.rule(name=AGENT, server=SERVER)
    def see_failures(self, name: str, server: str) -> None:
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
        agent.cases.add_report(report, self.time.now_ms())

    @stateful.rule(
        name=AGENT,
        judging=strategies.booleans(),
        primary=strategies.booleans(),
        fault=STORE_FAULT,
    )
    def step(
        self, name: str, judging: bool, primary: bool, fault: str
    ) -> None:
        agent = self.agents.get(name)
        if agent is None:
            return
        situation = ejections.Situation(
            now_ms=self.time.now_ms(),
            capacity=self._capacity(name),
            judging=judging or primary,
            primary=primary,
            incarnations={
                other.incarnation.name: other.incarnation
                for other in self.agents.values()
            },
            removed_agents=frozenset(self.removed),
        )
        for action in agent.cases.step(situation):
            self._carry_out(agent, action, fault)

    @stateful.rule(name=AGENT, judge=AGENT, late=strategies.booleans())
    def pull(self, name: str, judge: str, late: bool) -> None:
        asking, asked = self.agents.get(name), self.agents.get(judge)
        if asking is None or asked is None:
            return
        held = messages.HeldEjections(
            judge=judge,
            service='lager',
            asked_at_ms=self.time.now_ms(),
            ejected=asked.cases.ejected(),
            weights={},
        )
        if late:
            self.late_answers.append((asking, held))
        else:
            asking.answers.take(held)

    @stateful.rule(name=AGENT, server=SERVER, fault=STORE_FAULT)
    def eject(self, name: str, server: str, fault: str) -> None:
        self.see_failures(name, server)
        self.step(name, True, True, fault)
        self.pull_by_all(name)

    @stateful.rule(name=AGENT)
    def resign(self, name: str) -> None:
        self.pull_by_all(name)
        self.step(name, False, False, 'none')

    @stateful.rule(judge=AGENT)
    def pull_by_all(self, judge: str) -> None:
        for name in list(self.agents):
            self.pull(name, judge, False)

    @stateful.rule()
    def deliver_late_answers(self) -> None:
        for agent, held in self.late_answers:
            agent.answers.take(held)
        self.late_answers = []

    @stateful.rule()
    def deliver_late_writes(self) -> None:
        for write in self.late_writes:
            self._swap(write)
        self.late_writes = []

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
    def see_leaving(self, name: str, servers: set[str]) -> None:
        self.unavailable[name] = frozenset(servers)

    @stateful.invariant()
    def the_union_of_all_views_keeps_the_floor(self) -> None:
        ejected: set[str] = set()
        for agent in self.agents.values():
            agent.answers.expire(self.time.now_ms())
            ejected.update(agent.answers.ejected('lager'))
        left = sum(
            slots for name, slots in SERVERS.items() if name not in ejected
        )
        assert left >= FLOOR_SLOTS, f'{sorted(ejected)} ejected, {left} left'

    @stateful.invariant()
    def each_view_keeps_the_floor_with_the_unavailable(self) -> None:
        for name, agent in self.agents.items():
            capacity = self._capacity(name)
            states = ejection_cache.server_states(
                agent.answers, {'lager': capacity}, frozenset()
            )
            ejected = frozenset(s.server for s in states if s.ejected)
            assert not ejected or capacity.allows(ejected)

    def _capacity(self, name: str) -> permits.Capacity:
        return permits.Capacity(
            FLOOR_SLOTS,
            SERVERS,
            self.unavailable.get(name, frozenset()),
        )

    def _carry_out(self, agent: Agent, action: Any, fault: str) -> None:
        match action:
            case ejections.AskPermit(server, capacity):
                following = permits.granted(
                    self.record, server, agent.incarnation, capacity
                )
            case ejections.DropPermits(dropped):
                following = self.record.without(dropped)
            case ejections.ReadPermits():
                following = None
        if fault == 'outage':
            return
        if following is not None:
            write = Write(self.revision, following)
            if fault == 'late':
                self.late_writes.append(write)
                return
            self._swap(write)
        if fault != 'lost':
            agent.cases.permits_seen(self.record, self.time.now_ms())

    def _swap(self, write: Write) -> None:
        if write.revision == self.revision:
            self.revision += 1
            self.record = write.record


FloorTest: type[unittest.TestCase] = FloorMachine.TestCase
FloorTest.settings = settings(
    max_examples=100,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class FloorScheduleTest(unittest.TestCase):
    """Schedules too rare for a random search to find each time."""

    def setUp(self) -> None:
        self.fleet = FloorMachine()
        self.fleet.eject('entry-1', 'lager-1', 'none')
        self.fleet.eject('entry-1', 'lager-2', 'none')

    def check(self, servers: int) -> None:
        self.fleet.the_union_of_all_views_keeps_the_floor()
        self.assertEqual(servers, len(self.fleet.record.permits))

    def test_a_released_permit_waits_until_views_have_expired(self) -> None:
        self.fleet.resign('entry-1')
        self.fleet.step('entry-1', False, False, 'none')
        self.fleet.eject('entry-2', 'lager-3', 'none')
        self.check(2)
        self.fleet.advance(4_000)
        self.fleet.step('entry-1', False, False, 'none')
        self.fleet.eject('entry-2', 'lager-3', 'none')
        self.check(1)

    def test_a_gone_holders_permits_wait_until_views_have_expired(
        self,
    ) -> None:
        self.fleet.remove_host('entry-1')
        for _ in range(3):
            self.fleet.eject('entry-2', 'lager-3', 'none')
        self.check(2)
        self.fleet.advance(4_000)
        self.fleet.step('entry-2', True, True, 'none')
        self.fleet.eject('entry-2', 'lager-3', 'none')
        self.check(1)

    def test_a_holder_that_is_only_silent_keeps_its_permits(self) -> None:
        self.fleet.advance(60_000)
        for _ in range(3):
            self.fleet.eject('entry-2', 'lager-3', 'none')
            self.fleet.advance(4_000)
        self.check(2)

    def test_a_late_answer_does_not_extend_an_ejection(self) -> None:
        self.fleet.pull('entry-2', 'entry-1', True)
        self.fleet.resign('entry-1')
        self.fleet.advance(4_000)
        self.fleet.step('entry-1', False, False, 'none')
        self.fleet.deliver_late_answers()
        self.fleet.eject('entry-2', 'lager-3', 'none')
        self.check(1)

    def test_a_lost_answer_leaves_the_permit_with_its_holder(self) -> None:
        self.fleet.resign('entry-1')
        self.fleet.advance(4_000)
        self.fleet.step('entry-1', False, False, 'none')
        self.fleet.eject('entry-1', 'lager-3', 'lost')
        self.check(1)
        self.assertIsInstance(
            self.fleet.agents['entry-1'].cases.case('lager-3'),
            ejections.Suspected,
        )
        self.fleet.advance(1_000)
        self.fleet.eject('entry-1', 'lager-3', 'none')
        self.check(1)
        self.assertEqual(
            ('lager-3',), self.fleet.agents['entry-1'].cases.ejected()
        )
