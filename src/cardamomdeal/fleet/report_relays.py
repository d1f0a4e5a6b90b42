"""Decides how reports of backend servers reach all entry hosts.

If each host told all others of each failed attempt, the messages that a
fleet exchanges would grow with the square of its hosts. A few relays in each
data centre merge what hosts report meanwhile into one message for all.
"""

from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
import enum
import itertools
from typing import Generic
from typing import TypeVar

from cardamomdeal.fleet import model
from cardamomdeal.membership import rendezvous

RENDEZVOUS_KEY = 'report-relay'
# A second relay takes over from the first one.
RELAYS_PER_DATA_CENTRE = 2
# Relays send at least one message, which may be empty, in each interval.
HEARTBEAT_INTERVAL_MS = 300
# A relay that has not been heard of for this long is passed over.
RELAY_TIMEOUT_MS = 1_000
# Messages that a relay sends each second, so that a large data centre does
# not take the processor time of its relays.
MAX_MESSAGES_PER_S = 600
# Failures are passed on as soon as that rate allows, loads at this interval.
LOAD_INTERVAL_MS = 100
# Hosts of a data centre that a host tells itself: all of them of a failure
# if there are few, or while no relay is alive, and some of them of each load,
# at random so that the loads of a server reach all in turn.
MAX_DIRECT_RECIPIENTS = 24
LOAD_RECIPIENTS = 8

Report = TypeVar('Report')


class ReportRelays:
    """Ranking of the hosts of each data centre as relays.

    Hosts need no vote: each one sends its reports to the best relay that it
    has heard of lately, and whoever gets reports to pass on does so.
    """

    def __init__(self, host: model.EntryHost) -> None:
        self._host = host
        self._ranked: dict[str, list[model.EntryHost]] = {}
        # When a relay was last heard of, or became a relay.
        self._alive_at_ms: dict[str, int] = {}
        self._received_at_ms = 0

    def set_hosts(self, hosts: Iterable[model.EntryHost], now_ms: int) -> None:
        """Rank the hosts, given with or without this one."""
        by_name = {host.name: host for host in (*hosts, self._host)}
        by_place: dict[str, list[model.EntryHost]] = {}
        for name in rendezvous.ranked(RENDEZVOUS_KEY, by_name):
            host = by_name[name]
            by_place.setdefault(host.data_centre, []).append(host)
        self._ranked = {
            place: sorted(ranked, key=lambda host: -host.link_mbps)[
                :RELAYS_PER_DATA_CENTRE
            ]
            for place, ranked in by_place.items()
        }
        names = {
            host.name for relays in self._ranked.values() for host in relays
        }
        self._alive_at_ms = {
            name: self._alive_at_ms.get(name, now_ms) for name in names
        }

    def record_heard(self, name: str, now_ms: int) -> None:
        """Record that a host has passed on reports."""
        if name in self._alive_at_ms:
            self._alive_at_ms[name] = now_ms

    def record_received(self, now_ms: int) -> None:
        """Record that any message of another host was received."""
        self._received_at_ms = now_ms

    def is_active(self, now_ms: int) -> bool:
        """Return whether this host is the relay of its data centre."""
        relay = self.relay_of(self._host.data_centre, now_ms)
        return relay is not None and relay.name == self._host.name

    def relay_of(
        self, data_centre: str, now_ms: int
    ) -> model.EntryHost | None:
        """Return the best relay of a data centre that is alive."""
        for host in self._ranked.get(data_centre, ()):
            if self._is_alive(host.name, now_ms):
                return host
        return None

    def local_relays(self, now_ms: int) -> tuple[model.EntryHost, ...]:
        """Return the relays of this data centre that are alive, in order."""
        return tuple(
            host
            for host in self._ranked.get(self._host.data_centre, ())
            if self._is_alive(host.name, now_ms)
        )

    def remote_relays(self, now_ms: int) -> tuple[model.EntryHost, ...]:
        """Return a relay for each other data centre."""
        return tuple(
            self.relay_of(place, now_ms) or relays[0]
            for place, relays in self._ranked.items()
            if place != self._host.data_centre
        )

    def _is_alive(self, name: str, now_ms: int) -> bool:
        alive_at_ms = self._alive_at_ms[name]
        if name == self._host.name:
            # A host that is heard but hears nothing can pass nothing on.
            alive_at_ms = self._received_at_ms
        return now_ms - alive_at_ms <= RELAY_TIMEOUT_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Handling:
    """How a report is passed on."""

    # Hosts of its own data centre that the observer tells at once.
    direct_recipients: int
    # Whether relays pass it on as soon as they may.
    is_urgent: bool
    # Whether hosts of other data centres need it.
    is_for_all: bool
    # Key of an earlier report that this one makes worthless.
    replaces: Hashable | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Batch(Generic[Report]):
    """Reports to send to this data centre and to those elsewhere.

    An empty one is a heartbeat; None is not sent.
    """

    local: tuple[Report, ...] | None
    remote: tuple[Report, ...] | None


