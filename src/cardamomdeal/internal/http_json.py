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
class JsonResponse:
    """Response of a JSON API, not yet encoded."""

    status: int
    body: Any


def read_request(environ: dict[str, Any]) -> JsonRequest:
    """Read a request, including its body, from the WSGI environment."""
    return JsonRequest(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        query=dict(parse.parse_qsl(environ.get('QUERY_STRING', ''))),
        body=_read_body(
            environ['wsgi.input'], int(environ.get('CONTENT_LENGTH') or 0)
        ),
    )


def send_response(
    response: JsonResponse, start_response: StartResponse
) -> list[bytes]:
    """Send the status and the headers, and return the encoded body."""
    body = json.dumps(response.body, ensure_ascii=False).encode() + b'\n'
    if response.status == http.HTTPStatus.NO_CONTENT:
        body = b''
    phrase = http.HTTPStatus(response.status).phrase
    start_response(
        f'{response.status} {phrase}',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return [body]


def _read_body(stream: Any, size_bytes: int) -> bytes:
    body = b''
    # Each part is read by itself.
    while len(body) < size_bytes:
        part = stream.read(size_bytes - len(body))
        if not part:
            break
        body += part
    return body
