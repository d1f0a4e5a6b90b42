"""Gateways of this host, as their reports describe them."""

import dataclasses

from cardamomdeal.channels import messages as channel
from cardamomdeal.protocol import messages

REPORT_VALID_MS = 3_000


@dataclasses.dataclass(slots=True)
class LocalGateway:
    """Hold the last report of a gateway and where to answer it."""

    remote: channel.Remote
    record: messages.GatewayRecord
    draining_servers: tuple[str, ...]
    reported_at_ms: int
    histograms: tuple[messages.LatencyHistogram, ...] = ()


class LocalGateways:
    """Keep the gateways that report to this agent."""

    def __init__(self) -> None:
        self._gateways: dict[str, LocalGateway] = {}

    def note_report(
        self,
        remote: channel.Remote,
        report: messages.GatewayReport,
        now_ms: int,
    ) -> LocalGateway:
        """Take in a report."""
        name = report.record.incarnation.name
        known = self._gateways.get(name)
        self._gateways[name] = LocalGateway(
            remote,
            report.record,
            report.draining_servers,
            now_ms,
            known.histograms if known else (),
        )
        return self._gateways[name]

    def note_histograms(self, report: messages.GatewayHistograms) -> None:
        """Take in the latency histograms of a gateway."""
        if report.gateway in self._gateways:
            self._gateways[report.gateway].histograms = report.histograms

    def forget_silent(self, now_ms: int) -> None:
        """Drop gateways that stopped reporting."""
        for name, gateway in list(self._gateways.items()):
            if now_ms - gateway.reported_at_ms > REPORT_VALID_MS:
                del self._gateways[name]

    def all(self) -> tuple[LocalGateway, ...]:
        """Return the gateways that report."""
        return tuple(self._gateways.values())

    def records(self) -> tuple[messages.GatewayRecord, ...]:
        """Return the records of the gateways that report."""
        return tuple(gateway.record for gateway in self.all())

    def draining_servers(self) -> frozenset[str]:
        """Return the servers that told a gateway they are leaving."""
        return frozenset(
            server
            for gateway in self.all()
            for server in gateway.draining_servers
        )

    def histograms(self) -> tuple[messages.LatencyHistogram, ...]:
        """Return the latency histograms of every gateway."""
        return tuple(
            histogram
            for gateway in self.all()
            for histogram in gateway.histograms
        )
