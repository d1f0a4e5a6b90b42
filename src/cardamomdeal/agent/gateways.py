"""Gateways of this host, as known from their reports."""

import dataclasses

from cardamomdeal.channels import messages as channel
from cardamomdeal.protocol import messages

REPORT_VALID_MS = 3_000


@dataclasses.dataclass(slots=True)
class LocalGateway:
    """Last report of a gateway, and the remote end that sent it."""

    remote: channel.Remote
    record: messages.GatewayRecord
    draining_servers: tuple[str, ...]
    reported_at_ms: int
    histograms: tuple[messages.LatencyHistogram, ...] = ()


class LocalGateways:
    """Gateways that report to this agent, until their reports expire."""

    def __init__(self) -> None:
        self._gateways: dict[str, LocalGateway] = {}

    def record_report(
        self,
        remote: channel.Remote,
        report: messages.GatewayReport,
        now_ms: int,
    ) -> LocalGateway:
        """Store the latest report of a gateway."""
        name = report.record.incarnation.name
        previous = self._gateways.get(name)
        self._gateways[name] = LocalGateway(
            remote,
            report.record,
            report.draining_servers,
            now_ms,
            previous.histograms if previous else (),
        )
        return self._gateways[name]

    def record_histograms(self, report: messages.GatewayHistograms) -> None:
        """Store the latency histograms of a known gateway."""
        if report.gateway in self._gateways:
            self._gateways[report.gateway].histograms = report.histograms

    def remove_expired(self, now_ms: int) -> None:
        """Remove gateways whose last report has expired."""
        for name, gateway in list(self._gateways.items()):
            if now_ms - gateway.reported_at_ms > REPORT_VALID_MS:
                del self._gateways[name]

    def all(self) -> tuple[LocalGateway, ...]:
        """Return the gateways with a current report."""
        return tuple(self._gateways.values())

    def records(self) -> tuple[messages.GatewayRecord, ...]:
        """Return the records of the gateways."""
        return tuple(gateway.record for gateway in self.all())

    def draining_servers(self) -> frozenset[str]:
        """Return the servers that any gateway reports as draining."""
        return frozenset(
            server
            for gateway in self.all()
            for server in gateway.draining_servers
        )

    def histograms(self) -> tuple[messages.LatencyHistogram, ...]:
        """Return the latency histograms of all gateways."""
        return tuple(
            histogram
            for gateway in self.all()
            for histogram in gateway.histograms
        )
