"""Actor that holds what an entry host knows of the fleet."""

import collections
import logging
import random
from typing import Any

from cardamomdeal.balancing import outcomes
from cardamomdeal.channels import datagrams
from cardamomdeal.entry import knowledge
from cardamomdeal.entry import messages
from cardamomdeal.fleet import freshness
from cardamomdeal.fleet import model
from cardamomdeal.fleet import store_readers
from cardamomdeal.fleet import view_transfer
from cardamomdeal.internal import actor
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.internal import ticker
from cardamomdeal.platform import store
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model as settings_model

TICK_MS = 300
# A host that cannot read the store asks another for its view this often.
VIEW_REQUEST_MS = 900
# Pauses between failed calls: short for the hosts that read for all, long
# for the others, which would only add to the load of a store in trouble.
READER_RETRY_MS = 400
OTHER_RETRY_MS = 1_500
# Changes kept for hosts that missed a datagram.
KEPT_CHANGES = 200
# Names of addresses in one answer, at most: the callers' own bound.
MAX_ADDRESSES = 64
# Below this many hosts in a data centre its callers get others as well.
MIN_LOCAL_HOSTS = 3
KEEP_FOR_MS = 2_000

log = logging.getLogger(__name__)


class Core(actor.Actor):
    """Own the view of the store, the peers and the datagram channel."""

    def __init__(
        self,
        settings: settings_model.EntrySettings,
        host: model.EntryHost,
        time: clock.Clock,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._host = host
        self._time = time
        self._random = random.Random()
        self._knowledge = knowledge.Knowledge()
        self._readers = store_readers.StoreReaders(settings.name)
        self._changes: collections.deque[protocol.StoreEntry] = (
            collections.deque(maxlen=KEPT_CHANGES)
        )
        # Changes after this revision are all in the queue above.
        self._changes_after = 0
        self._freshness = freshness.Freshness()
        self._store_away = False
        self._asked_at_ms = 0
        # The store is given time to answer first.
        self._asked_view_at_ms = time.now_ms()
        self._views: view_transfer.ViewAssembler[protocol.StoreEntry] = (
            view_transfer.ViewAssembler()
        )
        self._stopping = False
        self._tasks: messages.TasksStarted | None = None
        self._reading = False
        self._datagrams = datagrams.DatagramTask(
            self.actor_ref, settings.peers
        )

    def on_start(self) -> None:
        """Start the channel and the ticks."""
        self._datagrams.start()
        self._ticker = ticker.Ticker(self.actor_ref, messages.Tick(), TICK_MS)
        self._ticker.start()

    def on_stop(self) -> None:
        """Stop the ticks and close the channel."""
        self._ticker.stop()
        self._datagrams.command(datagrams.Stop())

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.Tick():
                self._tick()
            case datagrams.Arrived(sender, received):
                self._take(sender, received)
            case messages.StoreRead():
                self._take_read(message)
            case messages.StoreChanged(after_revision, events, revision):
                self._take_changes(after_revision, events, revision)
            case messages.StoreFailed(reason):
                self._note_store_failed(reason)
            case messages.SawFailure():
                self._warn_peers(message)
            case messages.SawLoad():
                self._share_load(message)
            case messages.SawRecovery((server_id, born_ms)):
                self._tell_peers(
                    protocol.ServerRecovered(
                        self._settings.name, server_id, born_ms
                    )
                )
            case messages.FindAddresses(data_centre):
                return self._find_addresses(data_centre)
            case messages.IsReady():
                return self._is_ready()
            case messages.TasksStarted():
                self._tasks = message
                self._choose_reading()
            case messages.SettingsInForce(settings):
                self._settings = settings
            case messages.StopSoon():
                self._stopping = True
        return None

    def _tick(self) -> None:
        now_ms = self._time.now_ms()
        if self._knowledge.expire(now_ms):
            self._publish()
        self._choose_reading()
        if self._freshness.is_stale(now_ms):
            self._ask_view(now_ms)
        if self._reading and self._freshness.was_confirmed:
            self._tell_progress()

    def _choose_reading(self) -> None:
        """Watch the store if this host is a reader or lacks one."""
        if self._tasks is None:
            return
        now_ms = self._time.now_ms()
        reads = self._readers.is_reader(
            now_ms
        ) or self._freshness.needs_store_read(now_ms)
        if reads != self._reading:
            self._reading = reads
            log.info(
                'store reading changed',
                extra={'reads': reads, 'view_age_ms': self._age_ms()},
            )
        retry_ms = OTHER_RETRY_MS
        if self._readers.is_preferred_reader() or not self._is_ready():
            retry_ms = READER_RETRY_MS
        self._tasks.follower.tell(messages.FollowStore(reads, retry_ms))

    def _age_ms(self) -> int:
        return self._freshness.age_ms(self._time.now_ms())

    def _tell_progress(self) -> None:
        self._tell_peers(
            protocol.StoreProgress(
                self._settings.name, self._knowledge.revision, self._age_ms()
            )
        )

    def _take(
        self, sender: address.Address, received: protocol.AnyMessage
    ) -> None:
        now_ms = self._time.now_ms()
        match received:
            case protocol.StoreProgress(host, revision, age_ms):
                self._readers.record_report(host, age_ms, now_ms)
                self._take_progress(sender, revision, age_ms, now_ms)
            case protocol.StoreChanges(_, after_revision, revision, entries):
                events = tuple(_event(entry) for entry in entries)
                if after_revision <= self._knowledge.revision:
                    self._apply(events, revision)
                else:
                    self._ask_changes(sender, now_ms)
            case protocol.StoreChangesRequest(_, after_revision):
                self._send_changes(sender, after_revision)
            case protocol.ViewRequest(_, age_ms):
                self._send_view(sender, age_ms)
            case protocol.ViewPart():
                self._take_view_part(received, now_ms)
            case protocol.ServerLoad():
                self._take_load(received)
            case protocol.ServerFailed():
                self._take_warning(received)
            case protocol.ServerRecovered(host, server_id, born_ms):
                if self._tasks is not None:
                    self._tasks.dispatcher.tell(
                        messages.PeerSawRecovery((server_id, born_ms), host)
                    )
            case _:
                log.warning(
                    'unexpected message',
                    extra={'kind': type(received).__name__},
                )

    def _take_progress(
        self,
        sender: address.Address,
        revision: int,
        age_ms: int,
        now_ms: int,
    ) -> None:
        if self._knowledge.is_empty:
            return
        if revision > self._knowledge.revision:
            self._freshness.record_missing_changes(now_ms)
            self._ask_changes(sender, now_ms)
        elif revision == self._knowledge.revision:
            self._freshness.confirm(now_ms - age_ms)

    def _ask_changes(self, sender: address.Address, now_ms: int) -> None:
        if self._knowledge.is_empty or self._asked_at_ms == now_ms:
            return
        self._asked_at_ms = now_ms
        self._datagrams.command(
            datagrams.SendTo(
                (sender,),
                protocol.StoreChangesRequest(
                    self._settings.name, self._knowledge.revision
                ),
            )
        )

    def _send_changes(self, to: address.Address, after_revision: int) -> None:
        if after_revision < self._changes_after:
            return
        entries = tuple(
            entry for entry in self._changes if entry.revision > after_revision
        )
        self._datagrams.command(
            datagrams.SendTo(
                (to,),
                protocol.StoreChanges(
                    self._settings.name,
                    after_revision,
                    self._knowledge.revision,
                    entries,
                ),
            )
        )

    def _ask_view(self, now_ms: int) -> None:
        """Ask one host for its view, in case the store does not answer."""
        if now_ms - self._asked_view_at_ms < VIEW_REQUEST_MS:
            return
        self._asked_view_at_ms = now_ms
        known = [
            host.peers
            for host in self._knowledge.hosts()
            if host.name != self._settings.name
        ]
        seeds = [s for s in self._settings.seeds if s != self._settings.peers]
        # Seeds may be gone; hosts that were known may be as well.
        asked = [self._random.choice(some) for some in (known, seeds) if some]
        self._datagrams.command(
            datagrams.SendTo(
                tuple(asked),
                protocol.ViewRequest(
                    self._settings.name, self._freshness.known_age_ms(now_ms)
                ),
            )
        )

    def _send_view(
        self, to: address.Address, known_age_ms: int | None
    ) -> None:
        if not self._knowledge.is_complete:
            return
        if not view_transfer.is_worth_sending(self._age_ms(), known_age_ms):
            return
        items = self._knowledge.items()
        parts = view_transfer.split(
            [_entry(item) for item in items],
            [len(item.key) + len(item.value) for item in items],
        )
        for number, entries in enumerate(parts):
            part = protocol.ViewPart(
                self._settings.name,
                self._knowledge.revision,
                self._age_ms(),
                number,
                len(parts),
                entries,
            )
            self._datagrams.command(datagrams.SendTo((to,), part))

    def _take_view_part(self, part: protocol.ViewPart, now_ms: int) -> None:
        if not self._freshness.is_stale(now_ms):
            # The store answered meanwhile.
            return
        entries = self._views.add_part(
            view_transfer.ViewId(part.host, part.revision),
            part.number,
            part.count,
            part.entries,
            now_ms,
        )
        if entries is None or part.revision < self._knowledge.revision:
            return
        items = tuple(
            event
            for event in map(_event, entries)
            if isinstance(event, store.Item)
        )
        log.info(
            'view taken over',
            extra={
                'from': part.host,
                'revision': part.revision,
                'age_ms': part.age_ms,
            },
        )
        self._take_view(items, part.revision, now_ms - part.age_ms)
        if self._tasks is not None:
            self._tasks.follower.tell(messages.SetRevision(part.revision))

    def _take_read(self, read: messages.StoreRead) -> None:
        now_ms = self._time.now_ms()
        self._note_store_answered(now_ms)
        self._take_view(read.items, read.revision, now_ms)

    def _take_view(
        self, items: tuple[store.Item, ...], revision: int, at_ms: int
    ) -> None:
        """Take over a whole view of the store as it was at a time."""
        self._knowledge.replace(items, revision, self._time.now_ms())
        self._changes.clear()
        self._changes_after = self._knowledge.revision
        self._freshness.clear_missing_changes()
        self._freshness.confirm(at_ms)
        self._publish()

    def _take_changes(
        self,
        after_revision: int,
        events: tuple[store.Event, ...],
        revision: int,
    ) -> None:
        now_ms = self._time.now_ms()
        self._note_store_answered(now_ms)
        known = self._knowledge.revision
        if after_revision > known:
            log.warning(
                'store changes skip ahead',
                extra={'known': known, 'after': after_revision},
            )
            return
        if self._apply(events, revision):
            self._tell_peers(
                protocol.StoreChanges(
                    self._settings.name,
                    after_revision,
                    revision,
                    tuple(_entry(event) for event in events),
                )
            )
        self._freshness.confirm(now_ms)

    def _apply(self, events: tuple[store.Event, ...], revision: int) -> bool:
        """Take over changes; return whether there was any news."""
        if self._knowledge.is_empty or revision <= self._knowledge.revision:
            return False
        known = self._knowledge.revision
        now_ms = self._time.now_ms()
        fresh = [event for event in events if event.revision > known]
        for event in fresh:
            self._knowledge.apply(event, now_ms)
        if len(self._changes) + len(fresh) > KEPT_CHANGES:
            dropped = list(self._changes)[: len(fresh)]
            self._changes_after = max(
                [self._changes_after, *(d.revision for d in dropped)]
            )
        self._changes.extend(_entry(event) for event in fresh)
        self._knowledge.revision = revision
        self._freshness.clear_missing_changes()
        if self._tasks is not None:
            self._tasks.follower.tell(messages.SetRevision(revision))
        if fresh:
            self._publish()
        return bool(fresh)

    def _note_store_failed(self, reason: str) -> None:
        if not self._store_away:
            self._store_away = True
            log.warning(
                'store lost',
                extra={'reason': reason, 'view_age_ms': self._age_ms()},
            )

    def _note_store_answered(self, now_ms: int) -> None:
        if self._store_away or self._freshness.is_stale(now_ms):
            self._store_away = False
            self._knowledge.note_store_returned(now_ms)
            log.info('store regained', extra={'view_age_ms': self._age_ms()})

    def _publish(self) -> None:
        """Hand what is new to the other tasks."""
        hosts = self._knowledge.hosts()
        self._readers.set_hosts(host.name for host in hosts)
        if self._tasks is None:
            return
        table = self._knowledge.take_new_routes()
        if table is not None:
            log.info(
                'configuration in force',
                extra={
                    'version': table.version,
                    'revision': self._knowledge.revision,
                },
            )
            self._tasks.dispatcher.tell(messages.RoutesInForce(table))
            self._tasks.callers.use_limits(table.limits)
        self._tasks.dispatcher.tell(
            messages.ServersInForce(
                self._knowledge.servers(), max(1, len(hosts))
            )
        )
        if self._stopping:
            return
        if self._is_ready():
            self._tasks.registrar.tell(messages.Register())
        if self._knowledge.lost_host(self._settings.name):
            self._tasks.registrar.tell(messages.RegistrationLost())

    def _is_ready(self) -> bool:
        return self._knowledge.is_complete and not self._stopping

    def _find_addresses(self, data_centre: str) -> messages.Addresses:
        hosts = list(self._knowledge.hosts())
        if self._is_ready() and all(
            host.name != self._settings.name for host in hosts
        ):
            hosts.append(self._host)
        if self._stopping and len(hosts) > 1:
            hosts = [h for h in hosts if h.name != self._settings.name]
        near = [h.callers for h in hosts if h.data_centre == data_centre]
        if len(near) < MIN_LOCAL_HOSTS:
            near = [h.callers for h in hosts]
        self._random.shuffle(near)
        return messages.Addresses(
            tuple(near[:MAX_ADDRESSES]),
            min(KEEP_FOR_MS, self._settings.bounds.max_keep_for_ms),
        )

    def _warn_peers(self, saw: messages.SawFailure) -> None:
        server_id, born_ms = saw.server
        self._tell_peers(
            protocol.ServerFailed(
                self._settings.name,
                server_id,
                born_ms,
                saw.reason,
                saw.symptom.value,
                saw.requests,
            )
        )

    def _take_warning(self, warning: protocol.ServerFailed) -> None:
        if self._tasks is not None:
            self._tasks.dispatcher.tell(
                messages.PeerSawFailure(
                    (warning.server_id, warning.born_ms),
                    warning.host,
                    warning.reason,
                    outcomes.Symptom(warning.symptom),
                    warning.requests,
                )
            )

    def _share_load(self, saw: messages.SawLoad) -> None:
        server_id, born_ms = saw.server
        load = saw.load
        # Between data centres the bytes cost more than they are worth,
        # except to keep work from a server that has no free slot.
        is_full = load.running + load.waiting >= load.slots
        near = self._settings.place.data_centre
        self._tell_peers(
            protocol.ServerLoad(
                server_id, born_ms, load.running, load.waiting, load.slots
            ),
            data_centre=None if is_full else near,
        )

    def _take_load(self, told: protocol.ServerLoad) -> None:
        if self._tasks is not None:
            self._tasks.dispatcher.tell(
                messages.PeerSawLoad(
                    (told.server_id, told.born_ms),
                    outcomes.Load(told.running, told.waiting, told.slots),
                )
            )

    def _tell_peers(
        self, message: protocol.AnyMessage, data_centre: str | None = None
    ) -> None:
        """Send to all other hosts, or to those of one data centre."""
        peers = tuple(
            host.peers
            for host in self._knowledge.hosts()
            if host.name != self._settings.name
            and data_centre in (None, host.data_centre)
        )
        if peers:
            self._datagrams.command(datagrams.SendTo(peers, message))


def _entry(event: store.Event) -> protocol.StoreEntry:
    match event:
        case store.Item(key, value, revision):
            return protocol.StoreEntry(key, value, revision)
        case store.Removal(key, revision):
            return protocol.StoreEntry(key, None, revision)


def _event(entry: protocol.StoreEntry) -> store.Event:
    if entry.value is None:
        return store.Removal(entry.key, entry.revision)
    return store.Item(entry.key, entry.value, entry.revision)
