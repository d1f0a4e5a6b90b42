"""WSGI helpers for HTTP APIs that respond with JSON."""

from collections.abc import Callable
import dataclasses
import http
import json
from typing import Any
from urllib import parse

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class JsonRequest:
    """Request to a JSON API."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class JsonReply:
    """Response of a JSON API, before encoding."""

    status: int
    body: Any


def read_request(environ: dict[str, Any]) -> JsonRequest:
    """Read a request, including its body, from the WSGI environment."""
    return JsonRequest(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        query=dict(parse.parse_qsl(environ.get('QUERY_STRING', ''))),
        body=environ['wsgi.input'].read(
            int(environ.get('CONTENT_LENGTH') or 0)
        ),
    )


def send_reply(reply: JsonReply, start_response: StartResponse) -> list[bytes]:
    """Start the response and return its JSON body."""
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
