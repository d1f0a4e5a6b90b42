"""Actor that holds the state of an agent and handles its messages."""

import collections
import dataclasses
import logging
import random
from typing import Any

import pykka

from cardamomdeal.agent import gateways
from cardamomdeal.agent import judge
from cardamomdeal.agent import messages
from cardamomdeal.channels import messages as channel
from cardamomdeal.channels import task
from cardamomdeal.configuration import adoption
from cardamomdeal.health import ejection_cache
from cardamomdeal.health import permits
from cardamomdeal.internal import actor
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.internal import ticker
from cardamomdeal.membership import members
from cardamomdeal.membership import rendezvous
from cardamomdeal.platform import service
from cardamomdeal.protocol import messages as protocol
from cardamomdeal.settings import model
from cardamomdeal.telemetry import metrics

STORE_READER_ROLE = 'store-reader'

log = logging.getLogger(__name__)


class Agent(actor.Actor):
    """Actor that owns the agent's channel, configuration and member list."""

    def __init__(
        self,
        settings: model.AgentSettings,
        incarnation: protocol.Incarnation,
        time: clock.Clock,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._time = time
        self._rng = random.Random()
        self._incarnation = protocol.Incarnation(settings.name, time.wall_ms())
        self._sequence = 0
        self._adoption = adoption.Adoption()
        self._members = members.Members(
            settings.name, settings.seed_peers, settings.peer_timeout_ms
        )
        self._gateways = gateways.LocalGateways()
        self._leaving_addresses: frozenset[str] = frozenset()
        self._listed_hosts: frozenset[str] = frozenset()
        self._removed_hosts: frozenset[str] = frozenset()
        self._judge: pykka.ActorRef[Any] | None = None
        self._ejections = ejection_cache.EjectionCache(
            settings.ejection_validity_ms
        )
        self._evidence: list[protocol.ServerEvidence] = []
        self._ejections_updated_at_ms = 0
        self._counters: collections.Counter[str] = collections.Counter()
        self._metrics = metrics.Metrics('agent', settings.telemetry)
        self._store_reader: pykka.ActorRef[Any] | None = None
        self._record = self._build_record(0)
        self._channel = task.ChannelTask(self.actor_ref, settings.listen)

    def on_start(self) -> None:
        """Start the channel and the ticker."""
        self._channel.start()
        self._ticker = ticker.Ticker(
            self.actor_ref,
            messages.Tick(),
            self._settings.gossip_interval_ms,
        )
        self._ticker.start()

    def on_stop(self) -> None:
        """Stop the ticker and the channel."""
        self._ticker.stop()
        self._channel.command(channel.Stop())

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case messages.Tick():
                self._tick()
            case channel.Received(sender, received):
                self._handle_remote_message(sender, received)
            case channel.Dropped(reason):
                self._count('messages_dropped')
                log.warning('message dropped', extra={'reason': reason})
            case channel.Traffic() as traffic:
                self._counters |= dataclasses.asdict(traffic)
            case messages.StoreRead(record, canonical):
                self._handle_store_read(record, canonical)
            case messages.HostsListed(hosts):
                self._update_hosts(hosts)
            case messages.StoreCalls(count):
                self._counters['store_calls'] = count
            case messages.StoreReaderStarted(reader):
                self._store_reader = reader
            case messages.JudgeStarted(judge_ref):
                self._judge = judge_ref
            case messages.EjectionReply(None, ejections):
                self._ejections.update(ejections)
            case messages.EjectionReply(to, ejections):
                self._send(to, ejections)

    def _handle_remote_message(
        self, sender: channel.Remote, received: protocol.AnyMessage
    ) -> None:
        match received:
            case protocol.GatewayReport():
                self._handle_gateway_report(sender, received)
            case protocol.GatewayHistograms():
                self._gateways.record_histograms(received)
            case protocol.Gossip():
                self._handle_gossip(sender, received)
            case protocol.GossipReply():
                self._members.record_gossip_reply(received)
                self._merge_gossip(received, sender)
            case protocol.RecordsRequest(agents):
                records = self._members.records_of(agents)
                self._send(sender, protocol.Records(records))
            case protocol.Records(records):
                for record in records:
                    self._members.update_record(record)
            case protocol.DocumentRequest(known_version):
                self._offer_document(sender, known_version)
            case protocol.DocumentOffer(head, document):
                self._adopt_document(head, document)
            case protocol.DirectoryQuery():
                self._handle_directory_query(sender)
            case protocol.StatusRequest(request_id):
                self._send(sender, self._build_status(request_id))
            case protocol.HistogramRequest(request_id):
                self._send(
                    sender,
                    protocol.HistogramReply(
                        request_id, self._gateways.histograms()
                    ),
                )
            case protocol.EvidenceReport():
                if self._judge is not None:
                    self._judge.tell(
                        messages.EvidenceReceived(sender, received)
                    )
            case protocol.HeldEjections():
                self._ejections.update(received)
            case protocol.DrainHost(request_id):
                self._drain_host()
                self._send(sender, protocol.Done(request_id))
            case _:
                self._count('messages_unexpected')

    def _tick(self) -> None:
        now_ms = self._time.now_ms()
        self._sequence += 1
        self._gateways.remove_expired(now_ms)
        self._members.remove_expired(now_ms)
        self._adoption.confirm_from_peers(
            self._members.replied_versions(now_ms),
            self._members.known_host_count(),
        )
        self._update_store_reader(now_ms)
        self._gossip(now_ms)
        if (
            now_ms - self._ejections_updated_at_ms
            >= self._settings.judge_interval_ms
        ):
            self._ejections_updated_at_ms = now_ms
            self._report_evidence(now_ms)
            self._request_ejection_update(now_ms)
        self._metrics.gauge(
            'members_live', len(self._members.live_records(now_ms))
        )
        self._metrics.gauge('document_version', self._adoption.version)

    def _update_store_reader(self, now_ms: int) -> None:
        if self._store_reader is None:
            return
        agent_names = self._live_agents(now_ms)
        ranking = rendezvous.ranked(STORE_READER_ROLE, agent_names)
        is_store_reader = self._settings.name in ranking[
            : self._settings.store_readers
        ] or self._is_primary_judge(agent_names)
        # Without a confirmed configuration, a host reads the store itself.
        self._store_reader.tell(
            messages.FollowStore(is_store_reader or not self._adoption.ready)
        )

    def _live_agents(self, now_ms: int) -> tuple[str, ...]:
        live = self._members.live_records(now_ms)
        return (self._settings.name, *(record.agent.name for record in live))

    def _is_primary_judge(self, agent_names: tuple[str, ...]) -> bool:
        # Primary judges need the host list to find permits whose holders
        # were on hosts that have been removed.
        return any(
            judge.judges_of(judged_service.name, agent_names)[0]
            == self._settings.name
            for judged_service in self._adoption.services
        )

    def _report_evidence(self, now_ms: int) -> None:
        """Send the evidence on each service to its judges."""
        addresses = {
            record.agent.name: address.parse_address(record.address)
            for record in self._members.live_records(now_ms)
        }
        agent_names = self._live_agents(now_ms)
        service_of = {
            server.name: server.service
            for server in self._adoption.backend_servers
        }
        for judged_service in self._adoption.services:
            report = protocol.EvidenceReport(
                reporter=self._settings.name,
                data_centre=self._settings.place.data_centre,
                service=judged_service.name,
                asked_at_ms=now_ms,
                evidence=tuple(
                    item
                    for item in self._evidence
                    if service_of.get(item.server) == judged_service.name
                ),
            )
            for agent_name in judge.judges_of(
                judged_service.name, agent_names
            ):
                self._send_evidence(agent_name, addresses, report)
        self._evidence = []

    def _send_evidence(
        self,
        agent_name: str,
        addresses: dict[str, address.Address],
        report: protocol.EvidenceReport,
    ) -> None:
        if agent_name in addresses:
            self._send(channel.Peer(addresses[agent_name]), report)
        elif self._judge is not None:
            self._judge.tell(messages.EvidenceReceived(None, report))

    def _request_ejection_update(self, now_ms: int) -> None:
        active = self._adoption.active
        if active is None or self._judge is None:
            return
        incarnations = self._members.incarnations()
        incarnations[self._settings.name] = self._incarnation
        self._judge.tell(
            messages.UpdateEjections(
                document=active.document,
                live_agents=self._live_agents(now_ms),
                leaving_servers=self._leaving_servers(now_ms),
                incarnations=incarnations,
                removed_agents=self._members.agents_on_hosts(
                    self._removed_hosts
                )
                | self._removed_hosts,
            )
        )

    def _gossip(self, now_ms: int) -> None:
        targets = self._members.gossip_targets(
            self._settings.gossip_fanout, now_ms, self._rng
        )
        gossip = protocol.Gossip(
            now_ms, self._own_record(), self._heartbeats(now_ms)
        )
        for target in targets:
            if not self._members.record_gossip_sent(target):
                # Several gossip messages got no reply: the connection may be
                # broken without an error, so it is replaced.
                self._channel.command(channel.Disconnect(channel.Peer(target)))
            self._send(channel.Peer(target), gossip)

    def _handle_gossip(
        self, sender: channel.Remote, gossip: protocol.Gossip
    ) -> None:
        self._merge_gossip(gossip, sender)
        self._send(
            sender,
            protocol.GossipReply(
                gossip.asked_at_ms,
                self._own_record(),
                self._heartbeats(self._time.now_ms()),
            ),
        )

    def _merge_gossip(
        self,
        gossip: protocol.Gossip | protocol.GossipReply,
        sender: channel.Remote,
    ) -> None:
        now_ms = self._time.now_ms()
        for heartbeat in gossip.heartbeats:
            self._members.update_heartbeat(heartbeat, now_ms)
        self._members.update_record(gossip.sender)
        agents = self._members.agents_without_current_record(now_ms)
        if agents:
            self._send(sender, protocol.RecordsRequest(agents))
        head = gossip.sender.head
        if head is not None and head.version > self._adoption.version:
            self._send(
                sender, protocol.DocumentRequest(self._adoption.version)
            )

    def _heartbeats(self, now_ms: int) -> tuple[protocol.Heartbeat, ...]:
        own = protocol.Heartbeat(
            self._incarnation, self._sequence, self._own_record().revision
        )
        return (own, *self._members.heartbeats(now_ms))

    def _own_record(self) -> protocol.HostRecord:
        """Return this host's record, with the next revision if it changed."""
        if self._build_record(self._record.revision) != self._record:
            self._record = self._build_record(self._record.revision + 1)
        return self._record

    def _build_record(self, revision: int) -> protocol.HostRecord:
        active = self._adoption.active
        return protocol.HostRecord(
            agent=self._incarnation,
            revision=revision,
            host=self._settings.place.host,
            data_centre=self._settings.place.data_centre,
            address=str(self._settings.listen),
            head=active.head if active else None,
            ready=self._adoption.ready,
            gateways=self._gateways.records(),
            draining_servers=tuple(sorted(self._local_draining_servers())),
        )

    def _local_draining_servers(self) -> frozenset[str]:
        listed = frozenset(
            server.name
            for server in self._adoption.backend_servers
            if str(server.address) in self._leaving_addresses
        )
        return self._gateways.draining_servers() | listed

    def _handle_store_read(self, record: Any, canonical: bytes | None) -> None:
        if canonical is not None:
            self._adopt_document(record.head, canonical)
        elif record.version > self._adoption.version:
            active = self._adoption.active
            if active and active.head.digest == record.digest:
                self._adopt_document(record.head, active.canonical)
        self._adoption.confirm_from_store(record.version)

    def _adopt_document(self, head: protocol.Head, canonical: bytes) -> None:
        match self._adoption.offer(head, canonical):
            case adoption.Adopted():
                log.info(
                    'configuration applied', extra={'version': head.version}
                )
                self._gossip(self._time.now_ms())
                for gateway in self._gateways.all():
                    self._offer_document(gateway.remote, head.version - 1)
            case adoption.Rejected(problems):
                self._count('documents_refused')
                log.error(
                    'invalid configuration ignored',
                    extra={'problems': [str(problem) for problem in problems]},
                )
            case adoption.Ignored():
                pass

    def _update_hosts(self, hosts: tuple[service.ListedHost, ...]) -> None:
        self._leaving_addresses = frozenset(
            host.address
            for host in hosts
            if host.state is service.HostState.LEAVING
        )
        # A host that has never been listed may be new. One that was listed
        # before and no longer is has been removed.
        listed = frozenset(host.name for host in hosts)
        self._removed_hosts = (
            self._removed_hosts | self._listed_hosts
        ) - listed
        self._listed_hosts = listed

    def _handle_gateway_report(
        self, sender: channel.Remote, report: protocol.GatewayReport
    ) -> None:
        now_ms = self._time.now_ms()
        self._gateways.record_report(sender, report, now_ms)
        self._evidence.extend(report.evidence)
        self._offer_document(sender, report.record.document_version)
        self._ejections.expire(now_ms)
        self._send(
            sender,
            protocol.ServerStates(
                asked_at_ms=report.asked_at_ms,
                valid_for_ms=self._ejections.valid_for_ms(now_ms),
                states=self._server_states(now_ms),
            ),
        )

    def _server_states(self, now_ms: int) -> tuple[protocol.ServerState, ...]:
        leaving = self._leaving_servers(now_ms)
        capacities = {
            item.name: permits.Capacity.from_document(
                document, item.name, leaving
            )
            for document in self._adoption.documents
            for item in document.services
        }
        return ejection_cache.server_states(
            self._ejections, capacities, leaving
        )

    def _leaving_servers(self, now_ms: int) -> frozenset[str]:
        return self._local_draining_servers().union(
            *(
                record.draining_servers
                for record in self._members.live_records(now_ms)
            )
        )

    def _offer_document(self, to: channel.Remote, known_version: int) -> None:
        active = self._adoption.active
        if active is None or not self._adoption.ready:
            return
        if active.head.version > known_version:
            self._send(
                to, protocol.DocumentOffer(active.head, active.canonical)
            )

    def _handle_directory_query(self, sender: channel.Remote) -> None:
        hosts = (
            self._own_record(),
            *self._members.live_records(self._time.now_ms()),
        )
        self._send(sender, protocol.DirectoryView(hosts))

    def _build_status(self, request_id: str) -> protocol.AgentStatus:
        now_ms = self._time.now_ms()
        return protocol.AgentStatus(
            request_id=request_id,
            host=self._own_record(),
            peers=self._members.live_records(now_ms),
            cut_peers=self._members.cut_peers(now_ms),
            states=self._server_states(now_ms),
            counters=dict(self._counters),
        )

    def _drain_host(self) -> None:
        for gateway in self._gateways.all():
            self._send(gateway.remote, protocol.StopGateway())

    def _send(self, to: channel.Remote, message: protocol.AnyMessage) -> None:
        if not self._channel.command(channel.Send(to, message)):
            self._count('messages_dropped')

    def _count(self, name: str) -> None:
        self._counters[name] += 1
        self._metrics.increment(name)
