"""Decides whom a host asks for a proof of its configuration, and when.

If all hosts asked those that read the store, these would answer thousands of
questions a second. The relays of each data centre ask them often, and the
other hosts ask the relay of their own data centre, where bytes are free. A
host whose proof gets old asks whoever may have one.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random

from cardamomdeal.fleet import model

# Intervals of the questions while the proof is recent.
RELAY_INTERVAL_MS = 300
HOST_INTERVAL_MS = 900
# From this part of `revoke_ms` on, a host asks several others each time.
OLD_SHARE = 0.5
# From this part on it also reads the store itself.
READ_STORE_SHARE = 0.6
# Questions that a reader gets each second from hosts that are no relays.
READER_QUESTIONS_PER_S = 150
# Answers to questions before these are ignored.
MAX_OPEN_QUESTIONS = 32
NONCE_BITS = 62


@dataclasses.dataclass(frozen=True, slots=True)
class Situation:
    """What a host knows when it decides whom to ask."""

    # Age of its proof; None without one.
    age_ms: int | None
    revoke_ms: int
    reads_store: bool
    # Hosts that pass on reports in its data centre, the best one first; it
    # may be one of them.
    relays: Sequence[model.EntryHost]
    # Names of the hosts that read the store, the most recent view first.
    readers: Sequence[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A question to several hosts; the nonce ties the answers to it."""

    nonce: int
    targets: tuple[model.EntryHost, ...]


class ProofExchange:
    """Questions of one host, open and due."""

    def __init__(self, host: model.EntryHost, rng: random.Random) -> None:
        self._host = host
        self._rng = rng
        self._by_name: dict[str, model.EntryHost] = {}
        self._local: list[model.EntryHost] = []
        self._asked_at_ms: int | None = None
        # Times of the open questions by nonce, the oldest first. Nonces are
        # random, so answers to a former process of this host match none.
        self._open: dict[int, int] = {}

    def set_hosts(self, hosts: Iterable[model.EntryHost]) -> None:
        """Replace the entry hosts that may be asked."""
        self._by_name = {
            host.name: host for host in hosts if host.name != self._host.name
        }
        self._local = [
            host
            for host in self._by_name.values()
            if host.data_centre == self._host.data_centre
        ]

    def ask(self, situation: Situation, now_ms: int) -> Question | None:
        """Return the question that is due, if any, and open it."""
        if is_old(situation.age_ms, situation.revoke_ms):
            targets = self._urgent_targets(situation, now_ms)
        else:
            targets = self._targets(situation, now_ms)
        if not targets:
            return None
        self._asked_at_ms = now_ms
        nonce = self._rng.getrandbits(NONCE_BITS)
        self._open[nonce] = now_ms
        while len(self._open) > MAX_OPEN_QUESTIONS:
            del self._open[next(iter(self._open))]
        return Question(nonce, targets)

    def proved_at_ms(self, nonce: int, age_ms: int) -> int | None:
        """Return as of when an answer holds; None if it answers nothing.

        The age was counted after the question was sent, so the time that the
        messages took makes the proof older, never newer.
        """
        asked_at_ms = self._open.get(nonce)
        if asked_at_ms is None or age_ms < 0:
            return None
        return asked_at_ms - age_ms

    def _targets(
        self, situation: Situation, now_ms: int
    ) -> tuple[model.EntryHost, ...]:
        """Return whom to ask while the proof is recent."""
        if situation.reads_store:
            return ()
        relays = situation.relays
        is_relay = any(host.name == self._host.name for host in relays)
        if is_relay or not relays:
            asked, interval_ms = self._readers(situation), RELAY_INTERVAL_MS
        else:
            asked, interval_ms = [relays[0]], HOST_INTERVAL_MS
        if not self._is_due(interval_ms, now_ms):
            return ()
        return tuple(asked[:1])

    def _urgent_targets(
        self, situation: Situation, now_ms: int
    ) -> tuple[model.EntryHost, ...]:
        """Return whom to ask when the proof is old or missing."""
        if not self._is_due(RELAY_INTERVAL_MS, now_ms):
            return ()
        relays = [h for h in situation.relays if h.name != self._host.name]
        asked = {host.name: host for host in relays}
        if self._local:
            # Spreads a proof also where no relay and no reader is reached.
            host = self._rng.choice(self._local)
            asked[host.name] = host
        readers = self._readers(situation)
        if readers and (
            len(relays) < len(situation.relays) or self._may_ask_reader()
        ):
            host = self._rng.choice(readers)
            asked[host.name] = host
        return tuple(asked.values())

    def _readers(self, situation: Situation) -> list[model.EntryHost]:
        return [
            self._by_name[name]
            for name in situation.readers
            if name in self._by_name
        ]

    def _may_ask_reader(self) -> bool:
        questions = len(self._by_name) * 1_000 / RELAY_INTERVAL_MS
        return self._rng.random() * questions < READER_QUESTIONS_PER_S

    def _is_due(self, interval_ms: int, now_ms: int) -> bool:
        return (
            self._asked_at_ms is None
            or now_ms - self._asked_at_ms >= interval_ms
        )


def is_old(age_ms: int | None, revoke_ms: int) -> bool:
    """Return whether a proof of this age must be replaced soon."""
    return age_ms is None or age_ms >= OLD_SHARE * revoke_ms


def needs_store_read(age_ms: int | None, revoke_ms: int) -> bool:
    """Return whether a host must get its proof from the store itself."""
    return age_ms is None or age_ms >= READ_STORE_SHARE * revoke_ms


def is_worth_sending(age_ms: int, asker_age_ms: int | None) -> bool:
    """Return whether a proof is newer than the one of the host that asks."""
    return asker_age_ms is None or age_ms < asker_age_ms
