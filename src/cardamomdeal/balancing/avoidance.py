"""Keeps work off backend servers that lately failed."""

from collections import abc
import dataclasses
import random

# A server that worked a moment ago and failed once is as likely to have
# met a bad request as to be bad: it is tried again soon.
FIRST_QUIET_MS = 500
# A server that failed again is bad, and such episodes last for seconds.
REPEATED_QUIET_MS = 6_000
# Hosts come back one after the other over this long, so that the first
# request after the pause is one host's and tells the others how it went.
RETURN_SPREAD_MS = 4_000

Incarnation = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """Hold what speaks against one server."""

    failures: int
    # It gave no answer in time, so trying it again costs a long wait.
    slow: bool
    failed_at_ms: int
    until_ms: int


class Avoidance:
    """Remember until when this host avoids each server.

    Load it answers: servers that fail most of what they run for some
    seconds while their health checks pass. A failure anywhere in the
    fleet counts here, since one host sees a server too rarely.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness
        self._suspicions: dict[Incarnation, Suspicion] = {}

    def note_failure(
        self, server: Incarnation, slow: bool, now_ms: int
    ) -> Suspicion:
        """Avoid a server that failed just now, here or elsewhere."""
        known = self._suspicions.get(server)
        failures = known.failures + 1 if known else 1
        quiet_ms = FIRST_QUIET_MS if failures == 1 else REPEATED_QUIET_MS
        pause_ms = quiet_ms + self._random.randrange(RETURN_SPREAD_MS)
        noted = Suspicion(failures, slow, now_ms, now_ms + pause_ms)
        self._suspicions[server] = noted
        return noted

    def note_success(self, server: Incarnation, started_ms: int) -> bool:
        """Trust a server again; return whether it was suspected.

        Work that began before the server failed says nothing of how it
        is now.
        """
        known = self._suspicions.get(server)
        if known is None or started_ms <= known.failed_at_ms:
            return False
        del self._suspicions[server]
        return True

    def suspicion(self, server: Incarnation) -> Suspicion | None:
        """Return what speaks against a server, if anything does."""
        return self._suspicions.get(server)

    def forget_except(self, servers: abc.Set[Incarnation]) -> None:
        """Drop what is known of servers that are gone."""
        for server in self._suspicions.keys() - servers:
            del self._suspicions[server]
