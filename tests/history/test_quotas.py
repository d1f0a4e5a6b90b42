"""No workspace runs more than its quota, and little below it is refused.

The hosts' keepers exchange real messages over a simulated network that loses,
delays and copies them. Before, each host let every request pass.
"""

import bisect
import collections
import dataclasses
import heapq
import itertools
import logging
import random
import unittest
from unittest import mock

from cardamomdeal.entry import quota_keeper
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.protocol import codec
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import model as workspace_model
from cardamomdeal.workspaces import token_holder

WINDOW_MS = 5_000
BOUNDS = settings_model.Bounds(
    drain_ms=2_500,
    stop_grace_ms=6_000,
    max_keep_for_ms=5_000,
    repeat_ratio=0.2,
    repeat_window_ms=10_000,
    repeat_slack=220.0,
    capacity_floor=0.7,
    quota_window_ms=WINDOW_MS,
    quota_overage=0.1,
    quota_slack=20.0,
)
HOSTS = 40
WORKSPACES = 16
FAULTS_MS = 30_000
# Seeds and how many times its usual demand each workspace sends.
SEEDS = {0: 1, 101: 4, 103: 4, 422: 4, 510: 4}
CONFIG_APPLY_MS = 2_500
CONFIRMATION_INTERVAL_MS = 300
# An entry of the store lapses between these times after its host was cut off.
LEASE_MS = (2_700, 4_000)
# Below the limit, in calm, at most this share may be refused.
MAX_REFUSED_IN_CALM = 0.001


@dataclasses.dataclass(frozen=True)
class Network:
    """Faults of the links and of the views of the hosts."""

    loss: float = 0.0
    copies: float = 0.0
    delay_ms: tuple[float, float] = (0.9, 3.0)
    view_lag_ms: tuple[float, float] = (20, 600)
    # A busy process sends the questions of a moment together.
    flush_ms: float = 1.0


FAULTY = Network(loss=0.02, copies=0.02, flush_ms=10.0)


def workspace(name, demand_per_s, quota_share=1.6):
    """Return a workspace whose quota is a multiple of its usual demand."""
    rate_per_s = demand_per_s * quota_share
    quota = workspace_model.Quota(rate_per_s, max(4.0, rate_per_s))
    return workspace_model.Workspace(name, (), None, quota)


