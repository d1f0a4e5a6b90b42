"""Metrics endpoint: counters and latency percentiles as text."""

from collections.abc import Iterator
from typing import Any

import pykka

from cardamomdeal.entry import messages
from cardamomdeal.internal import http_json
from cardamomdeal.telemetry import histograms
from cardamomdeal.telemetry import logs

PATH = '/metrics'
DISPATCHER_TIMEOUT_S = 0.8
PERCENTILES = (50, 90, 99, 100)


class MetricsApplication:
    """WSGI application that returns the metrics of an entry host."""

    def __init__(self, dispatcher: pykka.ActorRef[Any]) -> None:
        self._dispatcher = dispatcher

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: http_json.StartResponse,
    ) -> list[bytes]:
        """Handle one request."""
        if environ['PATH_INFO'] != PATH:
            return _send_text('404 Not Found', f'ask {PATH}', start_response)
        try:
            metrics = self._dispatcher.ask(
                messages.GetMetrics(), timeout=DISPATCHER_TIMEOUT_S
            )
        except pykka.Timeout:
            return _send_text(
                '503 Service Unavailable', 'overloaded', start_response
            )
        text = '\n'.join(_format_metrics(metrics))
        return _send_text('200 OK', text, start_response)


def _format_metrics(metrics: messages.Metrics) -> Iterator[str]:
    for name, count in sorted(metrics.counters.items()):
        yield f'cardamomdeal_events{{kind="{name}"}} {count}'
    yield f'cardamomdeal_log_lines_dropped {logs.dropped_record_count()}'
    merged = histograms.merge(metrics.histograms)
    for (service, route), histogram in sorted(merged.items()):
        labels = f'service="{service}",route="{route}"'
        yield f'cardamomdeal_latency_count{{{labels}}} {histogram.total_count}'
        for percentile in PERCENTILES:
            value_ms = histogram.get_value_at_percentile(percentile)
            yield (
                f'cardamomdeal_latency_ms{{{labels},'
                f'percentile="{percentile}"}} {value_ms}'
            )


def _send_text(
    status: str, text: str, start_response: http_json.StartResponse
) -> list[bytes]:
    body = text.encode() + b'\n'
    start_response(
        status,
        [
            ('Content-Type', 'text/plain; charset=utf-8'),
            ('Content-Length', str(len(body))),
        ],
    )
    return [body]
