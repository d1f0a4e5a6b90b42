"""Other entry hosts that messages are sent to, registered or not."""

from collections.abc import Iterable
import dataclasses

from cardamomdeal.fleet import model
from cardamomdeal.internal import address

# An unregistered host gets messages for this long after it was last heard of.
UNREGISTERED_RETENTION_MS = 30_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Unregistered:
    """A host without an entry in the store."""

    # Not known of a host that was never registered.
    data_centre: str | None
    until_ms: int


class Peers:
    """Addresses of the other entry hosts.

    The entry of a host that cannot reach the store expires, although other
    hosts reach it. It needs their messages more than any other host, so a
    missing entry alone does not end them.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._registered: dict[address.Address, str] = {}
        self._unregistered: dict[address.Address, _Unregistered] = {}

    def set_registered(
        self, hosts: Iterable[model.EntryHost], now_ms: int
    ) -> None:
        """Replace the registered hosts; retain those that are missing."""
        previous = self._registered
        self._registered = {
            host.peers: host.data_centre
            for host in hosts
            if host.name != self._name
        }
        until_ms = now_ms + UNREGISTERED_RETENTION_MS
        for peer in previous.keys() - self._registered.keys():
            self._unregistered[peer] = _Unregistered(previous[peer], until_ms)
        for peer in self._registered.keys() & self._unregistered.keys():
            del self._unregistered[peer]

    def record_heard(self, peer: address.Address, now_ms: int) -> None:
        """Record that a message came from an address."""
        if peer in self._registered:
            return
        known = self._unregistered.get(peer)
        self._unregistered[peer] = _Unregistered(
            known.data_centre if known else None,
            now_ms + UNREGISTERED_RETENTION_MS,
        )

    def addresses(
        self, now_ms: int, data_centre: str | None = None
    ) -> tuple[address.Address, ...]:
        """Return all addresses, or those known to be in a data centre."""
        self._expire(now_ms)
        known = [
            *self._registered.items(),
            *((a, host.data_centre) for a, host in self._unregistered.items()),
        ]
        return tuple(
            peer for peer, place in known if data_centre in (None, place)
        )

    def unplaced(self, now_ms: int) -> tuple[address.Address, ...]:
        """Return the addresses of which no data centre is known."""
        self._expire(now_ms)
        return tuple(
            peer
            for peer, host in self._unregistered.items()
            if host.data_centre is None
        )

    def _expire(self, now_ms: int) -> None:
        expired = [
            peer
            for peer, host in self._unregistered.items()
            if host.until_ms <= now_ms
        ]
        for peer in expired:
            del self._unregistered[peer]
