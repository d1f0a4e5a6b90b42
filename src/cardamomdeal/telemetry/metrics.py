"""Counters and timings sent to statsd."""

import statsd

from cardamomdeal.settings import model


class Metrics:
    """Send metrics to statsd, or nowhere when no address is set."""

    def __init__(self, prefix: str, settings: model.Telemetry) -> None:
        self._client: statsd.StatsClient | None = None
        if settings.statsd is not None:
            self._client = statsd.StatsClient(
                settings.statsd.host,
                settings.statsd.port,
                prefix=f'cardamomdeal.{prefix}',
            )

    def increment(self, name: str, count: int = 1) -> None:
        """Count an event."""
        if self._client is not None:
            self._client.incr(name, count)

    def timing(self, name: str, duration_ms: int) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, duration_ms)

    def gauge(self, name: str, value: float) -> None:
        """Record a level."""
        if self._client is not None:
            self._client.gauge(name, value)
