"""Fleet membership as learned from gossip."""

from collections.abc import Iterable
import dataclasses
import random

from cardamomdeal.internal import address
from cardamomdeal.protocol import messages

MEMBER_EXPIRY_MS = 3_600_000
UNANSWERED_LIMIT = 3
# Long enough for a joining host to query most of the others.
REPLY_VALID_MS = 10_000


@dataclasses.dataclass(slots=True)
class Member:
    """Latest heartbeat of a host, and its record once received."""

    heartbeat: messages.Heartbeat
    advanced_at_ms: int
    record: messages.HostRecord | None = None

    @property
    def needs_record(self) -> bool:
        """Return whether the known record is missing or outdated."""
        return self.record is None or (
            _record_revision(self.record) < _record_revision(self.heartbeat)
        )


@dataclasses.dataclass(slots=True)
class _PeerState:
    unanswered: int = 0
    # Document version in the last direct reply, and when it was requested.
    version: int = 0
    asked_at_ms: int | None = None


class Members:
    """Membership list; hosts are live while their heartbeats advance."""

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
        self._peer_states: dict[str, _PeerState] = {}

    def update_heartbeat(
        self, heartbeat: messages.Heartbeat, now_ms: int
    ) -> None:
        """Store a heartbeat if it is newer, whichever host relayed it."""
        name = heartbeat.agent.name
        if name == self._own_name:
            return
        member = self._members.get(name)
        if member is None:
            self._members[name] = Member(heartbeat, now_ms)
        elif _heartbeat_order(heartbeat) > _heartbeat_order(member.heartbeat):
            member.heartbeat = heartbeat
            member.advanced_at_ms = now_ms

    def update_record(self, record: messages.HostRecord) -> None:
        """Store a newer record of a host whose heartbeat is known."""
        member = self._members.get(record.agent.name)
        if member is None or not _has_valid_address(record):
            return
        if member.record is None or (
            _record_revision(record) > _record_revision(member.record)
        ):
            member.record = record

    def agents_without_current_record(self, now_ms: int) -> tuple[str, ...]:
        """Return the live agents whose current record is not known."""
        return tuple(
            name
            for name, member in self._members.items()
            if member.needs_record and self._is_live(member, now_ms)
        )

    def records_of(
        self, names: tuple[str, ...]
    ) -> tuple[messages.HostRecord, ...]:
        """Return the known records of the named agents."""
        return tuple(
            member.record
            for name in names
            if (member := self._members.get(name)) and member.record
        )

    def heartbeats(self, now_ms: int) -> tuple[messages.Heartbeat, ...]:
        """Return the heartbeats of live hosts for relaying."""
        return tuple(
            member.heartbeat
            for member in self._members.values()
            if self._is_live(member, now_ms)
        )

    def remove_expired(self, now_ms: int) -> None:
        """Remove hosts without a new heartbeat within the expiry time."""
        for name, member in list(self._members.items()):
            if now_ms - member.advanced_at_ms > MEMBER_EXPIRY_MS:
                del self._members[name]

    def live_records(self, now_ms: int) -> tuple[messages.HostRecord, ...]:
        """Return the records of live hosts."""
        return tuple(
            member.record
            for member in self._members.values()
            if member.record and self._is_live(member, now_ms)
        )

    def known_host_count(self) -> int:
        """Return how many other hosts are known, live or not."""
        return len(set(self._known_addresses()))

    def replied_versions(self, now_ms: int) -> tuple[int, ...]:
        """Return the document versions in recent direct replies of peers."""
        # A record relayed by another host may have been buffered for a long
        # time. A reply cannot be older than the request it answers.
        return tuple(
            peer_state.version
            for peer_state in self._peer_states.values()
            if peer_state.asked_at_ms is not None
            and now_ms - peer_state.asked_at_ms <= REPLY_VALID_MS
        )

    def incarnations(self) -> dict[str, messages.Incarnation]:
        """Return the latest known incarnation of each agent."""
        return {
            name: member.record.agent for name, member in self._members.items()
        }

    def agents_on_hosts(self, hosts: frozenset[str]) -> frozenset[str]:
        """Return the agents that run on the given hosts."""
        return frozenset(
            name
            for name, member in self._members.items()
            if member.record and member.record.host in hosts
        )

    def gossip_targets(
        self, count: int, now_ms: int, rng: random.Random
    ) -> tuple[address.Address, ...]:
        """Choose random live peers and occasionally a silent one."""
        live = [
            address.parse_address(record.address)
            for record in self.live_records(now_ms)
        ]
        silent = [
            target for target in self._known_addresses() if target not in live
        ]
        chosen = rng.sample(live, min(count, len(live)))
        if silent and (not chosen or rng.random() < 1 / count):
            chosen = [*chosen[: count - 1], rng.choice(silent)]
        return tuple(chosen)

    def record_gossip_sent(self, target: address.Address) -> bool:
        """Count gossip sent; return False on repeated missing replies."""
        peer_state = self._peer_states.setdefault(str(target), _PeerState())
        peer_state.unanswered += 1
        return peer_state.unanswered % UNANSWERED_LIMIT != 0

    def record_gossip_reply(self, reply: messages.GossipReply) -> None:
        """Reset the unanswered count and store the replied version."""
        peer_state = self._peer_states.setdefault(
            reply.sender.address, _PeerState()
        )
        peer_state.unanswered = 0
        peer_state.asked_at_ms = reply.asked_at_ms
        peer_state.version = (
            reply.sender.head.version if reply.sender.head else 0
        )

    def cut_peers(self, now_ms: int) -> tuple[str, ...]:
        """Return live hosts that do not reply to this host directly."""
        return tuple(
            record.host
            for record in self.live_records(now_ms)
            if self._unanswered_count(record) >= UNANSWERED_LIMIT
        )

    def _is_live(self, member: Member, now_ms: int) -> bool:
        return now_ms - member.advanced_at_ms <= self._timeout_ms

    def _unanswered_count(self, record: messages.HostRecord) -> int:
        peer_state = self._peer_states.get(record.address)
        return peer_state.unanswered if peer_state else 0

    def _known_addresses(self) -> Iterable[address.Address]:
        known = {
            address.parse_address(member.record.address)
            for member in self._members.values()
            if member.record
        }
        return sorted(known | set(self._seeds))


def _has_valid_address(record: messages.HostRecord) -> bool:
    try:
        address.parse_address(record.address)
    except ValueError:
        return False
    return True


def _heartbeat_order(heartbeat: messages.Heartbeat) -> tuple[int, int]:
    return (heartbeat.agent.started_ms, heartbeat.sequence)


def _record_revision(
    source: messages.HostRecord | messages.Heartbeat,
) -> tuple[int, int]:
    return (source.agent.started_ms, source.revision)
