"""What a quota keeper knows of the hosts, and its messages to them."""

import random

from cardamomdeal.channels import datagrams
from cardamomdeal.entry import registrar
from cardamomdeal.fleet import freshness
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import lenders
from cardamomdeal.workspaces import quotas
from cardamomdeal.workspaces import reachability

# A view that was confirmed within this time shows which hosts are present.
FRESH_VIEW_MS = freshness.STALE_MS
# Probes are sent before a view is too old, so that their answers are there.
PROBE_VIEW_AGE_MS = 900
# A host that was cut off for less time has kept its entry in the store.
ABSENCE_MS = registrar.LEASE_MS - 2 * registrar.RENEWAL_INTERVAL_MS


class QuotaHosts:
    """The hosts of the fleet, and how much of it this host sees."""

    def __init__(
        self,
        settings: settings_model.EntrySettings,
        rng: random.Random,
        started_ms: int,
    ) -> None:
        self.name = settings.name
        self.own_address = settings.peers
        self.lenders = lenders.Lenders(settings.name, started_ms)
        self.reachability = reachability.Reachability(rng)
        self._addresses: dict[str, address.Address] = {}
        self._left_addresses: dict[str, address.Address] = {}
        self._names: dict[address.Address, str] = {}
        self._sorted_names: tuple[str, ...] = ()
        # This host's place among them, None if it is not listed.
        self._index: int | None = None
        self._view_confirmed_at_ms: int | None = None
        self._is_stopping = False
        self._sends: list[datagrams.SendTo] = []

    @property
    def is_stopping(self) -> bool:
        """Return whether this host is about to stop."""
        return self._is_stopping

    def stop(self) -> None:
        """Lend no more tokens, as this host is stopping."""
        self._is_stopping = True

    def set_hosts(
        self,
        hosts: tuple[model.EntryHost, ...],
        confirmed_at_ms: int | None,
        now_ms: int,
    ) -> None:
        """Replace the hosts, as of the last confirmation of the view."""
        known_at_ms = self._view_confirmed_at_ms
        if (
            known_at_ms is not None
            and confirmed_at_ms is not None
            and confirmed_at_ms - known_at_ms > ABSENCE_MS
        ):
            self.lenders.record_absence(now_ms)
        self._view_confirmed_at_ms = confirmed_at_ms
        addresses = {host.name: host.peers for host in hosts}
        self.reachability.record_hosts(len(addresses), now_ms)
        self.lenders.set_hosts(addresses, now_ms)
        if addresses == self._addresses:
            return
        known = self._left_addresses | self._addresses
        self._addresses = addresses
        # Those that have just left are asked whether they still lend.
        self._left_addresses = {
            name: peer
            for name, peer in known.items()
            if name in self.lenders.left
        }
        self._names = {
            peer: name
            for name, peer in (self._left_addresses | addresses).items()
        }
        self._sorted_names = tuple(sorted(addresses))
        self._index = (
            self._sorted_names.index(self.name)
            if self.name in addresses
            else None
        )

    def is_listed(self, name: str) -> bool:
        """Return whether a host is present in this host's view."""
        return name in self._addresses

    def name_of(self, peer: address.Address) -> str | None:
        """Return the name of the host with an address, if known."""
        return self._names.get(peer)

    def position(self, now_ms: int) -> tuple[int, int] | None:
        """Return this host's index and the number of hosts, if listed."""
        if self._index is None:
            return None
        return self._index, self.reachability.most_hosts(now_ms)

    def role(self, number: int, now_ms: int) -> lenders.Role:
        """Return whether this host lends, as far as it sees the fleet."""
        reach = self._reach(now_ms)
        if self._is_stopping or reach is reachability.Reach.LITTLE:
            return lenders.Elsewhere()
        role = self.lenders.role(number, now_ms)
        match role:
            case lenders.Lending(quotas.Undisputed(since_ms)) if (
                reach is reachability.Reach.SOME
            ):
                return lenders.Lending(quotas.Disputed(since_ms, True), ())
        return role

    def probe(self, now_ms: int) -> None:
        """Ask a sample of the hosts for an answer if the view is old."""
        age_ms = self._view_age_ms(now_ms)
        if age_ms is not None and age_ms < PROBE_VIEW_AGE_MS:
            return
        others = [name for name in self._sorted_names if name != self.name]
        for name in self.reachability.next_probes(others, now_ms):
            self.send_to(
                name, protocol.LendingRequest(self.name, now_ms, is_probe=True)
            )

    def send_to(self, name: str, message: protocol.QuotaMessage) -> None:
        """Send a message to a host that is present or has just left."""
        to = self._addresses.get(name) or self._left_addresses.get(name)
        if to is not None:
            self.send(to, message)

    def send(
        self, to: address.Address, message: protocol.QuotaMessage
    ) -> None:
        """Send a message to an address."""
        self._sends.append(datagrams.SendTo((to,), message))

    @property
    def has_sends(self) -> bool:
        """Return whether there are messages to send."""
        return bool(self._sends)

    def pop_sends(self) -> list[datagrams.SendTo]:
        """Return the messages to send now."""
        sends, self._sends = self._sends, []
        return sends

    def _reach(self, now_ms: int) -> reachability.Reach:
        age_ms = self._view_age_ms(now_ms)
        is_fresh = age_ms is not None and age_ms <= FRESH_VIEW_MS
        if is_fresh or self._addresses.keys() == {self.name}:
            return self.reachability.by_view(now_ms)
        return self.reachability.by_probes(now_ms)

    def _view_age_ms(self, now_ms: int) -> int | None:
        if self._view_confirmed_at_ms is None:
            return None
        return now_ms - self._view_confirmed_at_ms
