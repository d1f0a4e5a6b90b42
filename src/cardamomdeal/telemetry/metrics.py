"""Counters, timings and gauges sent to statsd."""

import statsd

from cardamomdeal.settings import model


class Metrics:
    """Statsd client; does nothing when no statsd address is configured."""

    def __init__(self, prefix: str, settings: model.Telemetry) -> None:
        self._client: statsd.StatsClient | None = None
        if settings.statsd is not None:
            self._client = statsd.StatsClient(
                settings.statsd.host,
                settings.statsd.port,
                prefix=f'cardamomdeal.{prefix}',
            )

    def increment(self, name: str, count: int = 1) -> None:
        """Increment a counter."""
        if self._client is not None:
            self._client.incr(name, count)

    def timing(self, name: str, duration_ms: int) -> None:
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, duration_ms)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)
