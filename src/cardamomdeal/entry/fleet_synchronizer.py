"""Actor that keeps an entry host's fleet state in sync with the store."""

import logging
import random
from typing import Any

from cardamomdeal.channels import datagrams
from cardamomdeal.entry import fleet_state
from cardamomdeal.entry import messages
from cardamomdeal.entry import proof_keeper
from cardamomdeal.entry import report_exchange
from cardamomdeal.entry import value_exchange
from cardamomdeal.fleet import freshness
from cardamomdeal.fleet import model
from cardamomdeal.fleet import peers
from cardamomdeal.fleet import recent_changes
from cardamomdeal.fleet import revisions
from cardamomdeal.fleet import store_readers
from cardamomdeal.fleet import view_transfer
from cardamomdeal.internal import actor
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.internal import scheduler
from cardamomdeal.platform import store
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model as settings_model

TICK_INTERVAL_MS = 300
# Interval between requests for another host's view while the store cannot
# be read.
VIEW_REQUEST_INTERVAL_MS = 900
# Delays after failed store calls: short for the hosts that read on behalf of
# all, long for the others, which would only add load to a failing store.
READER_RETRY_DELAY_MS = 400
NON_READER_RETRY_DELAY_MS = 1_500
# In a longer outage, the readers tell the others when the store responds.
NON_READER_MAX_RETRY_DELAY_MS = 3_000
# Minimum times between the starts of two store calls. Without them, when many
# hosts start at once, each entry written would end a watch of every host.
READER_CALL_INTERVAL_MS = 150
NON_READER_CALL_INTERVAL_MS = 600
# A host that has just read the store hears from the readers meanwhile.
STARTING_MS = 1_200
STARTING_CALL_INTERVAL_MS = 900
# Maximum number of addresses in one response; callers accept no more.
MAX_ADDRESSES = 64
# With fewer hosts than this in a data centre, its callers also get the
# addresses of hosts elsewhere.
MIN_LOCAL_HOSTS = 3
ADDRESS_KEEP_FOR_MS = 2_000
# The directory has fewer threads.
MAX_AWAITED_ADDRESSES = 32

log = logging.getLogger(__name__)


