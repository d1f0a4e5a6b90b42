"""A change of the configuration reaches every host that any other reaches.

The hosts exchange real messages over a simulated network whose links drop what
does not fit in their queues; the store may turn hosts away. Links of 5 to
10 Mbit/s used to lose large changes and views, and hosts whose entry in the
store had expired were no longer told of changes, so they served an old
configuration for as long as the store turned them away.
"""

import collections
import heapq
import itertools
import json
import random
from typing import Any
import unittest
from unittest import mock
import zlib

from cardamomdeal.channels import datagrams
from cardamomdeal.channels import pacing
from cardamomdeal.entry import fleet_synchronizer
from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.fleet import recent_changes
from cardamomdeal.fleet import registry
from cardamomdeal.fleet import revisions
from cardamomdeal.fleet import store_readers
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.platform import entries
from cardamomdeal.platform import store
from cardamomdeal.platform import wire
from cardamomdeal.protocol import codec
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model as settings_model

SLOW_LINK_MBPS = 10.0
FAST_LINK_MBPS = 200.0
# A link drops datagrams that would wait longer than this.
LINK_QUEUE_MS = 20
DELAY_MS = 1
STORE_CALL_MS = 4
WATCH_INTERVAL_MS = 150
STORE_TIMEOUT_MS = 1_100
SETTLING_MS = 4_000
# Hosts hear of a restore of the store from those that read it.
HEARD_MS = 500
DRAIN_MS = 2_000
# A change must be in force everywhere within this time.
IN_FORCE_MS = 2_500
# The users allow 2 s, and 5 s more while the store turns hosts away. A
# configuration of 300 KB takes half a second on half of a slow link.
LARGE_IN_FORCE_MS = 7_000
LARGE_ROUTES = 8_000
LARGE_NAME_BITS = 256
LARGE_MIN_BYTES = 300_000
BOUNDS = settings_model.Bounds(
    drain_ms=2_500,
    stop_grace_ms=6_000,
    max_keep_for_ms=5_000,
    repeat_ratio=0.2,
    repeat_window_ms=10_000,
    repeat_slack=198.0,
    capacity_floor=0.7,
)


def configuration(version: int, routes: int, name_bits: int = 40) -> bytes:
    """Return a stored configuration with random names."""
    rng = random.Random(7)
    names = [
        f'{rng.getrandbits(name_bits):0{name_bits // 4}x}'
        for _ in range(routes)
    ]
    table = {
        'columns': ['name', 'hostname', 'prefix', 'kind', 'service'],
        'rows': [
            [f'r-{name[:7]}', f'{name[:5]}.example', f'/{name}/', 'safe', 's']
            for name in names
        ],
    }
    return json.dumps(
        {
            'version': version,
            'routes': table,
            'services': [{'name': 's', 'max_connections': 10}],
            'limits': {
                'max_header_bytes': 16_384,
                'max_body_bytes': 1_000,
                'header_timeout': '3s',
                'idle_timeout': '15s',
            },
        }
    ).encode()


class Events:
    """Queue of simulated events in the order of their times."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock(1_000_000)
        self._queue: list[tuple[int, int, Any]] = []
        self._numbers = itertools.count()

    def after(self, delay_ms: float, action: Any) -> None:
        """Run an action later."""
        at_ms = self.clock.now_ms() + round(delay_ms)
        heapq.heappush(self._queue, (at_ms, next(self._numbers), action))

    def run(self, duration_ms: int) -> None:
        """Run all events of the next `duration_ms`."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._queue)
            self.clock.advance(max(0, at_ms - self.clock.now_ms()))
            action()
        self.clock.advance(end_ms - self.clock.now_ms())


