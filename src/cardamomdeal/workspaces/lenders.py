"""Decides which host lends the tokens of a workspace.

Hosts rank each other by rendezvous hashing; the first one lends and the next
one stands in for it. Their views of the hosts differ for a while after each
change, so a lender asks the hosts next to it for their consent: a promise not
to lend for a while where the asking host goes before them.
"""

from collections.abc import Iterable
import dataclasses
import enum

from cardamomdeal.membership import rendezvous
from cardamomdeal.workspaces import quotas

# A promise not to lend holds for this time.
CONSENT_MS = 800
# By then every host in touch has learned that a host left.
LEFT_MEMORY_MS = 2_500
# What is older is of no account to any window.
MAX_MEMORY_MS = 60_000
# Hosts that are ranked, besides those that have just left: a lender, the one
# that stands in for it, and the next.
RANKED_HOSTS = 3
# Workspaces are ranked in groups, so that memory does not grow with them.
GROUPS = 4_096


class Consent(enum.Enum):
    """What a host promises to one that asks for its consent."""

    # It does not lend where the asking host goes before it.
    YIELDS = 'yields'
    # It does not lend at all.
    RETIRED = 'retired'


@dataclasses.dataclass(frozen=True, slots=True)
class Elsewhere:
    """Another host lends the workspace's tokens."""


@dataclasses.dataclass(frozen=True, slots=True)
class Starting:
    """This host, or a process before it, may have promised not to lend."""

    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lending:
    """This host lends, and which hosts have not consented."""

    standing: quotas.Standing
    without_consent: tuple[str, ...]


Role = Elsewhere | Starting | Lending


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    consent: Consent
    until_ms: int


