"""HTTP API of the directory."""

from typing import Any

import pykka

from cardamomdeal.directory import messages
from cardamomdeal.internal import http_json

LOOKUP_TIMEOUT_S = 2.0
ADDRESSES_PATH = '/addresses'


class Application:
    """WSGI application that serves the gateway addresses of a kind of work."""

    def __init__(self, resolver: pykka.ActorRef[Any]) -> None:
        self._resolver = resolver

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
        if request.path != ADDRESSES_PATH:
            return _error_response(404, f'no such path; ask {ADDRESSES_PATH}')
        if request.method != 'GET':
            return _error_response(405, 'only GET is served here')
        if 'work_kind' not in request.query:
            return _error_response(
                400, 'work_kind: missing; add ?work_kind=NAME'
            )
        result = self._resolver.ask(
            messages.FindAddresses(
                request.query['work_kind'],
                request.query.get('data_centre', ''),
            ),
            timeout=LOOKUP_TIMEOUT_S,
        )
        return _response(result)


def _response(result: messages.LookupResult) -> http_json.JsonResponse:
    match result:
        case messages.Addresses(addresses, keep_for_ms):
            return http_json.JsonResponse(
                200, {'addresses': addresses, 'keep_for_ms': keep_for_ms}
            )
        case messages.UnknownWorkKind(known):
            return _error_response(
                404, f'work_kind: not known; known are {", ".join(known)}'
            )
        case messages.Unavailable(reason):
            return _error_response(503, reason)


def _error_response(status: int, reason: str) -> http_json.JsonResponse:
    return http_json.JsonResponse(status, {'error': reason})
