"""JSON answers for the small HTTP interfaces."""

from collections.abc import Callable
import dataclasses
import http
import json
from typing import Any
from urllib import parse

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class JsonRequest:
    """Hold a request to a JSON interface."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class JsonReply:
    """Hold the answer of a JSON interface."""

    status: int
    body: Any


def read(environ: dict[str, Any]) -> JsonRequest:
    """Read a whole request from its WSGI environment."""
    return JsonRequest(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        query=dict(parse.parse_qsl(environ.get('QUERY_STRING', ''))),
        body=environ['wsgi.input'].read(
            int(environ.get('CONTENT_LENGTH') or 0)
        ),
    )


def send(reply: JsonReply, start_response: StartResponse) -> list[bytes]:
    """Send an answer."""
    body = json.dumps(reply.body, ensure_ascii=False).encode() + b'\n'
    if reply.status == http.HTTPStatus.NO_CONTENT:
        body = b''
    phrase = http.HTTPStatus(reply.status).phrase
    start_response(
        f'{reply.status} {phrase}',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return [body]