class Host:
    """One entry host with its keeper and its view of the fleet."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.name = f'h-{number}'
        self.entry = model.EntryHost(
            self.name,
            1,
            'r',
            f'z-{number % 4}',
            address.Address('10.0.0.1', number),
            address.Address('10.0.0.2', number),
            0.0,
        )
        self.inbox = []
        self.is_paused = False
        self.view = ()
        self.life = 0
        self.start()

    def start(self):
        """Start the process, without memory of an earlier one."""
        self.life += 1
        self.is_up = True
        self.wake_at_ms = None
        self.is_flush_due = False
        self.confirmed_at_ms = None
        settings = mock.Mock(peers=self.entry.peers, bounds=self.fleet.bounds)
        settings.name = self.name
        self.keeper = quota_keeper.QuotaKeeper(
            settings,
            random.Random(self.fleet.rng.random()),
            self.fleet.clock.now_ms(),
        )
        self.keeper.set_workspaces(self.fleet.workspaces)

    @property
    def lends(self):
        """Return whether tokens of this host are out."""
        return self.keeper.outstanding_tokens > 0

    def see(self, hosts, confirmed_at_ms):
        """Take over a view of the hosts."""
        self.view = hosts
        self.confirmed_at_ms = confirmed_at_ms
        entries = tuple(host.entry for host in hosts)
        self.do(
            lambda: self.keeper.set_hosts(
                entries, confirmed_at_ms, self.fleet.clock.now_ms()
            )
        )

    def do(self, action):
        """Run an action of the process, later if it is paused."""
        if not self.is_up:
            return
        if self.is_paused:
            self.inbox.append(action)
            return
        action()
        self.run()

    def resume(self):
        """Go on after a pause."""
        self.is_paused = False
        inbox, self.inbox = self.inbox, []
        for action in inbox:
            self.do(action)
        self.do(lambda: self.keeper.wake(self.fleet.clock.now_ms()))

    def run(self):
        """Send and decide what the keeper has to send and decide."""
        now_ms = self.fleet.clock.now_ms()
        for number, outcome in self.keeper.pop_decided():
            self.fleet.decide(self, number, outcome)
        if self.keeper.has_sends and not self.is_flush_due:
            self.is_flush_due = True
            life = self.life
            self.fleet.after(
                self.fleet.rng.uniform(0, self.fleet.network.flush_ms),
                lambda: self.flush(life),
            )
        at_ms = self.keeper.next_event_at_ms()
        if at_ms is None or (
            self.wake_at_ms is not None and self.wake_at_ms <= at_ms
        ):
            return
        self.wake_at_ms = at_ms
        life = self.life
        self.fleet.at(max(at_ms, now_ms + 1), lambda: self.wake(at_ms, life))

    def flush(self, life):
        """Send what was asked and answered in the last moment."""
        if life == self.life:
            self.is_flush_due = False
            self.do(self.send_all)

    def send_all(self):
        """Send what waits."""
        for send in self.keeper.pop_sends(self.fleet.clock.now_ms()):
            for to in send.to:
                self.fleet.send(self, to, send.message)

    def wake(self, at_ms, life):
        """Wake the keeper if this is what it waits for."""
        if life == self.life and self.wake_at_ms == at_ms:
            self.wake_at_ms = None
            self.do(lambda: self.keeper.wake(self.fleet.clock.now_ms()))


class Fleet:
    """Hosts, links, the store's list of hosts, and the callers."""

    def __init__(
        self, host_count, workspaces, seed, network=None, bounds=BOUNDS
    ):
        self.rng = random.Random(seed)
        self.clock = clock.ManualClock(1_000_000)
        self.network = network or Network()
        self.bounds = bounds
        self.workspaces = workspaces
        self.by_name = {w.name: w for w in workspaces}
        self.queue = []
        self.numbers = itertools.count()
        # Hosts of each side of a split; no entry means no split.
        self.side = {}
        # Sides that still reach the store.
        self.sides_with_store = {None}
        self.is_store_up = True
        self.hosts = [Host(self, n) for n in range(host_count)]
        self.registered = list(self.hosts)
        self.sent = collections.Counter()
        self.requests = {}
        self.offered = collections.defaultdict(list)
        self.used = collections.defaultdict(list)
        self.refused = collections.defaultdict(list)
        self.waits_ms = []
        for host in self.hosts:
            host.see(tuple(self.registered), self.clock.now_ms())
        self.at(self.clock.now_ms(), self.confirm_views)
        self.run(2_000)

    def at(self, at_ms, action):
        """Run an action at a time."""
        heapq.heappush(self.queue, (at_ms, next(self.numbers), action))

    def after(self, delay_ms, action):
        """Run an action later."""
        self.at(self.clock.now_ms() + delay_ms, action)

    def run(self, duration_ms):
        """Run what happens in the next `duration_ms`."""
        end_ms = self.clock.now_ms() + duration_ms
        while self.queue and self.queue[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self.queue)
            self.clock.advance(max(0, int(at_ms) - self.clock.now_ms()))
            action()
        self.clock.advance(end_ms - self.clock.now_ms())

    # Links and views.

    def reaches(self, sender, recipient):
        """Return whether a link is not cut."""
        return self.side.get(sender.number) == self.side.get(recipient.number)

    def send(self, sender, to, message):
        """Carry a message, perhaps twice or not at all."""
        self.sent['messages'] += 1
        self.sent[type(message).__name__] += 1
        self.sent['bytes'] += len(codec.encode_compressed(message))
        recipient = self.hosts[to.port]
        copies = 1 + (self.rng.random() < self.network.copies)
        for _ in range(copies):
            if self.rng.random() < self.network.loss:
                continue
            self.after(
                self.rng.uniform(*self.network.delay_ms),
                lambda: self.deliver(sender, recipient, message),
            )

    def deliver(self, sender, recipient, message):
        """Hand a message to its recipient if no cut is between."""
        if self.reaches(sender, recipient):
            recipient.do(
                lambda: recipient.keeper.receive(
                    sender.entry.peers, message, self.clock.now_ms()
                )
            )

    def reaches_store(self, host):
        """Return whether a host is in touch with the store."""
        return self.side.get(host.number) in self.sides_with_store

    def confirm_views(self):
        """Let every host that is in touch with the store see its hosts."""
        if self.is_store_up:
            for host in self.hosts:
                self.after(
                    self.rng.uniform(*self.network.view_lag_ms),
                    self.confirmation(
                        host, tuple(self.registered), self.clock.now_ms()
                    ),
                )
        self.after(CONFIRMATION_INTERVAL_MS, self.confirm_views)

    def confirmation(self, host, hosts, asked_at_ms):
        """Return what brings a host a view, unless it has a newer one."""

        def confirm():
            if not self.reaches_store(host):
                return
            if (host.confirmed_at_ms or 0) < asked_at_ms:
                host.see(hosts, asked_at_ms)

        return confirm

    def unregister(self, host):
        """Remove a host from the store's list."""
        if host in self.registered:
            self.registered.remove(host)

    def register(self, host):
        """Add a host to the store's list."""
        if host not in self.registered:
            self.registered.append(host)

    def kill(self, host, down_ms):
        """Kill a host's process; start it again later."""
        self.end(host)
        if down_ms > LEASE_MS[0]:
            self.after(
                self.rng.uniform(*LEASE_MS), lambda: self.unregister(host)
            )
        self.after(down_ms, lambda: self.restart(host))

    def end(self, host):
        """End a host's process, and the requests at it."""
        host.is_up = False
        host.is_paused = False
        host.inbox.clear()
        for number, (_, _, taken_by) in list(self.requests.items()):
            if taken_by is host:
                del self.requests[number]

    def restart(self, host):
        """Start a host's process and register it."""
        if self.reaches_store(host):
            self.register(host)
        host.start()
        if self.is_store_up and self.reaches_store(host):
            # It takes requests when it has read the store.
            host.view = ()
        else:
            host.see(host.view, None)

    def stop(self, host, down_ms=3_500):
        """Stop a host as planned, and start it again."""
        self.unregister(host)
        self.after(2_800, lambda: self.end(host))
        self.after(down_ms, lambda: self.restart(host))

    def pause(self, host, duration_ms):
        """Freeze a host's process for a while."""
        host.is_paused = True
        self.after(duration_ms, host.resume)

    def add(self, count):
        """Add hosts."""
        for _ in range(count):
            host = Host(self, len(self.hosts))
            self.hosts.append(host)
            self.register(host)

    def cut(self, hosts, duration_ms, has_store=False):
        """Cut hosts off from the others, and from the store or not."""
        side = next(self.numbers)
        if has_store:
            self.sides_with_store.add(side)
        for host in hosts:
            self.side[host.number] = side
            if has_store:
                continue
            self.after(self.rng.uniform(*LEASE_MS), self.expiry(host, side))
        self.after(duration_ms, lambda: self.heal(hosts))

    def expiry(self, host, side):
        """Return what removes a host's entry if it is still cut off."""

        def expire():
            if self.side.get(host.number) == side:
                self.unregister(host)

        return expire

    def heal(self, hosts):
        """End a cut."""
        for host in hosts:
            self.side.pop(host.number, None)
            if host.is_up:
                self.register(host)

    # Callers.

    def load(self, name, rate_per_s, duration_ms, hosts=None):
        """Let a workspace's callers send to random hosts for a while."""
        at_ms = self.clock.now_ms()
        end_ms = at_ms + duration_ms
        while True:
            at_ms += self.rng.expovariate(rate_per_s / 1000)
            if at_ms >= end_ms:
                return
            self.at(at_ms, lambda: self.request(name, hosts))

    def request(self, name, hosts=None):
        """Send a request to a host that is up."""
        up = [h for h in hosts or self.hosts if h.is_up and h.view]
        if not up:
            return
        host = self.rng.choice(up)
        number = next(self.numbers)
        now_ms = self.clock.now_ms()
        self.requests[number] = (name, now_ms, host)
        self.offered[name].append(now_ms)

        def admit():
            outcome = host.keeper.request(
                number, self.by_name[name], self.clock.now_ms()
            )
            if not isinstance(outcome, token_holder.Asked):
                self.decide(host, number, outcome)

        host.do(admit)

    def decide(self, host, number, outcome):
        """Record whether a request runs."""
        name, sent_at_ms, _ = self.requests.pop(number)
        now_ms = self.clock.now_ms()
        match outcome:
            case token_holder.Granted():
                self.used[name].append(now_ms)
                self.waits_ms.append(now_ms - sent_at_ms)
            case _:
                self.refused[name].append((now_ms, outcome))

    # Results.

    def bound(self, name):
        """Return the most requests that may run in a window."""
        quota = self.by_name[name].quota
        allowed = quota.rate_per_s * WINDOW_MS / 1000 + quota.burst
        return allowed * (1 + self.bounds.quota_overage) + (
            self.bounds.quota_slack
        )

    def worst_window(self, name):
        """Return the most requests that ran in any window."""
        used = self.used[name]
        return max(
            (
                bisect.bisect_right(used, at_ms + WINDOW_MS) - index
                for index, at_ms in enumerate(used)
            ),
            default=0,
        )

    def owed(self, name):
        """Return how many of its requests a single bucket would let pass."""
        quota = self.by_name[name].quota
        tokens, last_ms, owed = quota.burst, 0, 0
        for at_ms in self.offered[name]:
            earned = (at_ms - last_ms) * quota.rate_per_s / 1000
            tokens, last_ms = min(quota.burst, tokens + earned), at_ms
            if tokens >= 1:
                tokens -= 1
                owed += 1
        return owed

    def refused_share(self, names):
        """Return the share of the owed requests that did not run."""
        owed = {name: self.owed(name) for name in names}
        lost = sum(max(0, owed[name] - len(self.used[name])) for name in names)
        return lost / max(1, sum(owed.values()))


