"""Ejections and weights of backend servers, as reported by the judges."""

import dataclasses

from cardamomdeal.health import permits
from cardamomdeal.protocol import messages


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    ejections: messages.HeldEjections
    expires_at_ms: int


class EjectionCache:
    """Cache of the latest report of each judge, until it expires."""

    def __init__(self, validity_ms: int) -> None:
        self._validity_ms = validity_ms
        self._entries: dict[tuple[str, str], _Entry] = {}

    def update(self, ejections: messages.HeldEjections) -> None:
        """Store a report; its validity starts when it was requested."""
        key = (ejections.judge, ejections.service)
        cached = self._entries.get(key)
        expires_at_ms = ejections.asked_at_ms + self._validity_ms
        if cached is None or cached.expires_at_ms <= expires_at_ms:
            self._entries[key] = _Entry(ejections, expires_at_ms)

    def expire(self, now_ms: int) -> None:
        """Remove expired reports."""
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if entry.expires_at_ms > now_ms
        }

    def valid_for_ms(self, now_ms: int) -> int:
        """Return the time until the first report with ejections expires."""
        return min(
            (
                entry.expires_at_ms - now_ms
                for entry in self._entries.values()
                if entry.ejections.ejected
            ),
            default=self._validity_ms,
        )

    def ejected(self, service: str) -> tuple[str, ...]:
        """Return the ejected servers of a service."""
        return tuple(
            server
            for entry in self._entries.values()
            if entry.ejections.service == service
            for server in entry.ejections.ejected
        )

    def weights(self) -> dict[str, float]:
        """Return the lowest weight that any judge reports for each server."""
        weights: dict[str, float] = {}
        for entry in self._entries.values():
            for server, weight in entry.ejections.weights.items():
                weights[server] = min(weight, weights.get(server, 1.0))
        return weights


def server_states(
    cache: EjectionCache,
    capacities: dict[str, permits.Capacity],
    leaving: frozenset[str],
) -> tuple[messages.ServerState, ...]:
    """Return the states of servers that are ejected, leaving or weighted."""
    ejected: frozenset[str] = frozenset()
    for service, capacity in capacities.items():
        # A judge may be wrong about the capacity, so the floor is enforced
        # again with the capacity known to this host.
        ejected |= permits.within_capacity_floor(
            cache.ejected(service), capacity
        )
    weights = cache.weights()
    return tuple(
        messages.ServerState(
            server=server,
            ejected=server in ejected,
            leaving=server in leaving,
            weight=weights.get(server, 1.0),
        )
        for server in sorted(ejected | leaving | weights.keys())
    )
