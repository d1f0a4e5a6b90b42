"""Keeps work off backend servers that lately failed."""

from collections import abc
import random

# How long a failing server is left alone before any host tries it again.
QUIET_MS = 2_500
# Hosts come back one after the other over this long, so that the first
# request after the pause is one host's and warns the others if it fails.
RETURN_SPREAD_MS = 4_000

Incarnation = tuple[str, int]


class Avoidance:
    """Remember until when this host avoids each server.

    Load it answers: servers that fail most of what they run for some
    seconds while their health checks pass. A failure anywhere in the
    fleet counts here, since one host sees a server too rarely.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness
        self._until_ms: dict[Incarnation, int] = {}

    def note_failure(self, server: Incarnation, now_ms: int) -> None:
        """Avoid a server that failed just now, here or elsewhere."""
        pause_ms = QUIET_MS + self._random.randrange(RETURN_SPREAD_MS)
        self._until_ms[server] = now_ms + pause_ms

    def note_success(self, server: Incarnation) -> None:
        """Trust a server again that did what it was asked."""
        self._until_ms.pop(server, None)

    def until_ms(self, server: Incarnation) -> int:
        """Return when the server may be tried again; 0 is long ago."""
        return self._until_ms.get(server, 0)

    def forget_except(self, servers: abc.Set[Incarnation]) -> None:
        """Drop what is known of servers that are gone."""
        for server in self._until_ms.keys() - servers:
            del self._until_ms[server]
