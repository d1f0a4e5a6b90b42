"""Latency histograms for each tenant and class of work."""

from hdrh.histogram import HdrHistogram

from cardamomdeal.protocol import messages

LOWEST_MS = 1
HIGHEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 2
MAX_TENANTS = 64
OTHER_TENANTS = 'other'


class LatencyHistograms:
    """Count latencies for a bounded number of tenants."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self._tenants: set[str] = set()

    def record(self, tenant: str, work_class: str, latency_ms: int) -> None:
        """Count one latency in milliseconds."""
        if tenant not in self._tenants:
            if len(self._tenants) >= MAX_TENANTS:
                tenant = OTHER_TENANTS
            self._tenants.add(tenant)
        key = (tenant, work_class)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = _new_histogram()
            self._histograms[key] = histogram
        histogram.record_value(min(max(latency_ms, LOWEST_MS), HIGHEST_MS))

    def encoded(self) -> tuple[messages.LatencyHistogram, ...]:
        """Return every histogram in its library's encoding."""
        return tuple(
            messages.LatencyHistogram(tenant, work_class, histogram.encode())
            for (tenant, work_class), histogram in self._histograms.items()
        )


def merged(
    parts: tuple[messages.LatencyHistogram, ...],
) -> dict[tuple[str, str], HdrHistogram]:
    """Add up histograms of the same tenant and class."""
    sums: dict[tuple[str, str], HdrHistogram] = {}
    for part in parts:
        key = (part.tenant, part.work_class)
        if key not in sums:
            sums[key] = _new_histogram()
        sums[key].decode_and_add(part.encoded)
    return sums


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
