"""Members of the fleet as far as gossip tells."""

from collections.abc import Iterable
import dataclasses
import random

from cardamomdeal.internal import address
from cardamomdeal.protocol import messages

FORGET_AFTER_MS = 3_600_000
SENT_WITHOUT_REPLY = 3
# Long enough for a host that joins to have asked most of the others.
ANSWERS_COUNT_MS = 10_000


@dataclasses.dataclass(slots=True)
class Member:
    """Hold the latest heartbeat of a host and its record once known."""

    heartbeat: messages.Heartbeat
    advanced_at_ms: int
    record: messages.HostRecord | None = None

    @property
    def lacks_record(self) -> bool:
        """Return whether a newer record than ours exists."""
        return self.record is None or (
            _revision(self.record) < _revision(self.heartbeat)
        )


@dataclasses.dataclass(slots=True)
class _Path:
    unanswered: int = 0
    # What the peer itself last said, and when it was asked.
    version: int = 0
    asked_at_ms: int | None = None


class Members:
    """Tell live hosts from silent ones by records that advance."""

    def __init__(
        self,
        own_name: str,
        seeds: tuple[address.Address, ...],
        timeout_ms: int,
    ) -> None:
        self._own_name = own_name
        self._seeds = seeds
        self._timeout_ms = timeout_ms
        self._members: dict[str, Member] = {}
        self._paths: dict[str, _Path] = {}

    def note_heartbeat(
        self, heartbeat: messages.Heartbeat, now_ms: int
    ) -> None:
        """Take in a heartbeat, whoever passed it on."""
        name = heartbeat.agent.name
        if name == self._own_name:
            return
        known = self._members.get(name)
        if known is None:
            self._members[name] = Member(heartbeat, now_ms)
        elif _age(heartbeat) > _age(known.heartbeat):
            known.heartbeat = heartbeat
            known.advanced_at_ms = now_ms

    def note_record(self, record: messages.HostRecord) -> None:
        """Take in the record of a host that has been heard of."""
        known = self._members.get(record.agent.name)
        if known is None or not _has_address(record):
            return
        if known.record is None or (
            _revision(record) > _revision(known.record)
        ):
            known.record = record

    def lacking_records(self, now_ms: int) -> tuple[str, ...]:
        """Return the live agents whose latest record is not known."""
        return tuple(
            name
            for name, member in self._members.items()
            if member.lacks_record and self._is_live(member, now_ms)
        )

    def records_of(
        self, names: tuple[str, ...]
    ) -> tuple[messages.HostRecord, ...]:
        """Return the known records of some agents."""
        return tuple(
            member.record
            for name in names
            if (member := self._members.get(name)) and member.record
        )

    def heartbeats(self, now_ms: int) -> tuple[messages.Heartbeat, ...]:
        """Return the heartbeats of the live hosts, to pass on."""
        return tuple(
            member.heartbeat
            for member in self._members.values()
            if self._is_live(member, now_ms)
        )

    def forget_silent(self, now_ms: int) -> None:
        """Drop hosts that were silent for very long."""
        for name, member in list(self._members.items()):
            if now_ms - member.advanced_at_ms > FORGET_AFTER_MS:
                del self._members[name]

    def live(self, now_ms: int) -> tuple[messages.HostRecord, ...]:
        """Return the records of the hosts that are live."""
        return tuple(
            member.record
            for member in self._members.values()
            if member.record and self._is_live(member, now_ms)
        )

    def known_count(self) -> int:
        """Return how many other hosts are known, live or not."""
        return len(set(self._all_addresses()))

    def answered_versions(self, now_ms: int) -> tuple[int, ...]:
        """Return the versions that peers themselves lately answered."""
        # A record that another host passes on may have waited in a buffer
        # for long; the answer to our own question cannot be older than it.
        return tuple(
            path.version
            for path in self._paths.values()
            if path.asked_at_ms is not None
            and now_ms - path.asked_at_ms <= ANSWERS_COUNT_MS
        )

    def incarnations(self) -> dict[str, messages.Incarnation]:
        """Return the latest known life of each agent."""
        return {
            name: member.record.agent for name, member in self._members.items()
        }

    def agents_on(self, hosts: frozenset[str]) -> frozenset[str]:
        """Return the agents that run on some hosts."""
        return frozenset(
            name
            for name, member in self._members.items()
            if member.record and member.record.host in hosts
        )

    def gossip_targets(
        self, count: int, now_ms: int, randomness: random.Random
    ) -> tuple[address.Address, ...]:
        """Choose live peers, and now and then one that is silent."""
        live = [
            address.parse_address(record.address)
            for record in self.live(now_ms)
        ]
        silent = [
            target for target in self._all_addresses() if target not in live
        ]
        chosen = randomness.sample(live, min(count, len(live)))
        if silent and (not chosen or randomness.random() < 1 / count):
            chosen = [*chosen[: count - 1], randomness.choice(silent)]
        return tuple(chosen)

    def note_sent(self, target: address.Address) -> bool:
        """Note that gossip goes to a peer; False if it is long silent."""
        path = self._paths.setdefault(str(target), _Path())
        path.unanswered += 1
        return path.unanswered % SENT_WITHOUT_REPLY != 0

    def note_reply(self, reply: messages.GossipReply) -> None:
        """Note that a peer answered our gossip."""
        path = self._paths.setdefault(reply.sender.address, _Path())
        path.unanswered = 0
        path.asked_at_ms = reply.asked_at_ms
        path.version = reply.sender.head.version if reply.sender.head else 0

    def cut_peers(self, now_ms: int) -> tuple[str, ...]:
        """Return live hosts that do not answer us directly."""
        return tuple(
            record.host
            for record in self.live(now_ms)
            if self._unanswered(record) >= SENT_WITHOUT_REPLY
        )

    def _is_live(self, member: Member, now_ms: int) -> bool:
        return now_ms - member.advanced_at_ms <= self._timeout_ms

    def _unanswered(self, record: messages.HostRecord) -> int:
        path = self._paths.get(record.address)
        return path.unanswered if path else 0

    def _all_addresses(self) -> Iterable[address.Address]:
        known = {
            address.parse_address(member.record.address)
            for member in self._members.values()
            if member.record
        }
        return sorted(known | set(self._seeds))


def _has_address(record: messages.HostRecord) -> bool:
    try:
        address.parse_address(record.address)
    except ValueError:
        return False
    return True


def _age(heartbeat: messages.Heartbeat) -> tuple[int, int]:
    return (heartbeat.agent.started_ms, heartbeat.sequence)


def _revision(
    known: messages.HostRecord | messages.Heartbeat,
) -> tuple[int, int]:
    return (known.agent.started_ms, known.revision)
