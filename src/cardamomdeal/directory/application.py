"""HTTP API of the directory."""

from typing import Any

import pykka

from cardamomdeal.directory import messages
from cardamomdeal.internal import http_json

LOOKUP_TIMEOUT_S = 2.0
ADDRESSES_PATH = '/addresses'


class Application:
    """WSGI application that serves gateway addresses by kind of work."""

    def __init__(self, lookup: pykka.ActorRef[Any]) -> None:
        self._lookup = lookup

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: http_json.StartResponse,
    ) -> list[bytes]:
        """Handle one request."""
        request = http_json.read_request(environ)
        return http_json.send_reply(self._serve(request), start_response)

    def _serve(self, request: http_json.JsonRequest) -> http_json.JsonReply:
        if request.path != ADDRESSES_PATH:
            return _error(404, f'no such path; ask {ADDRESSES_PATH}')
        if request.method != 'GET':
            return _error(405, 'only GET is served here')
        if 'work_kind' not in request.query:
            return _error(400, 'work_kind: missing; add ?work_kind=NAME')
        result = self._lookup.ask(
            messages.FindAddresses(
                request.query['work_kind'],
                request.query.get('data_centre', ''),
            ),
            timeout=LOOKUP_TIMEOUT_S,
        )
        return _result_reply(result)


def _result_reply(result: messages.Result) -> http_json.JsonReply:
    match result:
        case messages.Addresses(addresses, keep_for_ms):
            return http_json.JsonReply(
                200, {'addresses': addresses, 'keep_for_ms': keep_for_ms}
            )
        case messages.UnknownWorkKind(known):
            return _error(
                404, f'work_kind: not known; known are {", ".join(known)}'
            )
        case messages.Unavailable(reason):
            return _error(503, reason)


def _error(status: int, reason: str) -> http_json.JsonReply:
    return http_json.JsonReply(status, {'error': reason})
