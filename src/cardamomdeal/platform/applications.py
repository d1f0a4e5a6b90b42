"""HTTP endpoints of an entry host for readiness and address lookup."""

import logging
from typing import Any

import pykka

from cardamomdeal.entry import messages
from cardamomdeal.internal import http_json
from cardamomdeal.platform import wire

# The fleet synchronizer replies immediately unless the process is starved of
# CPU.
SYNCHRONIZER_TIMEOUT_S = 0.8

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
            return _refuse_lookup('no host is ready')
        return http_json.JsonResponse(
            200,
            {
                'addresses': [str(address) for address in found.addresses],
                'ttl': f'{found.keep_for_ms}ms',
            },
        )


def _refuse_lookup(reason: str) -> http_json.JsonResponse:
    log.warning('look-up of addresses refused', extra={'reason': reason})
    return http_json.JsonResponse(503, {'error': reason})
