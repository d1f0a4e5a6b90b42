"""Exchanges reports of backend servers with the other entry hosts."""

import random

from cardamomdeal.balancing import outcomes
from cardamomdeal.channels import datagrams
from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.fleet import report_relays
from cardamomdeal.internal import address
from cardamomdeal.protocol import messages as protocol

# Reports in one message; more of them are sent in several.
MAX_REPORTS_PER_MESSAGE = 300

Audience = report_relays.Audience
Targets = tuple[address.Address, ...]
Sends = list[datagrams.SendTo]


class ReportExchange:
    """Turns reports into messages to relays, and passes on those of others.

    It sends nothing itself: its owner sends what it returns, and flushes it
    when that is due.
    """

    def __init__(self, host: model.EntryHost, rng: random.Random) -> None:
        self._host = host
        self._rng = rng
        self._relays = report_relays.ReportRelays(host)
        self._outbox: report_relays.ReportOutbox[protocol.AnyServerReport] = (
            report_relays.ReportOutbox()
        )

    def set_hosts(
        self, hosts: tuple[model.EntryHost, ...], now_ms: int
    ) -> None:
        """Replace the entry hosts that are present."""
        self._relays.set_hosts(hosts, now_ms)

    def local_relays(self, now_ms: int) -> tuple[model.EntryHost, ...]:
        """Return the relays of this data centre that are alive, in order."""
        return self._relays.local_relays(now_ms)

    def record_received(self, now_ms: int) -> None:
        """Record that any message of another host was received."""
        self._relays.record_received(now_ms)

    def observe(
        self,
        report: protocol.AnyServerReport,
        local_hosts: Targets,
        now_ms: int,
    ) -> Sends:
        """Return the messages that tell of an observation of this host."""
        how = handling(report)
        most = how.direct_recipients
        relay = self._relays.relay_of(self._host.data_centre, now_ms)
        is_told_here = len(local_hosts) <= most
        if _is_event(report) and relay is not None and not is_told_here:
            return self._send_to_relay(relay, report, Audience.FLEET)
        sends = self._messages(
            self._sample(local_hosts, most), 'host', (report,)
        )
        if not how.is_for_all:
            return sends
        if relay is None:
            return sends + self._send_to_remote_relays(report, now_ms)
        audience = Audience.ELSEWHERE if is_told_here else Audience.FLEET
        return sends + self._send_to_relay(relay, report, audience)

    def receive(
        self, message: protocol.ServerReports, now_ms: int
    ) -> tuple[messages.PeerReport, ...]:
        """Queue reports to be passed on; return those for this host."""
        if message.is_relayed:
            # A host may send its own reports and hear of no others.
            self._relays.record_heard(message.host, now_ms)
        if message.scope != 'host':
            for report in message.reports:
                self._outbox.add(
                    report, handling(report), Audience(message.scope)
                )
        return tuple(
            to_peer_report(report)
            for report in message.reports
            if report.host != self._host.name
        )

    def due_in_ms(self, local_hosts: Targets, now_ms: int) -> int | None:
        """Return the time until `flush` is due; None if nothing waits."""
        recipients = len(local_hosts) + len(self._relays.remote_relays(now_ms))
        return self._outbox.delay_ms(recipients, now_ms)

    def flush(self, local_hosts: Targets, now_ms: int) -> Sends:
        """Return the messages that pass on the reports that wait."""
        remote = tuple(
            relay.peers for relay in self._relays.remote_relays(now_ms)
        )
        batch = self._outbox.pop(len(local_hosts) + len(remote), now_ms)
        sends: Sends = []
        if batch.local is not None:
            sends += self._messages(local_hosts, 'host', batch.local, True)
        if batch.remote is not None:
            sends += self._messages(remote, 'data-centre', batch.remote, True)
        return sends

    def heartbeat(self, local_hosts: Targets, now_ms: int) -> Sends:
        """Return empty messages if this host is a relay and sent nothing."""
        if not self._relays.is_active(now_ms):
            return []
        if not self._outbox.is_heartbeat_due(now_ms):
            return []
        return self.flush(local_hosts, now_ms)

    def _sample(self, hosts: Targets, most: int) -> Targets:
        return tuple(self._rng.sample(hosts, min(most, len(hosts))))

    def _send_to_relay(
        self,
        relay: model.EntryHost,
        report: protocol.AnyServerReport,
        audience: report_relays.Audience,
    ) -> Sends:
        if relay.name == self._host.name:
            self._outbox.add(report, handling(report), audience)
            return []
        return self._messages((relay.peers,), audience.value, (report,))

    def _send_to_remote_relays(
        self, report: protocol.AnyServerReport, now_ms: int
    ) -> Sends:
        remote = self._relays.remote_relays(now_ms)
        return self._messages(
            tuple(relay.peers for relay in remote), 'data-centre', (report,)
        )

    def _messages(
        self,
        targets: Targets,
        scope: str,
        reports: tuple[protocol.AnyServerReport, ...],
        is_relayed: bool = False,
    ) -> Sends:
        if not targets:
            return []
        starts = range(0, max(1, len(reports)), MAX_REPORTS_PER_MESSAGE)
        return [
            datagrams.SendTo(
                targets,
                protocol.ServerReports(
                    self._host.name,
                    scope,
                    reports[start : start + MAX_REPORTS_PER_MESSAGE],
                    is_relayed,
                ),
            )
            for start in starts
        ]


