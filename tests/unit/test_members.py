"""Tests that hosts are live while their heartbeats advance."""

import random
import unittest

import msgspec

from cardamomdeal.internal import address
from cardamomdeal.membership import members
from cardamomdeal.membership import rendezvous
from cardamomdeal.protocol import messages

TIMEOUT_MS = 5_000


def make_record(
    name: str, revision: int = 0, started_ms: int = 0, version: int = 1
) -> messages.HostRecord:
    return messages.HostRecord(
        agent=messages.Incarnation(name, started_ms),
        revision=revision,
        host=name,
        data_centre='a',
        address=f'192.0.2.{name.removeprefix("entry-")}:7000',
        head=messages.Head(version, 'digest'),
        ready=True,
        gateways=(),
        draining_servers=(),
    )


class MembersTest(unittest.TestCase):
    def setUp(self) -> None:
        seeds = (address.parse_address('192.0.2.2:7000'),)
        self.members = members.Members('entry-1', seeds, TIMEOUT_MS)
        self.rng = random.Random(20261204)

    def receive(
        self, name: str, sequence: int, now_ms: int, started_ms: int = 0
    ) -> None:
        """Store a heartbeat and the matching record."""
        agent = messages.Incarnation(name, started_ms)
        self.members.update_heartbeat(
            messages.Heartbeat(agent, sequence, 0), now_ms
        )
        self.members.update_record(make_record(name, 0, started_ms))

    def live_hosts(self, now_ms: int) -> list[str]:
        return sorted(r.host for r in self.members.live_records(now_ms))

    def test_only_newer_heartbeats_keep_a_host_live(self) -> None:
        self.receive('entry-2', 5, 0)
        for sequence in (5, 4, 3):
            self.receive('entry-2', sequence, 4_000)
        self.assertEqual(['entry-2'], self.live_hosts(5_000))
        self.assertEqual([], self.live_hosts(5_001))
        self.receive('entry-2', 6, 6_000)
        self.assertEqual(['entry-2'], self.live_hosts(11_000))

    def test_a_new_incarnation_outranks_a_higher_sequence(self) -> None:
        self.receive('entry-2', 900, 0)
        self.receive('entry-2', 1, 1, started_ms=50)
        self.receive('entry-2', 901, 2)
        latest = self.members.incarnations()['entry-2']
        self.assertEqual(50, latest.started_ms)

    def test_a_one_way_partition_is_detected_despite_relayed_heartbeats(
        self,
    ) -> None:
        peer = address.parse_address('192.0.2.2:7000')
        for sequence in range(5):
            self.receive('entry-2', sequence, sequence * 500)
            self.members.record_gossip_sent(peer)
        self.assertEqual(['entry-2'], self.live_hosts(2_000))
        self.assertEqual(('entry-2',), self.members.cut_peers(2_000))
        self.members.record_gossip_reply(
            messages.GossipReply(2_000, make_record('entry-2', 9), ())
        )
        self.assertEqual((), self.members.cut_peers(2_000))

    def test_only_direct_replies_count_as_versions(self) -> None:
        for sequence in range(9):
            self.receive('entry-3', sequence, sequence)
        self.assertEqual((), self.members.replied_versions(10))
        reply = messages.GossipReply(
            20, make_record('entry-3', 10, version=7), ()
        )
        self.members.record_gossip_reply(reply)
        self.assertEqual((7,), self.members.replied_versions(30))
        self.assertEqual((), self.members.replied_versions(20_000))

    def test_a_record_is_requested_until_its_revision_is_known(self) -> None:
        agent = messages.Incarnation('entry-3', 0)
        for revision in (0, 1):
            heartbeat = messages.Heartbeat(agent, revision, revision)
            self.members.update_heartbeat(heartbeat, 0)
            self.assertEqual(
                ('entry-3',), self.members.agents_without_current_record(0)
            )
            self.members.update_record(make_record('entry-3', revision))
            self.assertEqual((), self.members.agents_without_current_record(0))
        self.members.update_record(make_record('entry-3', 0, version=9))
        (known,) = self.members.records_of(('entry-3',))
        self.assertEqual(1, known.head.version)

    def test_a_record_with_a_malformed_address_is_ignored(self) -> None:
        agent = messages.Incarnation('entry-3', 0)
        self.members.update_heartbeat(messages.Heartbeat(agent, 1, 1), 0)
        malformed = msgspec.structs.replace(
            make_record('entry-3', 1), address='nowhere'
        )
        self.members.update_record(malformed)
        self.assertEqual([], self.live_hosts(0))
        self.assertEqual(1, len(self.members.gossip_targets(2, 0, self.rng)))

    def test_seeds_and_members_are_counted_once(self) -> None:
        self.assertEqual(1, self.members.known_host_count())
        self.receive('entry-2', 1, 0)
        self.receive('entry-3', 1, 0)
        self.assertEqual(2, self.members.known_host_count())

    def test_silent_hosts_are_occasionally_contacted(self) -> None:
        self.receive('entry-3', 1, 0)
        targets = {
            str(target)
            for _ in range(50)
            for target in self.members.gossip_targets(2, 0, self.rng)
        }
        self.assertEqual({'192.0.2.2:7000', '192.0.2.3:7000'}, targets)


class RendezvousTest(unittest.TestCase):
    def test_a_role_moves_only_when_its_holder_leaves(self) -> None:
        names = [f'entry-{number}' for number in range(48)]
        for role in (f'judge/{number}' for number in range(100)):
            first, second, *_ = rendezvous.ranked(role, names)
            without_first = [name for name in names if name != first]
            self.assertEqual(second, rendezvous.ranked(role, without_first)[0])
            without_other = [n for n in names if n != 'entry-7']
            if first != 'entry-7':
                self.assertEqual(
                    first, rendezvous.ranked(role, without_other)[0]
                )