class Lenders:
    """Ranking of the hosts for each workspace, and their consents."""

    def __init__(self, name: str, started_ms: int) -> None:
        self._name = name
        self._started_ms = started_ms
        self._retired_until_ms = 0
        self._absent_until_ms = 0
        self._present: frozenset[str] = frozenset()
        # Hosts that joined or left, and when.
        self._changed_at_ms: dict[str, int] = {}
        self._left: set[str] = set()
        # Scores and names of the first hosts of each group, best first.
        self._ranked: dict[int, list[tuple[bytes, str]]] = {}
        self._received: dict[str, _Received] = {}
        self._promised_until_ms: dict[str, int] = {}

    @property
    def left(self) -> frozenset[str]:
        """Return the hosts that have left lately."""
        return frozenset(self._left)

    def set_hosts(self, names: Iterable[str], now_ms: int) -> None:
        """Replace the hosts that are present."""
        self._forget_left(now_ms)
        present = frozenset(names)
        if self._present:
            for name in present ^ self._present:
                self._changed_at_ms[name] = now_ms
        gone = self._present - present
        joined = present - self._present - self._left
        self._left = (self._left | gone) - present
        self._present = present
        self._forget_ranked(gone)
        self._changed_at_ms = {
            name: at_ms
            for name, at_ms in self._changed_at_ms.items()
            if at_ms > now_ms - MAX_MEMORY_MS
        }
        self._promised_until_ms = {
            name: until_ms
            for name, until_ms in self._promised_until_ms.items()
            if until_ms > now_ms - MAX_MEMORY_MS
        }
        for name in joined:
            self._insert(name)

    def record_absence(self, now_ms: int) -> None:
        """Record that others may have seen this host leave until now."""
        self._absent_until_ms = now_ms

    def candidates(self, number: int, now_ms: int) -> tuple[str, ...]:
        """Return the host to borrow from, and the one that stands in."""
        self._forget_left(now_ms)
        ranked = self._rank(number)
        return tuple(name for name in ranked if name in self._present)[:2]

    def role(self, number: int, now_ms: int) -> Role:
        """Return whether this host lends a workspace's tokens."""
        self._forget_left(now_ms)
        return self._role(number, now_ms)

    def _role(self, number: int, now_ms: int) -> Role:
        ranked = self._rank(number)
        if self._name not in self._present or self._name not in ranked:
            return Elsewhere()
        if now_ms < self._retired_until_ms:
            return Starting(self._retired_until_ms - now_ms)
        # Promises of an earlier process bind towards hosts that go before.
        may_lend_from_ms = self._started_ms + CONSENT_MS
        if now_ms < may_lend_from_ms and ranked[0] != self._name:
            return Starting(may_lend_from_ms - now_ms)
        if self._has_yielded(number, now_ms):
            return Elsewhere()
        index = ranked.index(self._name)
        before = ranked[:index]
        if len([name for name in before if name in self._present]) > 1:
            return Elsewhere()
        missing = []
        for name in before:
            match self._consent_of(name, now_ms):
                case Consent.YIELDS:
                    # It is there, and lends itself.
                    return Elsewhere()
                case None:
                    missing.append(name)
        is_first = not missing
        after = [n for n in ranked[index + 1 :] if n in self._present]
        for name in after[:1]:
            if self._consent_of(name, now_ms) is None:
                missing.append(name)
        since_ms = self._since_ms((*before, self._name))
        if missing:
            return Lending(quotas.Disputed(since_ms, is_first), tuple(missing))
        return Lending(quotas.Undisputed(since_ms), ())

    def consents_due(self, number: int, by_ms: int) -> tuple[str, ...]:
        """Return the hosts whose consent is needed and ends by a time."""
        match self._role(number, by_ms):
            case Lending(_, without_consent):
                return without_consent
            case Elsewhere() | Starting():
                return ()

    def consent(self, asking: str, is_stopping: bool, now_ms: int) -> Consent:
        """Promise a host not to lend, and return what was promised."""
        until_ms = now_ms + CONSENT_MS
        if is_stopping or self._name not in self._present:
            self._retired_until_ms = until_ms
            return Consent.RETIRED
        self._promised_until_ms[asking] = until_ms
        return Consent.YIELDS

    def record_consent(
        self, name: str, consent: Consent, asked_at_ms: int
    ) -> None:
        """Record the promise of a host that was asked at a time."""
        until_ms = asked_at_ms + CONSENT_MS
        known = self._received.get(name)
        if known is None or known.until_ms < until_ms:
            self._received[name] = _Received(consent, until_ms)

    def succeeds(self, name: str, number: int, now_ms: int) -> bool:
        """Return whether a host that asks for consent lends from now on."""
        if self._name not in self._present:
            return self.candidates(number, now_ms)[:1] == (name,)
        group = number % GROUPS
        return _score(group, name) > _score(group, self._name)

    def _consent_of(self, name: str, now_ms: int) -> Consent | None:
        received = self._received.get(name)
        if received is None or received.until_ms <= now_ms:
            return None
        return received.consent

    def _has_yielded(self, number: int, now_ms: int) -> bool:
        group = number % GROUPS
        own_score = _score(group, self._name)
        return any(
            until_ms > now_ms and _score(group, name) > own_score
            for name, until_ms in self._promised_until_ms.items()
        )

    def _since_ms(self, names: Iterable[str]) -> int:
        """Return since when no other host has lent."""
        times_ms = [
            self._started_ms,
            self._retired_until_ms,
            self._absent_until_ms,
        ]
        for name in names:
            times_ms.append(self._changed_at_ms.get(name, 0))
            times_ms.append(self._promised_until_ms.get(name, 0))
        return max(times_ms)

    def _rank(self, number: int) -> list[str]:
        group = number % GROUPS
        ranked = self._ranked.get(group)
        if ranked is None:
            names = self._present | self._left
            ranked = sorted(
                ((_score(group, name), name) for name in names), reverse=True
            )
            self._cut(ranked)
            self._ranked[group] = ranked
        return [name for _, name in ranked]

    def _insert(self, joined: str) -> None:
        """Rank a host that joined where it belongs among the first ones."""
        for group, ranked in self._ranked.items():
            ranked.append((_score(group, joined), joined))
            ranked.sort(reverse=True)
            self._cut(ranked)

    def _cut(self, ranked: list[tuple[bytes, str]]) -> None:
        """Remove the hosts behind the first ones that are present."""
        present = 0
        for index, (_, name) in enumerate(ranked):
            present += name in self._present
            if present == RANKED_HOSTS:
                del ranked[index + 1 :]
                return

    def _forget_ranked(self, names: Iterable[str]) -> None:
        """Rank the groups anew in which one of these hosts was ranked."""
        names = frozenset(names)
        if not names:
            return
        for group, ranked in list(self._ranked.items()):
            if not names.isdisjoint(name for _, name in ranked):
                del self._ranked[group]

    def _forget_left(self, now_ms: int) -> None:
        forgotten = {
            name
            for name in self._left
            if self._changed_at_ms[name] <= now_ms - LEFT_MEMORY_MS
        }
        if not forgotten:
            return
        self._left -= forgotten
        self._forget_ranked(forgotten)
        for name in forgotten:
            self._received.pop(name, None)


def _score(group: int, name: str) -> bytes:
    return rendezvous.score(f'quota-{group}', name)