def handling(report: protocol.AnyServerReport) -> report_relays.Handling:
    """Return how a report is passed on."""
    match report:
        case protocol.ServerLoad(running=running, waiting=waiting):
            # Elsewhere, a load is worth its traffic only if the server has
            # no free slot and should get no more requests.
            is_full = running + waiting >= report.slots
            return report_relays.Handling(
                direct_recipients=report_relays.LOAD_RECIPIENTS,
                is_urgent=is_full,
                is_for_all=is_full,
                replaces=(report.server_id, report.born_ms),
            )
        case _:
            return report_relays.Handling(
                direct_recipients=report_relays.MAX_DIRECT_RECIPIENTS,
                is_urgent=True,
                is_for_all=True,
            )


def _is_event(report: protocol.AnyServerReport) -> bool:
    """Return whether a report is about one request, not about a state."""
    return not isinstance(report, protocol.ServerLoad)


def to_report(
    host: str, observed: messages.Observation
) -> protocol.AnyServerReport:
    """Return the message for something that this host observed."""
    server_id, born_ms = observed.incarnation
    match observed:
        case messages.FailureObserved(_, reason, symptom, recent_requests):
            return protocol.ServerFailed(
                host,
                server_id,
                born_ms,
                reason,
                symptom.value,
                recent_requests,
            )
        case messages.RefusalObserved():
            return protocol.ServerRefused(host, server_id, born_ms)
        case messages.LoadObserved(_, load):
            return protocol.ServerLoad(
                host,
                server_id,
                born_ms,
                load.running,
                load.waiting,
                load.slots,
            )
        case messages.RecoveryObserved():
            return protocol.ServerRecovered(host, server_id, born_ms)
        case messages.LeavingObserved():
            return protocol.ServerLeaving(host, server_id, born_ms)


def to_peer_report(report: protocol.AnyServerReport) -> messages.PeerReport:
    """Return the message to the dispatcher for a report of a peer."""
    incarnation = (report.server_id, report.born_ms)
    match report:
        case protocol.ServerFailed():
            return messages.PeerReportedFailure(
                incarnation,
                report.host,
                report.reason,
                outcomes.Symptom(report.symptom),
                report.requests,
            )
        case protocol.ServerRefused():
            return messages.PeerReportedRefusal(incarnation, report.host)
        case protocol.ServerLoad():
            return messages.PeerReportedLoad(
                incarnation,
                outcomes.Load(report.running, report.waiting, report.slots),
            )
        case protocol.ServerRecovered():
            return messages.PeerReportedRecovery(incarnation, report.host)
        case protocol.ServerLeaving():
            return messages.PeerReportedLeaving(incarnation, report.host)