class Audience(enum.Enum):
    """Whom a relay tells of a report."""

    FLEET = 'fleet'
    DATA_CENTRE = 'data-centre'
    ELSEWHERE = 'elsewhere'


class ReportOutbox(Generic[Report]):
    """Reports that wait to be passed on, and when that happens.

    A report of a failure is worth the more the sooner it arrives, so it is
    passed on at once while messages are few.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._local: dict[Hashable, Report] = {}
        self._remote: dict[Hashable, Report] = {}
        self._is_urgent = False
        self._local_sent_at_ms = 0
        self._remote_sent_at_ms = 0
        # Credit of messages, which grows with time.
        self._credit = float(MAX_MESSAGES_PER_S)
        self._credit_at_ms = 0

    def add(
        self, report: Report, handling: Handling, audience: Audience
    ) -> None:
        """Add a report for this data centre, for the others or for all."""
        key = handling.replaces or next(self._numbers)
        if audience is not Audience.ELSEWHERE:
            self._local[key] = report
        if audience is not Audience.DATA_CENTRE:
            self._remote[key] = report
        self._is_urgent |= handling.is_urgent

    def delay_ms(self, recipients: int, now_ms: int) -> int | None:
        """Return the time until the reports are sent; None without any."""
        if not self._local and not self._remote:
            return None
        self._update_credit(now_ms)
        # A relay with more recipients than credit for a second still sends.
        missing = min(recipients, MAX_MESSAGES_PER_S) - self._credit
        delay_ms = max(0, -(-missing * 1_000 // MAX_MESSAGES_PER_S))
        if not self._is_urgent:
            next_load_at_ms = self._local_sent_at_ms + LOAD_INTERVAL_MS
            delay_ms = max(delay_ms, next_load_at_ms - now_ms)
        return round(delay_ms)

    def is_heartbeat_due(self, now_ms: int) -> bool:
        """Return whether nothing has been sent to some for an interval."""
        oldest_ms = min(self._local_sent_at_ms, self._remote_sent_at_ms)
        return now_ms - oldest_ms >= HEARTBEAT_INTERVAL_MS

    def pop(self, recipients: int, now_ms: int) -> Batch[Report]:
        """Return all reports, which are then sent to so many hosts."""
        self._update_credit(now_ms)
        self._credit = max(0.0, self._credit - recipients)
        local = remote = None
        if self._local or self._is_due(self._local_sent_at_ms, now_ms):
            local = tuple(self._local.values())
            self._local_sent_at_ms = now_ms
        if self._remote or self._is_due(self._remote_sent_at_ms, now_ms):
            remote = tuple(self._remote.values())
            self._remote_sent_at_ms = now_ms
        self._local, self._remote = {}, {}
        self._is_urgent = False
        return Batch(local, remote)

    def _is_due(self, sent_at_ms: int, now_ms: int) -> bool:
        return now_ms - sent_at_ms >= HEARTBEAT_INTERVAL_MS

    def _update_credit(self, now_ms: int) -> None:
        gained = (now_ms - self._credit_at_ms) * MAX_MESSAGES_PER_S / 1_000
        self._credit = min(float(MAX_MESSAGES_PER_S), self._credit + gained)
        self._credit_at_ms = now_ms