class FleetSynchronizer(actor.Actor):
    """Actor that owns the fleet state and exchanges it with other hosts."""

    def __init__(
        self,
        settings: settings_model.EntrySettings,
        host: model.EntryHost,
        time: clock.Clock,
        timers: scheduler.Scheduler,
    ) -> None:
        super().__init__()
        self._timers = timers
        self._settings = settings
        self._host = host
        self._time = time
        self._started_at_ms = time.now_ms()
        self._rng = random.Random()
        self._state = fleet_state.FleetState(settings.heartbeat_ms)
        self._store_readers = store_readers.StoreReaders(
            settings.name, self._started_at_ms
        )
        self._peers = peers.Peers(settings.name)
        self._reports = report_exchange.ReportExchange(host, self._rng)
        self._proofs = proof_keeper.ProofKeeper(
            settings, host, self._state, self._rng
        )
        self._values = value_exchange.ValueExchange(settings.name, self._rng)
        self._is_flush_scheduled = False
        self._hosts: tuple[model.EntryHost, ...] = ()
        self._last_update: messages.ServersUpdated | None = None
        self._recent_changes: recent_changes.RecentChanges[
            protocol.StoreEntry
        ] = recent_changes.RecentChanges()
        self._freshness = freshness.Freshness(settings.heartbeat_ms)
        self._is_store_unavailable = False
        self._changes_requested_at_ms = 0
        # Delays the first request, to give the store time to respond.
        self._view_requested_at_ms = time.now_ms()
        self._view_assembler: view_transfer.ViewAssembler[
            protocol.StoreEntry
        ] = view_transfer.ViewAssembler()
        self._is_stopping = False
        self._awaited_addresses: list[messages.AwaitAddresses] = []
        self._tasks: messages.TasksStarted | None = None
        self._is_reading = False
        self._datagrams = datagrams.DatagramTask(
            self.actor_ref, settings.peers, settings.link_mbps
        )

    def on_start(self) -> None:
        """Start the datagram channel and schedule the ticks."""
        self._datagrams.start()
        self._timers.every(self.actor_ref, messages.Tick(), TICK_INTERVAL_MS)

    def on_stop(self) -> None:
        """Close the datagram channel."""
        self._datagrams.command(datagrams.Stop())

    @property
    def is_reading(self) -> bool:
        """Return whether this host reads the store itself."""
        return self._is_reading

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.Tick():
                self._tick()
            case datagrams.Arrived(sender, received):
                self._handle_datagram(sender, received)
            case messages.StoreSnapshot():
                self._handle_store_snapshot(message)
            case messages.StoreChanged():
                self._handle_store_changes(message)
            case messages.StoreFailed(reason):
                self._record_store_failure(reason)
            case (
                messages.FailureObserved()
                | messages.RefusalObserved()
                | messages.LoadObserved()
                | messages.RecoveryObserved()
                | messages.LeavingObserved()
            ):
                self._send_report(message)
            case messages.SendDatagrams(sends):
                self._send_all(list(sends))
            case messages.FlushReports():
                self._is_flush_scheduled = False
                self._pass_on_reports()
            case messages.FindAddresses(data_centre):
                return self._find_addresses(data_centre)
            case messages.AwaitAddresses():
                self._awaited_addresses.append(message)
                self._deliver_addresses()
            case messages.IsReady():
                return self._is_ready()
            case messages.TasksStarted():
                self._tasks = message
                self._update_store_reading()
            case messages.SettingsUpdated(settings):
                self._settings = settings
                self._proofs.set_settings(settings)
            case messages.PrepareStop():
                self._is_stopping = True
        return None

    def _tick(self) -> None:
        now_ms = self._time.now_ms()
        if self._state.expire(now_ms):
            self._send_updates()
        self._update_store_reading()
        self._ask_for_proof(now_ms)
        self._send_hosts()
        if self._freshness.is_stale(now_ms):
            self._request_view(now_ms)
        if self._is_reading and self._freshness.was_confirmed:
            self._send_progress()
        self._send_all(self._values.repeat_lost(now_ms))
        self._send_all(self._reports.heartbeat(self._local_peers(), now_ms))

    def _update_store_reading(self) -> None:
        """Watch the store if this host is a reader or its view is too old."""
        if self._tasks is None:
            return
        now_ms = self._time.now_ms()
        should_read = self._store_readers.is_reader(
            now_ms
        ) or self._freshness.needs_store_read(now_ms)
        wants_answer = self._proofs.wants_store_answer(now_ms)
        should_read = should_read or wants_answer
        if should_read != self._is_reading:
            self._is_reading = should_read
            log.info(
                'store reading changed',
                extra={
                    'reads': should_read,
                    'view_age_ms': self._view_age_ms(),
                },
            )
        retry_delay_ms = NON_READER_RETRY_DELAY_MS
        max_retry_delay_ms = NON_READER_MAX_RETRY_DELAY_MS
        if self._freshness.lacks_changes:
            # The store serves other hosts, so it may serve this one.
            max_retry_delay_ms = NON_READER_RETRY_DELAY_MS
        if self._store_readers.is_preferred_reader() or not self._is_ready():
            retry_delay_ms = max_retry_delay_ms = READER_RETRY_DELAY_MS
        self._tasks.follower.tell(
            messages.FollowStore(
                should_read,
                retry_delay_ms,
                self._call_interval_ms(now_ms),
                max_retry_delay_ms,
                wants_answer,
            )
        )

    def _call_interval_ms(self, now_ms: int) -> int:
        # A host without a configuration waits for nothing else.
        if (
            self._store_readers.is_settled_reader(now_ms)
            or not self._state.is_complete
        ):
            return READER_CALL_INTERVAL_MS
        is_starting = now_ms - self._started_at_ms < STARTING_MS
        if is_starting and not self._store_readers.is_preferred_reader():
            return STARTING_CALL_INTERVAL_MS
        return NON_READER_CALL_INTERVAL_MS

    def _view_age_ms(self) -> int:
        return self._freshness.age_ms(self._time.now_ms())

    def _send_progress(self) -> None:
        self._send_to_peers(
            protocol.StoreProgress(
                self._settings.name, self._state.revision, self._view_age_ms()
            )
        )

    def _handle_datagram(
        self, sender: address.Address, received: protocol.AnyMessage
    ) -> None:
        now_ms = self._time.now_ms()
        self._peers.record_heard(sender, now_ms)
        self._reports.record_received(now_ms)
        match received:
            case protocol.StoreProgress(host, revision, age_ms):
                self._store_readers.record_report(host, age_ms, now_ms)
                self._handle_progress(sender, revision, age_ms, now_ms)
            case protocol.StoreChanges():
                self._handle_peer_changes(sender, received, now_ms)
            case protocol.StoreChangesRequest(_, after_revision):
                self._answer_changes_request(sender, after_revision)
            case protocol.ViewRequest(_, revision, age_ms):
                self._answer_view_request(sender, revision, age_ms)
            case protocol.ViewPart():
                self._handle_view_part(received, now_ms)
            case protocol.Outline():
                self._handle_outline(sender, received, now_ms)
            case protocol.FragmentRequest():
                self._send_all(
                    self._values.answer(sender, received, self._state.items())
                )
            case protocol.Fragment():
                self._send_all(self._values.receive(sender, received, now_ms))
                self._handle_whole_parts(now_ms)
            case protocol.ProofRequest():
                self._send_all(self._proofs.answer(sender, received, now_ms))
            case protocol.ProofReply():
                self._proofs.record_reply(received)
                self._send_proof()
            case protocol.ServerReports():
                self._receive_reports(received)
            case (
                protocol.QuotaQuestions()
                | protocol.QuotaAnswers()
                | protocol.LendingRequest()
                | protocol.LendingConsent()
            ):
                if self._tasks is not None:
                    self._tasks.dispatcher.tell(
                        messages.QuotaDatagram(sender, received)
                    )
            case _:
                log.warning(
                    'unexpected datagram ignored',
                    extra={'kind': type(received).__name__},
                )

    def _handle_progress(
        self,
        sender: address.Address,
        revision: int,
        age_ms: int,
        now_ms: int,
    ) -> None:
        if self._state.is_empty:
            # This host restarted while the store does not serve it.
            self._request_view(now_ms, sender)
        elif revisions.is_restored(self._state.revision, revision):
            self._state.hear_of(revision, now_ms)
            self._freshness.record_restore()
            self._update_store_reading()
        elif revision > self._state.revision:
            self._record_missing_changes(now_ms)
            self._request_changes(sender, now_ms)
        elif revision == self._state.revision:
            self._end_outage(now_ms)
            self._freshness.confirm(now_ms - age_ms)

    def _record_missing_changes(self, now_ms: int) -> None:
        if not self._freshness.lacks_changes:
            self._freshness.record_missing_changes(now_ms)
            self._update_store_reading()

    def _handle_peer_changes(
        self,
        sender: address.Address,
        changes: protocol.StoreChanges,
        now_ms: int,
    ) -> None:
        if changes.after_revision > self._state.revision:
            self._request_changes(sender, now_ms)
            return
        self._end_outage(now_ms)
        events = tuple(_to_event(entry) for entry in changes.entries)
        self._apply_changes(events, changes.revision)
        if changes.revision == self._state.revision:
            self._freshness.confirm(now_ms - changes.age_ms)

    def _handle_outline(
        self,
        sender: address.Address,
        outline: protocol.Outline,
        now_ms: int,
    ) -> None:
        """Request what an outline lacks if the store serves nothing."""
        match outline.message:
            case protocol.StoreChanges(_, after_revision, revision):
                if self._state.is_empty or revision <= self._state.revision:
                    return
                self._record_missing_changes(now_ms)
                if after_revision > self._state.revision:
                    self._request_changes(sender, now_ms)
                    return
            case protocol.ViewPart(_, revision):
                is_older = revision < self._state.revision
                if is_older or not self._freshness.is_stale(now_ms):
                    return
        if self._freshness.is_turned_away(now_ms):
            self._send_all(self._values.expect(sender, outline, now_ms))
            self._handle_whole_parts(now_ms)

    def _handle_whole_parts(self, now_ms: int) -> None:
        for received in self._values.pop_whole(now_ms):
            match received.part:
                case protocol.StoreChanges() as changes:
                    self._handle_peer_changes(received.sender, changes, now_ms)
                    # More may have changed meanwhile.
                    self._request_changes(received.sender, now_ms)
                case protocol.ViewPart() as part:
                    self._handle_view_part(part, now_ms)

    def _request_changes(self, sender: address.Address, now_ms: int) -> None:
        if self._state.is_empty or self._changes_requested_at_ms == now_ms:
            return
        self._changes_requested_at_ms = now_ms
        self._datagrams.command(
            datagrams.SendTo(
                (sender,),
                protocol.StoreChangesRequest(
                    self._settings.name, self._state.revision
                ),
            )
        )

    def _answer_changes_request(
        self, recipient: address.Address, after_revision: int
    ) -> None:
        entries = self._recent_changes.since(after_revision)
        # A host that has missed more changes requests a view.
        if entries is not None:
            self._send_changes(recipient, entries, after_revision)

    def _send_changes(
        self,
        recipient: address.Address,
        entries: list[protocol.StoreEntry],
        after_revision: int,
    ) -> None:
        for message in self._split_changes(
            entries, after_revision, self._state.revision
        ):
            self._datagrams.command(datagrams.SendTo((recipient,), message))

    def _split_changes(
        self,
        entries: list[protocol.StoreEntry],
        after_revision: int,
        revision: int,
    ) -> list[protocol.StoreChanges | protocol.Outline]:
        """Split changes into messages; end with the first outline.

        Its receivers cannot apply later changes before they have its values.
        """
        parts = view_transfer.split_changes(
            entries,
            [_size_bytes(entry) for entry in entries],
            after_revision,
            revision,
        )
        split: list[protocol.StoreChanges | protocol.Outline] = []
        for part in parts:
            message = self._values.outline(
                protocol.StoreChanges(
                    self._settings.name,
                    part.after_revision,
                    part.revision,
                    self._view_age_ms(),
                    part.entries,
                )
            )
            split.append(message)
            if isinstance(message, protocol.Outline):
                break
        return split

    def _request_view(
        self, now_ms: int, known_peer: address.Address | None = None
    ) -> None:
        """Request the view of other hosts while this host's view is stale."""
        if now_ms - self._view_requested_at_ms < VIEW_REQUEST_INTERVAL_MS:
            return
        others = [
            host for host in self._hosts if host.name != self._settings.name
        ]
        preferred_readers = self._store_readers.preferred()
        seeds = [s for s in self._settings.seeds if s != self._settings.peers]
        # The readers send all further changes to a host that they hear from.
        # Another host and a seed are asked too, as none of them may exist.
        targets = [h.peers for h in others if h.name in preferred_readers]
        if others:
            targets.append(self._rng.choice(others).peers)
        if seeds:
            targets.append(self._rng.choice(seeds))
        if known_peer is not None:
            targets.append(known_peer)
        if not targets:
            return
        self._view_requested_at_ms = now_ms
        self._datagrams.command(
            datagrams.SendTo(
                tuple(targets),
                protocol.ViewRequest(
                    self._settings.name,
                    self._state.revision if self._state.is_complete else None,
                    self._freshness.known_age_ms(now_ms),
                ),
            )
        )

    def _answer_view_request(
        self,
        recipient: address.Address,
        known_revision: int | None,
        known_age_ms: int | None,
    ) -> None:
        """Send what the recipient lacks, if this host's view is newer."""
        if not self._state.is_complete:
            return
        if not view_transfer.is_worth_sending(
            self._view_age_ms(), known_age_ms
        ):
            return
        entries = None
        if known_revision is not None:
            entries = self._recent_changes.since(known_revision)
        if known_revision is None or entries is None:
            self._send_view(recipient)
        else:
            self._send_changes(recipient, entries, known_revision)

    def _send_view(self, recipient: address.Address) -> None:
        entries = [_to_entry(item) for item in self._state.items()]
        parts = view_transfer.split(
            entries, [_size_bytes(entry) for entry in entries]
        )
        log.info(
            'view sent to another host',
            extra={
                'to': str(recipient),
                'revision': self._state.revision,
                'parts': len(parts),
            },
        )
        for number, part_entries in enumerate(parts):
            part = self._values.outline(
                protocol.ViewPart(
                    self._settings.name,
                    self._state.revision,
                    self._view_age_ms(),
                    number,
                    len(parts),
                    part_entries,
                )
            )
            self._datagrams.command(datagrams.SendTo((recipient,), part))

    def _handle_view_part(self, part: protocol.ViewPart, now_ms: int) -> None:
        if not self._freshness.is_stale(now_ms):
            # The view has been confirmed since it was requested.
            return
        entries = self._view_assembler.add_part(
            view_transfer.ViewId(part.host, part.revision),
            part.number,
            part.count,
            part.entries,
            now_ms,
        )
        if entries is None or part.revision < self._state.revision:
            return
        items = tuple(
            event
            for event in map(_to_event, entries)
            if isinstance(event, store.Item)
        )
        log.info(
            'view received from another host',
            extra={
                'from': part.host,
                'revision': part.revision,
                'age_ms': part.age_ms,
            },
        )
        self._end_outage(now_ms)
        self._replace_view(items, part.revision, now_ms - part.age_ms)
        if self._tasks is not None:
            self._tasks.follower.tell(messages.SetRevision(part.revision))

    def _handle_store_snapshot(self, snapshot: messages.StoreSnapshot) -> None:
        now_ms = self._time.now_ms()
        self._record_store_response(now_ms)
        if snapshot.revision < self._state.revision:
            # Other hosts sent newer changes while the items were read.
            self._log_ignored(snapshot.revision)
            self._freshness.confirm(now_ms)
        else:
            self._adopt_snapshot(snapshot, now_ms)
        self._proofs.record_store_answer(snapshot.asked_at_ms)
        self._send_proof()

    def _adopt_snapshot(
        self, snapshot: messages.StoreSnapshot, now_ms: int
    ) -> None:
        """Replace the state, and pass on what other hosts missed as well."""
        known_revision = self._state.revision
        changes = self._state.changes_in(snapshot.items, snapshot.revision)
        self._replace_view(snapshot.items, snapshot.revision, now_ms)
        if not changes:
            return
        entries = [_to_entry(event) for event in changes]
        self._recent_changes.clear(known_revision)
        self._recent_changes.record(entries)
        self._pass_on_changes(
            entries, known_revision, snapshot.revision, now_ms
        )

    def _replace_view(
        self, items: tuple[store.Item, ...], revision: int, valid_at_ms: int
    ) -> None:
        """Replace the state by a complete view, valid at `valid_at_ms`."""
        self._state.replace(items, revision, self._time.now_ms())
        self._recent_changes.clear(self._state.revision)
        self._freshness.clear_missing_changes()
        self._freshness.confirm(valid_at_ms)
        self._send_updates()

    def _handle_store_changes(self, changes: messages.StoreChanged) -> None:
        after_revision, revision = changes.after_revision, changes.revision
        now_ms = self._time.now_ms()
        self._record_store_response(now_ms)
        known_revision = self._state.revision
        if after_revision > known_revision:
            log.warning(
                'gap in store changes; changes ignored',
                extra={'known': known_revision, 'after': after_revision},
            )
            return
        if changes.events and revision < known_revision:
            self._log_ignored(revision)
        has_new_changes = self._apply_changes(changes.events, revision)
        self._freshness.confirm(now_ms)
        self._proofs.record_store_answer(changes.asked_at_ms)
        self._send_proof()
        if has_new_changes:
            entries = [_to_entry(event) for event in changes.events]
            self._pass_on_changes(entries, after_revision, revision, now_ms)

    def _pass_on_changes(
        self,
        entries: list[protocol.StoreEntry],
        after_revision: int,
        revision: int,
        now_ms: int,
    ) -> None:
        """Send changes that were read to all other hosts, if it is due."""
        if not self._store_readers.should_send_changes(now_ms):
            return
        for message in self._split_changes(entries, after_revision, revision):
            self._send_to_peers(message)

    def _log_ignored(self, revision: int) -> None:
        log.info(
            'store answer ignored: the view is newer',
            extra={'revision': revision, 'known': self._state.revision},
        )

    def _apply_changes(
        self, events: tuple[store.Event, ...], revision: int
    ) -> bool:
        """Apply new changes; return whether there were any."""
        if self._state.is_empty or revision <= self._state.revision:
            return False
        known_revision = self._state.revision
        now_ms = self._time.now_ms()
        new_events = [
            event for event in events if event.revision > known_revision
        ]
        for event in new_events:
            self._state.apply(event, now_ms)
        self._recent_changes.record([_to_entry(event) for event in new_events])
        self._state.revision = revision
        self._freshness.clear_missing_changes()
        if self._tasks is not None:
            self._tasks.follower.tell(messages.SetRevision(revision))
        if new_events:
            self._send_updates()
        return bool(new_events)

    def _record_store_failure(self, reason: str) -> None:
        self._freshness.record_failure(self._time.now_ms())
        if not self._is_store_unavailable:
            self._is_store_unavailable = True
            log.warning(
                'store unavailable',
                extra={'reason': reason, 'view_age_ms': self._view_age_ms()},
            )

    def _record_store_response(self, now_ms: int) -> None:
        self._freshness.record_response()
        if self._is_store_unavailable or self._freshness.is_stale(now_ms):
            self._is_store_unavailable = False
            log.info(
                'store available again',
                extra={'view_age_ms': self._view_age_ms()},
            )
        self._end_outage(now_ms)

    def _end_outage(self, now_ms: int) -> None:
        """Retain entries if this is the first news after a long outage.

        A failed call of this host is no outage while other hosts read the
        store and confirm its view.
        """
        if self._freshness.may_miss_expired_entries(now_ms):
            self._state.start_grace_period(now_ms)

    def _send_updates(self) -> None:
        """Send the updated state to the other tasks."""
        hosts = self._state.hosts()
        if hosts != self._hosts:
            self._set_hosts(hosts)
        self._deliver_addresses()
        if self._tasks is None:
            return
        # The first requests with quotas need to find a lender.
        self._send_hosts()
        table = self._state.pop_new_routes()
        if table is not None:
            log.info(
                'configuration applied',
                extra={
                    'version': table.version,
                    'revision': self._state.revision,
                },
            )
            self._tasks.dispatcher.tell(messages.RoutesUpdated(table))
            self._tasks.limit_enforcer.set_limits(table.limits)
            self._send_proof()
            # The follower calls more often until there is a configuration.
            self._update_store_reading()
        update = messages.ServersUpdated(
            self._state.servers(), max(1, len(hosts))
        )
        if update != self._last_update:
            self._last_update = update
            self._tasks.dispatcher.tell(update)
        if self._is_stopping:
            return
        if self._is_ready():
            self._tasks.registrar.tell(messages.Register())
        if self._state.pop_host_removal(self._settings.name):
            self._tasks.registrar.tell(messages.RegistrationLost())

    def _ask_for_proof(self, now_ms: int) -> None:
        self._send_all(
            self._proofs.ask(
                self._is_reading,
                self._reports.local_relays(now_ms),
                self._store_readers.reading(now_ms),
                now_ms,
            )
        )

    def _send_proof(self) -> None:
        """Tell the dispatcher of a newer proof, after the routes it needs."""
        if self._tasks is None:
            return
        update = self._proofs.pop_update(self._time.now_ms())
        if update is not None:
            self._tasks.dispatcher.tell(update)

    def _send_hosts(self) -> None:
        """Tell the dispatcher which hosts there are, if quotas need it."""
        if self._tasks is None or not self._state.has_quotas:
            return
        now_ms = self._time.now_ms()
        age_ms = self._freshness.known_age_ms(now_ms)
        self._tasks.dispatcher.tell(
            messages.HostsSeen(
                self._hosts, None if age_ms is None else now_ms - age_ms
            )
        )

    def _set_hosts(self, hosts: tuple[model.EntryHost, ...]) -> None:
        self._hosts = hosts
        self._peers.set_registered(hosts, self._time.now_ms())
        self._reports.set_hosts(hosts, self._time.now_ms())
        self._proofs.set_hosts(hosts)
        self._values.set_hosts(hosts)
        self._store_readers.set_hosts(
            {host.name: host.link_mbps for host in (self._host, *hosts)},
            self._time.now_ms(),
        )

    def _is_ready(self) -> bool:
        return self._state.is_complete and not self._is_stopping

    def _find_addresses(self, data_centre: str) -> messages.Addresses:
        hosts = list(self._state.hosts())
        if self._is_ready() and all(
            host.name != self._settings.name for host in hosts
        ):
            hosts.append(self._host)
        if self._is_stopping and len(hosts) > 1:
            hosts = [h for h in hosts if h.name != self._settings.name]
        selected = [h.callers for h in hosts if h.data_centre == data_centre]
        if len(selected) < MIN_LOCAL_HOSTS:
            selected = [h.callers for h in hosts]
        self._rng.shuffle(selected)
        return messages.Addresses(
            tuple(selected[:MAX_ADDRESSES]),
            min(ADDRESS_KEEP_FOR_MS, self._settings.bounds.max_keep_for_ms),
        )

    def _deliver_addresses(self) -> None:
        """Answer the look-ups that arrived before the first view."""
        waiting, self._awaited_addresses = self._awaited_addresses, []
        for awaited in waiting:
            found = self._find_addresses(awaited.data_centre)
            if found.addresses:
                awaited.addresses.set(found)
            else:
                self._awaited_addresses.append(awaited)
        # Those that were not answered for so long have been given up.
        del self._awaited_addresses[:-MAX_AWAITED_ADDRESSES]

    def _send_report(self, observed: messages.Observation) -> None:
        self._send_all(
            self._reports.observe(
                report_exchange.to_report(self._settings.name, observed),
                self._local_peers(),
                self._time.now_ms(),
            )
        )
        self._pass_on_reports()

    def _receive_reports(self, received: protocol.ServerReports) -> None:
        reports = self._reports.receive(received, self._time.now_ms())
        if reports and self._tasks is not None:
            self._tasks.dispatcher.tell(messages.PeerReports(reports))
        self._pass_on_reports()

    def _pass_on_reports(self) -> None:
        """Pass on the reports that wait, now or when it is due."""
        now_ms = self._time.now_ms()
        local_peers = self._local_peers()
        delay_ms = self._reports.due_in_ms(local_peers, now_ms)
        if delay_ms is None or self._is_flush_scheduled:
            return
        if delay_ms > 0:
            self._is_flush_scheduled = True
            self._timers.after(
                self.actor_ref, messages.FlushReports(), delay_ms
            )
            return
        self._send_all(self._reports.flush(local_peers, now_ms))

    def _local_peers(self) -> tuple[address.Address, ...]:
        """Return the hosts of this data centre and those of unknown place."""
        now_ms = self._time.now_ms()
        data_centre = self._settings.place.data_centre
        return (
            *self._peers.addresses(now_ms, data_centre),
            *self._peers.unplaced(now_ms),
        )

    def _send_all(self, sends: report_exchange.Sends) -> None:
        for send in sends:
            self._datagrams.command(send)

    def _send_to_peers(self, message: protocol.AnyMessage) -> None:
        """Send to all other hosts."""
        targets = self._peers.addresses(self._time.now_ms())
        if targets:
            self._datagrams.command(datagrams.SendTo(targets, message))


def _size_bytes(entry: protocol.StoreEntry) -> int:
    return len(entry.key) + len(entry.value or b'')


def _to_entry(event: store.Event) -> protocol.StoreEntry:
    match event:
        case store.Item(key, value, revision):
            return protocol.StoreEntry(key, value, revision)
        case store.Removal(key, revision):
            return protocol.StoreEntry(key, None, revision)


def _to_event(entry: protocol.StoreEntry) -> store.Event:
    if entry.value is None:
        return store.Removal(entry.key, entry.revision)
    return store.Item(entry.key, entry.value, entry.revision)
