"""Latency histograms for each tenant and work class."""

from hdrh.histogram import HdrHistogram

from cardamomdeal.protocol import messages

MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
MAX_TENANTS = 64
OTHER_TENANT = 'other'


class LatencyHistograms:
    """Latency histograms for a bounded number of tenants."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._tenants: set[str] = set()

    def record(self, tenant: str, work_class: str, latency_ms: int) -> None:
        """Record one latency; count it as 'other' above MAX_TENANTS."""
        if tenant not in self._tenants:
            if len(self._tenants) >= MAX_TENANTS:
                tenant = OTHER_TENANT
            self._tenants.add(tenant)
        key = (tenant, work_class)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = _new_histogram()
            self._histograms[key] = histogram
        histogram.record_value(
            min(max(latency_ms, MIN_LATENCY_MS), MAX_LATENCY_MS)
        )

    def encode(self) -> tuple[messages.LatencyHistogram, ...]:
        """Return all histograms in the HdrHistogram wire encoding."""
        return tuple(
            messages.LatencyHistogram(tenant, work_class, histogram.encode())
            for (tenant, work_class), histogram in self._histograms.items()
        )


def merge(
    parts: tuple[messages.LatencyHistogram, ...],
) -> dict[tuple[str, str], HdrHistogram]:
    """Decode histograms and merge those of the same tenant and class."""
    merged: dict[tuple[str, str], HdrHistogram] = {}
    for part in parts:
        key = (part.tenant, part.work_class)
        if key not in merged:
            merged[key] = _new_histogram()
        merged[key].decode_and_add(part.encoded)
    return merged


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