class Store:
    """Content and history of the platform's store."""

    def __init__(self) -> None:
        self.revision = 0
        self.era = 0
        self.items: dict[str, store.Item] = {}
        self.history: list[store.Event] = []
        # Complete reads and watches that ended.
        self.calls = 0
        # Names of the hosts that have read it.
        self.readers: set[str] = set()

    def put(self, key: str, value: bytes) -> None:
        """Write one key."""
        self.revision += 1
        self.items[key] = store.Item(key, value, self.revision)
        self.history.append(self.items[key])

    def remove(self, key: str) -> None:
        """Remove one key."""
        self.revision += 1
        self.items.pop(key, None)
        self.history.append(store.Removal(key, self.revision))

    def copy(self) -> tuple[int, dict[str, store.Item]]:
        """Return a copy of the content, with its revision's number."""
        return revisions.number(self.revision), dict(self.items)

    def restore(self, copy: tuple[int, dict[str, store.Item]]) -> None:
        """Go back to a copy, in a new era."""
        number, items = copy
        self.era += 1
        self.revision = revisions.pack(self.era, number)
        self.items = {
            key: store.Item(
                key,
                item.value,
                revisions.pack(self.era, revisions.number(item.revision)),
            )
            for key, item in items.items()
        }
        self.history.clear()


class Network:
    """Delivers datagrams between hosts with limited links."""

    def __init__(self, events: Events) -> None:
        self._events = events
        self.hosts: dict[address.Address, Host] = {}
        self._link_free_at_ms: dict[address.Address, float] = {}
        self.sent_bytes = 0
        self.sent_messages: collections.Counter[type] = collections.Counter()
        self.received_messages: collections.Counter[str] = (
            collections.Counter()
        )
        self.received_bytes: collections.Counter[str] = collections.Counter()
        # Between data centres.
        self.remote_bytes = 0
        # Share of the datagrams that are lost on their way.
        self.lost_share = 0.0
        self._rng = random.Random(1)

    def send(self, sender: 'Host', command: datagrams.SendTo) -> None:
        """Send a message to each target in the way of a datagram task."""
        data = codec.encode_compressed(command.message)
        self.sent_messages[type(command.message)] += len(command.to)
        if len(data) > datagrams.MAX_DATAGRAM_BYTES:
            return
        for target in command.to:
            if not sender.paced.put(data, target):
                self._transmit(sender, data, target)
        self._send_paced(sender)

    def _send_paced(self, sender: 'Host') -> None:
        now_ms = self._events.clock.now_ms()
        for data, target in sender.paced.pop_ready(now_ms):
            self._transmit(sender, data, target)
        delay_ms = sender.paced.delay_ms(now_ms)
        if delay_ms is not None:
            self._events.after(
                max(1, delay_ms), lambda: self._send_paced(sender)
            )

    def _transmit(
        self, sender: 'Host', data: bytes, target: address.Address
    ) -> None:
        own = sender.entry.peers
        now_ms = self._events.clock.now_ms()
        free_at_ms = max(now_ms, self._link_free_at_ms.get(own, 0))
        if free_at_ms - now_ms > LINK_QUEUE_MS:
            return
        free_at_ms += len(data) / (sender.link_mbps * 125)
        self._link_free_at_ms[own] = free_at_ms
        self.sent_bytes += len(data)
        receiver = self.hosts.get(target)
        is_lost = self._rng.random() < self.lost_share
        if receiver is not None and not is_lost:
            self._count(sender, receiver, len(data))
            message = codec.decode_compressed(data).unwrap()
            self._events.after(
                free_at_ms - now_ms + DELAY_MS, receiver.arrival(own, message)
            )

    def _count(
        self, sender: 'Host', receiver: 'Host', size_bytes: int
    ) -> None:
        self.received_messages[receiver.entry.name] += 1
        self.received_bytes[receiver.entry.name] += size_bytes
        if sender.place != receiver.place:
            self.remote_bytes += size_bytes


