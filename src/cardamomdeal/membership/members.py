"""Members of the fleet as far as gossip tells."""

from collections.abc import Iterable
import dataclasses
import random

from cardamomdeal.internal import address
from cardamomdeal.protocol import messages

GOSSIPED_RECORDS = 8
FORGET_AFTER_MS = 3_600_000
SENT_WITHOUT_REPLY = 3


@dataclasses.dataclass(slots=True)
class Member:
    """Hold the latest record of a host and when it last advanced."""

    record: messages.HostRecord
    advanced_at_ms: int
    seen_advancing: bool = False


@dataclasses.dataclass(slots=True)
class _Path:
    unanswered: int = 0


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

    def update(self, record: messages.HostRecord, now_ms: int) -> bool:
        """Take in a record; return whether it was newer."""
        name = record.agent.name
        if name == self._own_name:
            return False
        known = self._members.get(name)
        if known is None:
            self._members[name] = Member(record, now_ms)
            return True
        if _age(record) <= _age(known.record):
            return False
        known.record = record
        known.advanced_at_ms = now_ms
        known.seen_advancing = True
        return True

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
            if now_ms - member.advanced_at_ms <= self._timeout_ms
        )

    def known_count(self) -> int:
        """Return how many other hosts are known, live or not."""
        known = {member.record.address for member in self._members.values()}
        return len(known | {str(seed) for seed in self._seeds})

    def advancing_versions(self, now_ms: int) -> tuple[int, ...]:
        """Return the versions of hosts that advanced while we watched."""
        # A record that was relayed once may be old; one that advances
        # comes from a host that is up now.
        return tuple(
            member.record.head.version if member.record.head else 0
            for member in self._members.values()
            if member.seen_advancing
            and now_ms - member.advanced_at_ms <= self._timeout_ms
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
            if member.record.host in hosts
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

    def gossip_records(
        self, now_ms: int, randomness: random.Random
    ) -> tuple[messages.HostRecord, ...]:
        """Choose live records to pass on."""
        live = self.live(now_ms)
        return tuple(randomness.sample(live, min(GOSSIPED_RECORDS, len(live))))

    def note_sent(self, target: address.Address) -> None:
        """Note that gossip went to a peer."""
        self._paths.setdefault(str(target), _Path()).unanswered += 1

    def note_reply(self, record: messages.HostRecord) -> None:
        """Note that a peer answered our gossip."""
        self._paths.setdefault(record.address, _Path()).unanswered = 0

    def cut_peers(self, now_ms: int) -> tuple[str, ...]:
        """Return live hosts that do not answer us directly."""
        return tuple(
            record.host
            for record in self.live(now_ms)
            if self._unanswered(record) >= SENT_WITHOUT_REPLY
        )

    def _unanswered(self, record: messages.HostRecord) -> int:
        path = self._paths.get(record.address)
        return path.unanswered if path else 0

    def _all_addresses(self) -> Iterable[address.Address]:
        known = {
            address.parse_address(member.record.address)
            for member in self._members.values()
        }
        return sorted(known | set(self._seeds))


def _age(record: messages.HostRecord) -> tuple[int, int]:
    return (record.agent.started_ms, record.sequence)
