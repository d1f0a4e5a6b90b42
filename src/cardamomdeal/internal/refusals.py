"""Responses 503 on connections for which no thread is free."""

import logging
import threading

from cheroot import server as cheroot_server

from cardamomdeal.internal import clock
from cardamomdeal.internal import closing_connection
from cardamomdeal.internal import closing_task

RESPONSE_BODY = b'no thread is free; the request was not run\n'
LOG_INTERVAL_MS = 1_000

log = logging.getLogger(__name__)


class Refuser:
    """Sends a refusal at once and has its connection closed."""

    def __init__(
        self,
        headers: tuple[tuple[str, str], ...],
        closing: closing_task.ClosingTask,
    ) -> None:
        self._response = _build_response(headers)
        self._closing = closing
        self._time = clock.Clock()
        self._lock = threading.Lock()
        # Guarded by the lock.
        self._unlogged_count = 0
        self._logged_at_ms: int | None = None

    def refuse(self, connection: cheroot_server.HTTPConnection) -> None:
        """Take ownership of a connection and refuse its request."""
        step: closing_connection.Step
        # Only polled connections have been read by now.
        if getattr(connection, 'has_received', False):
            step = closing_connection.Send(self._response)
        else:
            step = closing_connection.AwaitRequest(self._response)
        self._closing.end(connection, step)
        self._count_refusal()

    def _count_refusal(self) -> None:
        """Log how many were refused, at most once in an interval."""
        now_ms = self._time.now_ms()
        with self._lock:
            self._unlogged_count += 1
            if (
                self._logged_at_ms is not None
                and now_ms - self._logged_at_ms < LOG_INTERVAL_MS
            ):
                return
            count, self._unlogged_count = self._unlogged_count, 0
            self._logged_at_ms = now_ms
        log.warning('connections refused', extra={'count': count})


def _build_response(headers: tuple[tuple[str, str], ...]) -> bytes:
    lines = [
        'HTTP/1.1 503 Service Unavailable',
        f'Content-Length: {len(RESPONSE_BODY)}',
        'Content-Type: text/plain',
        *(f'{name}: {value}' for name, value in headers),
        'Connection: close',
        '',
        '',
    ]
    return '\r\n'.join(lines).encode() + RESPONSE_BODY
