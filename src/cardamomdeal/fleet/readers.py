"""Decides which entry hosts read the store for all."""

from collections.abc import Iterable
import dataclasses

from cardamomdeal.membership import rendezvous

DUTY = 'store-reader'
# Hosts that watch the store; the second one takes over without a pause.
READERS = 2
# A reader that was not heard for this long is replaced.
SILENCE_MS = 900
# A reader whose own view is older than this counts as cut off.
MAX_AGE_MS = 1_600


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """Hold when a reader was heard and how old its view was then."""

    at_ms: int
    age_ms: int


class Readers:
    """Rank the hosts and track which better ones read the store.

    No vote is needed: a host reads unless it hears enough hosts that rank
    before it. While views differ there are more readers, never none.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._ranked: list[str] = [name]
        self._heard: dict[str, Heard] = {}

    def note_hosts(self, names: Iterable[str]) -> None:
        """Take over the names of the hosts that are present."""
        self._ranked = rendezvous.ranked(DUTY, {*names, self._name})

    def note_heard(self, name: str, age_ms: int, now_ms: int) -> None:
        """Note that a host told of its view of the store."""
        self._heard[name] = Heard(now_ms, age_ms)

    def is_reader(self, now_ms: int) -> bool:
        """Return whether this host must read the store itself."""
        better = self._ranked[: self._ranked.index(self._name)]
        reading = sum(self._is_reading(name, now_ms) for name in better)
        return reading < READERS

    def is_first_choice(self) -> bool:
        """Return whether this host is a reader while all are well."""
        return self._name in self._ranked[:READERS]

    def _is_reading(self, name: str, now_ms: int) -> bool:
        heard = self._heard.get(name)
        if heard is None or now_ms - heard.at_ms > SILENCE_MS:
            return False
        return heard.age_ms + now_ms - heard.at_ms <= MAX_AGE_MS