class Host:
    """An entry host's synchronizer, with its other tasks replaced."""

    def __init__(self, fleet: 'Fleet', number: int, link_mbps: float) -> None:
        self._fleet = fleet
        self._events = fleet.events
        self.link_mbps = link_mbps
        self.paced = pacing.PacedQueue(link_mbps)
        self.reaches_store = True
        # Whether the other hosts hear this one.
        self.is_heard = True
        self.applied_at_ms: dict[int, int] = {}
        self.servers: set[str] = set()
        self.reports: list[Any] = []
        self._revision: int | None = None
        self._should_read = False
        self._is_calling = False
        self._call_interval_ms = WATCH_INTERVAL_MS
        self.max_retry_delay_ms = 0
        own = address.Address(f'10.0.{number // 250}.{number % 250}', 7_200)
        name = f'host-{number}'
        self.place = f'a-{number % fleet.places}'
        place = settings_model.Place(name, 'r', self.place)
        self.entry = model.EntryHost(
            name, 1, 'r', self.place, own, own, link_mbps
        )
        settings = settings_model.EntrySettings(
            name=name,
            place=place,
            telemetry=settings_model.Telemetry(None, 'ERROR'),
            callers=own,
            readiness=own,
            directory=own,
            peers=own,
            link_mbps=link_mbps,
            memory_mb=300,
            heartbeat_ms=1_500,
            seeds=(),
            metrics=own,
            store=own,
            bounds=BOUNDS,
        )
        channel = mock.Mock()
        channel.command = self._send
        with mock.patch.object(
            datagrams, 'DatagramTask', lambda *arguments: channel
        ):
            self.synchronizer = fleet_synchronizer.FleetSynchronizer(
                settings, self.entry, self._events.clock, self
            )
        self.synchronizer.receive(
            messages.TasksStarted(self, self, self, mock.Mock())
        )
        self._events.after(number, self._tick)

    def tell(self, message: Any) -> None:
        """Handle a message that the synchronizer sends to another task."""
        match message:
            case messages.RoutesUpdated(table):
                now_ms = self._events.clock.now_ms()
                self.applied_at_ms[table.version] = now_ms
            case messages.ServersUpdated(servers, _):
                self.servers = {server.server_id for server in servers}
            case messages.FollowStore(
                should_read, _, call_interval_ms, max_retry_delay_ms
            ):
                self._should_read = should_read
                self.max_retry_delay_ms = max_retry_delay_ms
                self._call_interval_ms = call_interval_ms
                if should_read and not self._is_calling:
                    self._is_calling = True
                    self._events.after(STORE_CALL_MS, self._call_store)
            case messages.SetRevision(revision):
                self._revision = max(self._revision or 0, revision)
            case messages.PeerReports(reports):
                self.reports += reports
            case messages.Register():
                self._fleet.register(self)

    def after(self, _: Any, message: Any, delay_ms: int) -> None:
        """Send the synchronizer a message later, as a scheduler does."""
        self._events.after(
            delay_ms, lambda: self.synchronizer.receive(message)
        )

    def arrival(self, sender: address.Address, message: Any) -> Any:
        """Return an action that delivers a datagram."""
        return lambda: self.synchronizer.receive(
            datagrams.Arrived(sender, message)
        )

    def _send(self, command: datagrams.Command) -> None:
        if self.is_heard:
            self._fleet.network.send(self, command)

    def _tick(self) -> None:
        self.synchronizer.receive(messages.Tick())
        self._events.after(fleet_synchronizer.TICK_INTERVAL_MS, self._tick)

    def _call_store(self) -> None:
        if not self._should_read:
            self._is_calling = False
            return
        if not self.reaches_store:
            self._events.after(STORE_TIMEOUT_MS, self._fail_call)
            return
        self._fleet.store.readers.add(self.entry.name)
        self._fleet.store.calls += 1
        current = self._fleet.store
        if self._revision is None or revisions.is_restored(
            self._revision, current.revision
        ):
            update: Any = messages.StoreSnapshot(
                tuple(current.items.values()),
                current.revision,
                self._events.clock.now_ms(),
            )
        else:
            after_revision = self._revision
            changes = tuple(
                event
                for event in current.history
                if event.revision > after_revision
            )
            update = messages.StoreChanged(
                after_revision,
                changes,
                current.revision,
                self._events.clock.now_ms(),
            )
        self._revision = current.revision
        self.synchronizer.receive(update)
        self._events.after(self._call_interval_ms, self._call_store)

    def _fail_call(self) -> None:
        self.synchronizer.receive(messages.StoreFailed('silent'))
        self._events.after(WATCH_INTERVAL_MS, self._call_store)


