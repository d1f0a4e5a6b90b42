"""HTTP endpoints of an entry host for readiness and address lookup."""

import logging
import select
import threading
from typing import Any

import pykka

from cardamomdeal.entry import messages
from cardamomdeal.internal import deferred
from cardamomdeal.internal import http_json
from cardamomdeal.platform import wire

# The fleet synchronizer replies immediately unless the process is starved of
# CPU.
SYNCHRONIZER_TIMEOUT_S = 0.8
# The first read of the store takes less. Callers allow a second for each of
# three directories, and a longer wait would keep them from the next one.
FIRST_VIEW_TIMEOUT_MS = 300
# Look-ups that wait leave threads to readiness and to other look-ups.
MAX_WAITING_LOOKUPS = 8

log = logging.getLogger(__name__)


class ReadinessApplication:
    """WSGI application that reports whether the host can serve."""

    def __init__(self, synchronizer: pykka.ActorRef[Any]) -> None:
        self._synchronizer = synchronizer

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: http_json.StartResponse,
    ) -> list[bytes]:
        """Handle one request."""
        request = http_json.read_request(environ)
        return http_json.send_response(self._handle(request), start_response)

    def _handle(
        self, request: http_json.JsonRequest
    ) -> http_json.JsonResponse:
        if request.path != wire.READY_PATH:
            return http_json.JsonResponse(404, {'error': 'no such path'})
        try:
            ready = self._synchronizer.ask(
                messages.IsReady(), timeout=SYNCHRONIZER_TIMEOUT_S
            )
        except pykka.Timeout:
            ready = False
        return http_json.JsonResponse(200 if ready else 503, {'ready': ready})


class DirectoryApplication:
    """WSGI application that returns the addresses callers should use."""

    def __init__(self, synchronizer: pykka.ActorRef[Any]) -> None:
        self._synchronizer = synchronizer
        self._free_waits = threading.BoundedSemaphore(MAX_WAITING_LOOKUPS)

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: http_json.StartResponse,
    ) -> list[bytes]:
        """Handle one request."""
        request = http_json.read_request(environ)
        return http_json.send_response(self._handle(request), start_response)

    def _await_addresses(self, data_centre: str) -> messages.Addresses | None:
        """Wait for the first view of a host that has just started."""
        if not self._free_waits.acquire(blocking=False):
            return None
        try:
            awaited = deferred.Deferred[messages.Addresses]()
            self._synchronizer.tell(
                messages.AwaitAddresses(data_centre, awaited)
            )
            return awaited.wait(FIRST_VIEW_TIMEOUT_MS, _NoWatcher())
        finally:
            self._free_waits.release()

    def _handle(
        self, request: http_json.JsonRequest
    ) -> http_json.JsonResponse:
        if request.path != wire.RESOLVE_PATH:
            return http_json.JsonResponse(404, {'error': 'no such path'})
        lookup = messages.FindAddresses(request.query.get('zone', ''))
        try:
            found = self._synchronizer.ask(
                lookup, timeout=SYNCHRONIZER_TIMEOUT_S
            )
        except pykka.Timeout:
            return _refuse_lookup('overloaded')
        if not found.addresses:
            found = self._await_addresses(lookup.data_centre) or found
        if not found.addresses:
            return _refuse_lookup('no host is ready')
        return http_json.JsonResponse(
            200,
            {
                'addresses': [str(address) for address in found.addresses],
                'ttl': f'{found.keep_for_ms}ms',
            },
        )


class _NoWatcher:
    """Watcher of nothing."""

    def register(self, poller: select.poll) -> None:
        """Register nothing."""


def _refuse_lookup(reason: str) -> http_json.JsonResponse:
    log.warning('look-up of addresses refused', extra={'reason': reason})
    return http_json.JsonResponse(503, {'error': reason})