def workspaces(count):
    """Return workspaces, their demands, and their names by size.

    A quarter sends a third of the mean, an eighth three times the mean.
    """
    demands = {}
    for n in range(count):
        size = 'small' if n % 4 == 0 else 'large' if n % 8 == 1 else 'middle'
        demand = {'small': 2.3, 'middle': 7.0, 'large': 21.0}[size]
        demands[f'{size}-{n}'] = demand
    return [workspace(name, d) for name, d in demands.items()], demands


class Faults:
    """Schedule of faults that starts one every few hundred milliseconds."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.rng = fleet.rng
        self.kinds = (
            self.stop_ten,
            self.kill_one,
            self.kill_a_lender,
            self.herd_kill,
            self.freeze,
            self.cut_one,
            self.split,
            self.add_hosts,
            self.store_outage,
        )

    def schedule(self, duration_ms):
        """Start faults at random times."""
        start_ms = self.fleet.clock.now_ms()
        at_ms = start_ms
        while True:
            at_ms += self.rng.uniform(200, 2_000)
            if at_ms >= start_ms + duration_ms:
                return
            self.fleet.at(at_ms, self.rng.choice(self.kinds))

    def some(self, count):
        """Return hosts that are up."""
        up = [host for host in self.fleet.hosts if host.is_up]
        return self.rng.sample(up, min(count, len(up)))

    def stop_ten(self):
        for host in self.some(10):
            self.fleet.stop(host)

    def kill_one(self):
        for host in self.some(1):
            self.fleet.kill(host, self.rng.choice((700, 1_500, 8_000)))

    def kill_a_lender(self):
        lending = [host for host in self.some(200) if host.lends]
        if lending:
            self.fleet.kill(self.rng.choice(lending), 1_500)

    def herd_kill(self):
        for host in self.some(len(self.fleet.hosts) // 3):
            self.fleet.kill(host, self.rng.uniform(500, 1_500))

    def freeze(self):
        for host in self.some(2):
            self.fleet.pause(host, self.rng.choice((100, 900, 4_000)))

    def cut_one(self):
        self.fleet.cut(self.some(1), self.rng.choice((800, 3_000, 9_000)))

    def split(self):
        count = round(len(self.fleet.hosts) * self.rng.uniform(0.1, 0.5))
        self.fleet.cut(self.some(count), self.rng.choice((800, 6_000)))

    def add_hosts(self):
        self.fleet.add(5)

    def store_outage(self):
        self.fleet.is_store_up = False
        self.fleet.after(
            self.rng.choice((800, 6_000)),
            lambda: setattr(self.fleet, 'is_store_up', True),
        )


class QuotaTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def fleet(self, hosts, count, seed, **arguments):
        listed, self.demands = workspaces(count)
        return Fleet(hosts, listed, seed, **arguments)

    def load_all(self, fleet, duration_ms):
        for name, demand in self.demands.items():
            fleet.load(name, demand, duration_ms)

    def assert_within_bounds(self, fleet):
        for name in fleet.by_name:
            self.assertLessEqual(
                fleet.worst_window(name), fleet.bound(name), name
            )

    def assert_all_decided(self, fleet):
        """A request without a decision would wait until its deadline."""
        self.assertEqual({}, fleet.requests)

    def report(self, fleet, label, duration_ms):
        """Print what an operator would ask for."""
        shares = {
            size: fleet.refused_share(
                [name for name in fleet.by_name if name.startswith(size)]
            )
            for size in ('small', 'middle', 'large', 'hot')
        }
        waits_ms = sorted(fleet.waits_ms)
        spans = len(fleet.hosts) * duration_ms / 1000
        fullest = max(
            fleet.worst_window(name) / fleet.bound(name)
            for name in fleet.by_name
        )
        print(
            f'{label}: refused below the limit',
            {size: f'{share:.3%}' for size, share in shares.items()},
            f'messages/host/s {fleet.sent["messages"] / spans:.1f}',
            f'bytes/host/s {fleet.sent["bytes"] / spans:.0f}',
            f'wait p50 {waits_ms[len(waits_ms) // 2]} ms',
            f'p99 {waits_ms[len(waits_ms) * 99 // 100]} ms',
            f'fullest window {fullest:.2f} of the bound',
        )
        return shares

    def test_calm_fleet_refuses_nothing_below_the_limit(self):
        """113 hosts see a small workspace once in many seconds each."""
        fleet = self.fleet(113, 80, seed=1)
        self.load_all(fleet, 15_000)
        fleet.run(16_000)
        shares = self.report(fleet, 'calm', 18_000)
        self.assert_all_decided(fleet)
        self.assert_within_bounds(fleet)
        for share in shares.values():
            self.assertLessEqual(share, MAX_REFUSED_IN_CALM)

    def test_hot_workspace_is_held_to_its_limit(self):
        """One sends eight times its usual, through all hosts."""
        fleet = self.fleet(113, 24, seed=2, network=Network(flush_ms=10.0))
        hot = workspace('hot', 21.0)
        fleet.by_name['hot'] = hot
        fleet.workspaces.append(hot)
        for host in fleet.hosts:
            host.keeper.set_workspaces(fleet.workspaces)
        self.load_all(fleet, 15_000)
        fleet.load('hot', 8 * 21.0, 15_000)
        fleet.run(16_000)
        shares = self.report(fleet, 'hot', 18_000)
        self.assert_all_decided(fleet)
        self.assert_within_bounds(fleet)
        self.assertGreater(len(fleet.refused['hot']), 1_000)
        for share in shares.values():
            self.assertLessEqual(share, 0.01)

    def test_quotas_hold_through_restarts_cuts_and_losses(self):
        """Hosts restart by tens, join, die, freeze and are cut off."""
        for seed, demand in SEEDS.items():
            with self.subTest(seed=seed):
                fleet = self.fleet(HOSTS, WORKSPACES, seed, network=FAULTY)
                for name, usual in self.demands.items():
                    fleet.load(name, demand * usual, FAULTS_MS)
                Faults(fleet).schedule(FAULTS_MS)
                fleet.run(FAULTS_MS + 2_000)
                self.report(
                    fleet, f'faults, {demand} x, seed {seed}', FAULTS_MS
                )
                self.assert_within_bounds(fleet)

    def test_quotas_hold_without_slack(self):
        """A host that joins lends while the one before it still does."""
        bounds = dataclasses.replace(BOUNDS, quota_slack=0.0)
        fleet = self.fleet(
            HOSTS, WORKSPACES, 708, network=FAULTY, bounds=bounds
        )
        for name, usual in self.demands.items():
            fleet.load(name, 4 * usual, FAULTS_MS)
        Faults(fleet).schedule(FAULTS_MS)
        fleet.run(FAULTS_MS + 2_000)
        self.assert_within_bounds(fleet)

    def hot_fleet(self, seed, duration_ms=20_000):
        """Return a fleet whose workspaces all send too much."""
        fleet = self.fleet(HOSTS, WORKSPACES, seed)
        for name, demand in self.demands.items():
            fleet.load(name, 4 * demand, duration_ms)
        fleet.run(3_000)
        return fleet

    def test_quotas_hold_in_a_split_that_lasts(self):
        """Each side has hosts that think they lend."""
        for cut_off in (10, 20, 30):
            with self.subTest(cut_off=cut_off):
                fleet = self.hot_fleet(seed=cut_off)
                fleet.cut(fleet.hosts[:cut_off], 12_000)
                fleet.run(17_000)
                self.report(fleet, f'split, {cut_off} of {HOSTS}', 22_000)
                self.assert_within_bounds(fleet)

    def test_quotas_hold_while_a_lender_and_its_stand_in_are_parted(self):
        """Both see all hosts in the store, and each reaches half of them."""
        for seed in (10, 20):
            with self.subTest(seed=seed):
                fleet = self.hot_fleet(seed)
                fleet.cut(fleet.hosts[::2], 12_000, has_store=True)
                fleet.run(17_000)
                self.report(fleet, 'parted', 22_000)
                self.assert_within_bounds(fleet)

    def test_quotas_hold_in_a_split_while_the_store_is_away(self):
        """No view tells which side is the larger one."""
        for cut_off in (10, 20):
            with self.subTest(cut_off=cut_off):
                fleet = self.hot_fleet(seed=cut_off)
                fleet.is_store_up = False
                fleet.run(2_000)
                fleet.cut(fleet.hosts[:cut_off], 10_000)
                fleet.run(15_000)
                self.report(fleet, f'no store, {cut_off} cut off', 22_000)
                self.assert_within_bounds(fleet)

    def test_quotas_hold_while_each_lender_dies_in_turn(self):
        """The next lender cannot know what is out."""
        fleet = self.hot_fleet(seed=6)
        faults = Faults(fleet)
        for _ in range(30):
            faults.kill_a_lender()
            fleet.run(500)
        self.report(fleet, 'lenders die', 20_000)
        fleet.run(3_000)
        self.assert_all_decided(fleet)
        self.assert_within_bounds(fleet)

    def test_outage_of_the_store_refuses_nothing_below_the_limit(self):
        fleet = self.fleet(HOSTS, WORKSPACES, seed=7)
        fleet.is_store_up = False
        self.load_all(fleet, 15_000)
        fleet.run(16_000)
        for share in self.report(fleet, 'store away', 18_000).values():
            self.assertLessEqual(share, MAX_REFUSED_IN_CALM)

    def test_quota_first_used_during_an_outage_of_the_store_is_lent(self):
        """A lender without a bucket did not find out whom it reaches."""
        fleet = self.fleet(HOSTS, WORKSPACES, seed=7)
        fleet.is_store_up = False
        fleet.run(5_000)
        self.load_all(fleet, 10_000)
        fleet.run(11_000)
        self.assert_all_decided(fleet)
        self.assert_within_bounds(fleet)
        for share in self.report(fleet, 'first use', 18_000).values():
            self.assertLessEqual(share, MAX_REFUSED_IN_CALM)

    def test_return_of_the_store_refuses_little(self):
        """Lenders cannot tell an outage of the store from a cut."""
        fleet = self.fleet(HOSTS, WORKSPACES, seed=7)
        fleet.is_store_up = False
        self.load_all(fleet, 15_000)
        fleet.run(8_000)
        fleet.is_store_up = True
        fleet.run(8_000)
        self.report(fleet, 'store back', 18_000)
        self.assert_within_bounds(fleet)
        self.assert_all_decided(fleet)

    def test_lower_limit_binds_and_a_higher_one_is_usable(self):
        """Hosts learn of the configuration at different times."""
        fleet = self.fleet(HOSTS, WORKSPACES, seed=8)
        name, demand = 'large-1', self.demands['large-1']
        for rate_per_s in (10.0, 60.0):
            with self.subTest(rate_per_s=rate_per_s):
                changed = workspace(name, rate_per_s, quota_share=1.0)
                fleet.by_name[name] = changed
                for host in fleet.hosts:
                    fleet.after(
                        fleet.rng.uniform(0, CONFIG_APPLY_MS),
                        lambda host=host: host.keeper.set_workspaces(
                            tuple(fleet.by_name.values())
                        ),
                    )
                fleet.load(name, 100.0, 14_000)
                fleet.run(CONFIG_APPLY_MS)
                fleet.used[name].clear()
                if rate_per_s < demand:
                    # What ran under the higher limit still counts.
                    fleet.run(WINDOW_MS)
                before = len(fleet.used[name])
                fleet.run(WINDOW_MS)
                self.assert_within_bounds(fleet)
                passed = len(fleet.used[name]) - before
                self.assertGreater(
                    passed, 0.95 * rate_per_s * WINDOW_MS / 1_000
                )

    def test_nothing_is_sent_or_kept_without_quotas(self):
        """Earlier deployments must cost what they did."""
        unlimited = workspace_model.Workspace('w', (), 3, None)
        fleet = Fleet(3, [unlimited], seed=9)
        fleet.run(5_000)
        for host in fleet.hosts:
            now_ms = fleet.clock.now_ms()
            self.assertIsNone(host.keeper.request(1, unlimited, now_ms))
            self.assertIsNone(host.keeper.next_event_at_ms())
            self.assertEqual({}, host.keeper.metrics())
        self.assertFalse(fleet.sent)