class Fleet:
    """Entry hosts with one store, a few of them with a fast link."""

    def __init__(
        self,
        hosts: int,
        fast: int,
        routes: int,
        settling_ms: int = SETTLING_MS,
        places: int = 1,
        name_bits: int = 40,
    ) -> None:
        self.places = places
        self.name_bits = name_bits
        self.events = Events()
        self.store = Store()
        self.network = Network(self.events)
        self.version = 1
        self.routes = routes
        self.store.put(
            wire.CONFIGURATION_KEY, configuration(1, routes, name_bits)
        )
        for number in range(145):
            self.store.put(f'servers/i-{number}', _server(number))
        self.hosts = [
            Host(self, n, FAST_LINK_MBPS if n < fast else SLOW_LINK_MBPS)
            for n in range(hosts)
        ]
        for host in self.hosts:
            self.network.hosts[host.entry.peers] = host
        self.events.run(settling_ms)

    def register(self, host: Host) -> None:
        """Write the entry of a host unless it is present."""
        key = wire.ENTRY_HOSTS_PREFIX + host.entry.name
        if host.reaches_store and key not in self.store.items:
            self.store.put(key, entries.write_host(host.entry))

    def restart(self, host: Host) -> Host:
        """Replace a host by one that knows nothing, at the same address."""
        number = self.hosts.index(host)
        restarted = Host(self, number, host.link_mbps)
        restarted.reaches_store = host.reaches_store
        self.hosts[number] = restarted
        self.network.hosts[host.entry.peers] = restarted
        return restarted

    def turn_away(self, hosts: list[Host]) -> None:
        """Let the store turn hosts away and their entries expire."""
        for host in hosts:
            host.reaches_store = False
            self.store.remove(wire.ENTRY_HOSTS_PREFIX + host.entry.name)

    def change_configuration(self) -> None:
        """Write the next version."""
        self.version += 1
        self.changed_at_ms = self.events.clock.now_ms()
        self.store.put(
            wire.CONFIGURATION_KEY,
            configuration(self.version, self.routes, self.name_bits),
        )

    def late_hosts(
        self, version: int, in_force_ms: int = IN_FORCE_MS
    ) -> list[str]:
        """Return the hosts without the version in time."""
        return [
            host.entry.name
            for host in self.hosts
            if host.applied_at_ms.get(version, self.changed_at_ms + 10**9)
            > self.changed_at_ms + in_force_ms
        ]


def _server(number: int) -> bytes:
    rng = random.Random(number)
    return json.dumps(
        {
            'address': f'10.1.{number}.9:8080',
            'born': 1_788_000_000_000 + rng.getrandbits(30),
            'info': {
                'service': f'{rng.getrandbits(28):07x}',
                'version': 'v1',
                'zone': 'dk-west-a',
                'slots': 6,
            },
            'status': {'state': 'ready', 'seq': 4, 'cold_remaining': '0ms'},
        }
    ).encode()


class ChangesReachHostsTest(unittest.TestCase):
    def assert_change_is_in_force(self, fleet: Fleet) -> None:
        fleet.change_configuration()
        fleet.events.run(IN_FORCE_MS + 100)
        self.assertEqual([], fleet.late_hosts(fleet.version))

    def test_all_hosts_reach_the_store(self) -> None:
        for fast, routes in ((6, 60), (0, 60), (6, 1_500), (0, 1_500)):
            with self.subTest(fast=fast, routes=routes):
                self.assert_change_is_in_force(Fleet(60, fast, routes))

    def test_store_turns_hosts_away_for_long(self) -> None:
        for fast, routes in ((6, 60), (0, 60), (6, 1_500)):
            with self.subTest(fast=fast, routes=routes):
                fleet = Fleet(60, fast, routes)
                fleet.turn_away(fleet.hosts[2::3])
                for pause_ms in (500, 4_000, 40_000):
                    fleet.events.run(pause_ms)
                    self.assert_change_is_in_force(fleet)

    def test_host_restarts_while_the_store_turns_it_away(self) -> None:
        # The host knows no other one, but they still send to its address.
        fleet = Fleet(60, 6, 60)
        fleet.turn_away(fleet.hosts[2::3])
        fleet.events.run(500)
        restarted = fleet.restart(fleet.hosts[2])
        fleet.changed_at_ms = fleet.events.clock.now_ms()
        fleet.events.run(IN_FORCE_MS)
        self.assertNotIn(restarted.entry.name, fleet.late_hosts(1))
        self.assert_change_is_in_force(fleet)

    def test_store_turns_reading_hosts_away(self) -> None:
        fleet = Fleet(60, 6, 60)
        fleet.turn_away(
            [host for host in fleet.hosts if host.synchronizer.is_reading]
        )
        fleet.events.run(3_000)
        self.assert_change_is_in_force(fleet)

    def test_few_hosts_read_the_store_at_a_change(self) -> None:
        fleet = Fleet(60, 6, 300)
        fleet.store.readers.clear()
        self.assert_change_is_in_force(fleet)
        self.assertEqual(store_readers.READER_COUNT, len(fleet.store.readers))

    def test_hosts_that_start_together_get_changes_from_few(self) -> None:
        # All of them read the store at first, and sent each registration to
        # all others.
        fleet = Fleet(119, 6, 60)
        self.assertLessEqual(
            fleet.network.sent_messages[protocol.StoreChanges],
            store_readers.READER_COUNT
            * (SETTLING_MS // WATCH_INTERVAL_MS)
            * len(fleet.hosts),
        )

    def test_hosts_that_start_together_need_few_store_calls(self) -> None:
        # One complete read; the others hear from the readers before a watch is
        # due. Each host watched once more until it knew them.
        fleet = Fleet(119, 6, 60)
        few = len(fleet.hosts) // 10
        readers_calls = (
            store_readers.READER_COUNT * SETTLING_MS // WATCH_INTERVAL_MS
        )
        self.assertLessEqual(
            fleet.store.calls, readers_calls + len(fleet.hosts) + few
        )

    def test_hosts_without_changes_catch_up_over_slow_links(self) -> None:
        fleet = Fleet(60, 0, 60)
        cut_hosts = fleet.hosts[:20]
        fleet.turn_away(cut_hosts)
        for host in cut_hosts:
            del fleet.network.hosts[host.entry.peers]
        for _ in range(3):
            fleet.change_configuration()
            fleet.events.run(3_000)
        for host in cut_hosts:
            fleet.network.hosts[host.entry.peers] = host
        fleet.changed_at_ms = fleet.events.clock.now_ms()
        fleet.events.run(IN_FORCE_MS)
        self.assertEqual([], fleet.late_hosts(fleet.version))

    def test_host_misses_more_changes_than_are_kept(self) -> None:
        # All of them in one response, as after an outage of the store. The
        # host was sent the last ones alone, as if they were complete.
        fleet = Fleet(60, 6, 60)
        cut_host = fleet.hosts[9]
        fleet.turn_away([cut_host])
        fleet.events.run(500)
        del fleet.network.hosts[cut_host.entry.peers]
        fleet.change_configuration()
        fleet.store.remove('servers/i-7')
        for number in range(recent_changes.MAX_CHANGES):
            fleet.store.put(f'servers/i-{200 + number}', _server(number))
        fleet.events.run(500)
        fleet.network.hosts[cut_host.entry.peers] = cut_host
        fleet.events.run(IN_FORCE_MS - 500)
        self.assertEqual([], fleet.late_hosts(fleet.version))
        # Entries that go missing after an outage are retained for a while.
        fleet.events.run(2_000)
        self.assertEqual(fleet.hosts[0].servers, cut_host.servers)


class LargeConfigurationTest(unittest.TestCase):
    """The configuration fits no datagram; the store turns a third away.

    Such a change was dropped, and with it each later one: these hosts routed
    by the old configuration, to servers that had left, until the store served
    them again.
    """

    def large_fleet(self, fast: int) -> Fleet:
        fleet = Fleet(21, fast, LARGE_ROUTES, name_bits=LARGE_NAME_BITS)
        value = fleet.store.items[wire.CONFIGURATION_KEY].value
        self.assertGreater(len(zlib.compress(value)), LARGE_MIN_BYTES)
        return fleet

    def assert_changes_are_in_force(self, fleet: Fleet, server: str) -> None:
        """Change the configuration, then remove a server."""
        fleet.change_configuration()
        fleet.events.run(100)
        fleet.store.remove(f'servers/{server}')
        fleet.events.run(LARGE_IN_FORCE_MS)
        self.assertEqual(
            [], fleet.late_hosts(fleet.version, LARGE_IN_FORCE_MS)
        )
        late = [h.entry.name for h in fleet.hosts if server in h.servers]
        self.assertEqual([], late)

    def test_changes_reach_hosts_that_are_turned_away(self) -> None:
        for fast in (3, 0):
            with self.subTest(fast=fast):
                fleet = self.large_fleet(fast)
                fleet.turn_away(fleet.hosts[2::3])
                fleet.events.run(500)
                self.assert_changes_are_in_force(fleet, 'i-7')
                fleet.events.run(10_000)
                self.assert_changes_are_in_force(fleet, 'i-8')

    def test_several_changes_in_a_row(self) -> None:
        fleet = self.large_fleet(3)
        fleet.turn_away(fleet.hosts[2::3])
        fleet.events.run(500)
        for _ in range(3):
            fleet.change_configuration()
            fleet.events.run(500)
        self.assert_changes_are_in_force(fleet, 'i-7')

    def test_host_restarts_while_it_is_turned_away(self) -> None:
        # A view without one of its parts was never complete.
        for fast in (3, 0):
            with self.subTest(fast=fast):
                fleet = self.large_fleet(fast)
                fleet.turn_away(fleet.hosts[2::3])
                fleet.events.run(500)
                restarted = fleet.restart(fleet.hosts[2])
                fleet.changed_at_ms = fleet.events.clock.now_ms()
                fleet.events.run(LARGE_IN_FORCE_MS)
                late = fleet.late_hosts(1, LARGE_IN_FORCE_MS)
                self.assertNotIn(restarted.entry.name, late)
                self.assert_changes_are_in_force(fleet, 'i-7')

    def test_lost_parts_are_made_good(self) -> None:
        fleet = self.large_fleet(3)
        fleet.turn_away(fleet.hosts[2::3])
        fleet.events.run(500)
        fleet.network.lost_share = 0.05
        self.assert_changes_are_in_force(fleet, 'i-7')

    def test_hosts_that_read_the_store_are_sent_no_values(self) -> None:
        # Their links would be flooded with what they read anyway.
        fleet = self.large_fleet(3)
        fleet.turn_away(fleet.hosts[2::3])
        fleet.events.run(500)
        fleet.network.received_bytes.clear()
        self.assert_changes_are_in_force(fleet, 'i-7')
        for host in fleet.hosts:
            if host.reaches_store:
                received_bytes = fleet.network.received_bytes[host.entry.name]
                self.assertLess(received_bytes, LARGE_MIN_BYTES / 2)


class RetryDelayTest(unittest.TestCase):
    """The store serves a host again after an outage.

    The host went on waiting for up to 3.9 s although other hosts told it of
    changes that they had read, and routed by the old configuration meanwhile.
    """

    def setUp(self) -> None:
        self.fleet = Fleet(20, 2, 10)
        for host in self.fleet.hosts:
            host.reaches_store = False
        self.fleet.events.run(SETTLING_MS)
        self.host = self.fleet.hosts[12]

    def hear_progress(self, revision: int) -> None:
        self.host.arrival(
            self.fleet.hosts[0].entry.peers,
            protocol.StoreProgress('host-0', revision, 50),
        )()

    def test_long_delay_in_an_outage(self) -> None:
        # Calls of all hosts would only add load to a failing store.
        self.assertEqual(
            fleet_synchronizer.NON_READER_MAX_RETRY_DELAY_MS,
            self.host.max_retry_delay_ms,
        )

    def test_no_long_delay_while_others_have_read_changes(self) -> None:
        self.hear_progress(self.fleet.store.revision + 1)
        self.assertEqual(
            fleet_synchronizer.NON_READER_RETRY_DELAY_MS,
            self.host.max_retry_delay_ms,
        )

    def test_long_delay_once_the_changes_have_come(self) -> None:
        self.hear_progress(self.fleet.store.revision + 1)
        revision = self.fleet.store.revision
        self.host.arrival(
            self.fleet.hosts[0].entry.peers,
            protocol.StoreChanges('host-0', revision, revision + 1, 50, ()),
        )()
        self.fleet.events.run(fleet_synchronizer.TICK_INTERVAL_MS)
        self.assertEqual(
            fleet_synchronizer.NON_READER_MAX_RETRY_DELAY_MS,
            self.host.max_retry_delay_ms,
        )


class RestoredStoreTest(unittest.TestCase):
    """The store is restored while it turns some hosts away.

    These hear of the new content from their peers alone.
    """

    def setUp(self) -> None:
        self.fleet = Fleet(60, 6, 60)
        self.copy = self.fleet.store.copy()
        self.fleet.change_configuration()
        for number in range(recent_changes.MAX_CHANGES):
            self.fleet.store.put(f'servers/i-{200 + number}', _server(number))
        self.fleet.events.run(SETTLING_MS)
        self.cut_hosts = self.fleet.hosts[2::3]
        self.fleet.turn_away(self.cut_hosts)
        self.fleet.events.run(SETTLING_MS)

    def restore_and_change(self) -> None:
        self.fleet.store.restore(self.copy)
        self.fleet.change_configuration()
        self.fleet.events.run(IN_FORCE_MS)

    def test_change_after_the_restore_is_in_force(self) -> None:
        self.restore_and_change()
        self.assertEqual([], self.fleet.late_hosts(self.fleet.version))

    def test_servers_of_the_copy_alone_are_in_use(self) -> None:
        self.restore_and_change()
        self.fleet.events.run(registry.EXPIRY_GRACE_MS + 300)
        expected = {f'i-{number}' for number in range(145)}
        for host in self.fleet.hosts:
            self.assertEqual(expected, host.servers)

    def test_server_that_goes_after_the_restore_is_dropped(self) -> None:
        self.fleet.store.restore(self.copy)
        self.fleet.events.run(HEARD_MS)
        self.fleet.store.remove('servers/i-7')
        self.fleet.events.run(DRAIN_MS)
        for host in self.fleet.hosts:
            if host.reaches_store:
                self.assertNotIn('i-7', host.servers)

    def test_two_restores_while_a_host_is_cut_off(self) -> None:
        cut_host = self.cut_hosts[0]
        del self.fleet.network.hosts[cut_host.entry.peers]
        self.restore_and_change()
        self.fleet.store.restore(self.copy)
        self.fleet.change_configuration()
        self.fleet.events.run(IN_FORCE_MS)
        self.fleet.network.hosts[cut_host.entry.peers] = cut_host
        self.fleet.changed_at_ms = self.fleet.events.clock.now_ms()
        self.fleet.events.run(IN_FORCE_MS)
        self.assertEqual([], self.fleet.late_hosts(self.fleet.version))


class CompleteReadsTest(unittest.TestCase):
    """A complete read must not bring back what has changed since it began.

    A complete read takes several calls. Changes that another host sent
    meanwhile were overwritten, and not applied again.
    """

    def setUp(self) -> None:
        self.fleet = Fleet(3, 1, 10)
        self.host = self.fleet.hosts[2]
        self.old_read = messages.StoreSnapshot(
            tuple(self.fleet.store.items.values()),
            self.fleet.store.revision,
            self.fleet.events.clock.now_ms(),
        )

    def test_removed_server_stays_removed(self) -> None:
        self.fleet.store.remove('servers/i-7')
        self.fleet.events.run(500)
        self.assertNotIn('i-7', self.host.servers)
        self.host.synchronizer.receive(self.old_read)
        self.assertNotIn('i-7', self.host.servers)

    def test_new_server_stays_known(self) -> None:
        self.fleet.store.put('servers/i-new', _server(200))
        self.fleet.events.run(500)
        self.assertIn('i-new', self.host.servers)
        self.host.synchronizer.receive(self.old_read)
        self.assertIn('i-new', self.host.servers)


class RemovedServersTest(unittest.TestCase):
    """A server that has left must get no requests two seconds later.

    Entries that go missing after an outage of the store are retained for a
    while. Hosts retained those of servers that had left although no outage
    came before: after their first read, after a failed call long ago, and
    while the store turned the store readers away.
    """

    def assert_server_leaves(self, fleet: Fleet) -> None:
        fleet.store.remove('servers/i-7')
        fleet.events.run(1_000)
        late = [h.entry.name for h in fleet.hosts if 'i-7' in h.servers]
        self.assertEqual([], late)

    def test_after_failed_call_without_outage(self) -> None:
        fleet = Fleet(20, 2, 10)
        for host in fleet.hosts:
            if not host.synchronizer.is_reading:
                host.synchronizer.receive(messages.StoreFailed('reset'))
        fleet.events.run(3_000)
        # A host that misses a change reads it from the store.
        for host in fleet.hosts:
            host.tell(messages.FollowStore(True, 0, WATCH_INTERVAL_MS))
        self.assert_server_leaves(fleet)

    def test_while_the_store_turns_the_readers_away(self) -> None:
        # The time of the removal, and of the calls that fail meanwhile,
        # within the interval at which the readers send what they know.
        for removed_after_ms in (0, 100, 500, 1_000):
            with self.subTest(removed_after_ms=removed_after_ms):
                fleet = Fleet(20, 2, 10)
                readers = [h for h in fleet.hosts if h.synchronizer.is_reading]
                self.assertEqual(store_readers.READER_COUNT, len(readers))
                for host in readers:
                    host.reaches_store = False
                fleet.events.run(removed_after_ms)
                fleet.store.remove('servers/i-7')
                fleet.events.run(2_000)
                late = [
                    h.entry.name for h in fleet.hosts if 'i-7' in h.servers
                ]
                self.assertEqual([], late)

    def test_after_first_read(self) -> None:
        self.assert_server_leaves(Fleet(20, 2, 10, settling_ms=300))

    def test_entry_that_expired_in_an_outage_is_retained(self) -> None:
        fleet = Fleet(20, 2, 10)
        for host in fleet.hosts:
            host.reaches_store = False
        fleet.events.run(3_000)
        entry = fleet.store.items['servers/i-7'].value
        fleet.store.remove('servers/i-7')
        for host in fleet.hosts:
            host.reaches_store = True
        fleet.events.run(1_300)
        for host in fleet.hosts:
            self.assertIn('i-7', host.servers)
        fleet.store.put('servers/i-7', entry)
        fleet.events.run(3_000)
        for host in fleet.hosts:
            self.assertIn('i-7', host.servers)
