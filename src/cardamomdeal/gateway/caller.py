"""Caller's side of a request: reading it and answering it."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import http
import json
import secrets
from typing import Any

from cardamomdeal.backend import answers
from cardamomdeal.backend import connection
from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.routing import outcomes

OUTCOME = 'Request-Outcome'
TENANT = 'Tenant'
DEFAULT_TENANT = 'none'
MAX_NAME_CHARACTERS = 64
REPLAY_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold what the caller sent, its body still unread."""

    request_id: str
    tenant: str
    method: str
    path: str
    target: str
    headers: dict[str, str]
    body_bytes: int | None
    has_body: bool
    reader: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Hold an answer to the caller."""

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]

    @property
    def status_line(self) -> str:
        """Return the status with its standard phrase."""
        try:
            return f'{self.status} {http.HTTPStatus(self.status).phrase}'
        except ValueError:
            return f'{self.status} Other'


def read_request(environ: dict[str, Any]) -> CallerRequest:
    """Read a request from its WSGI environment."""
    headers = _headers(environ)
    chunked = 'chunked' in headers.get('Transfer-Encoding', '').lower()
    length = environ.get('CONTENT_LENGTH') or None
    body_bytes = None if chunked or length is None else int(length)
    path = environ['PATH_INFO'].encode('latin-1').decode('utf-8', 'replace')
    return CallerRequest(
        request_id=_name_in(headers, answers.REQUEST_ID)
        or secrets.token_hex(12),
        tenant=_name_in(headers, TENANT) or DEFAULT_TENANT,
        method=environ['REQUEST_METHOD'],
        path=path,
        target=environ['REQUEST_URI'],
        headers=headers,
        body_bytes=body_bytes,
        has_body=chunked or bool(body_bytes),
        reader=environ['wsgi.input'],
    )


def read_body(request: CallerRequest) -> Iterator[bytes]:
    """Yield the caller's body; raise RequestBodyLost if it is cut."""
    left = request.body_bytes
    while left is None or left > 0:
        chunk = _read_chunk(request, left)
        if not chunk:
            break
        if left is not None:
            left -= len(chunk)
        yield chunk
    if left:
        raise backend_errors.RequestBodyLost(f'{left} bytes are missing')


def failure(
    status: int,
    outcome: outcomes.Outcome,
    reason: str,
    request_id: str,
    retry_after_ms: int | None = None,
    allowed: tuple[str, ...] = (),
) -> Reply:
    """Build the answer to a request that the fleet could not serve."""
    body = json.dumps(
        {
            'outcome': outcome.value,
            'reason': reason,
            'request_id': request_id,
        }
    ).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
        (OUTCOME, outcome.value),
        (answers.REQUEST_ID, request_id),
    ]
    if retry_after_ms is not None:
        headers.append(('Retry-After', str(-(-retry_after_ms // 1000))))
    if allowed:
        headers.append(('Allow', ', '.join(allowed)))
    return Reply(status, headers, [body])


def _read_chunk(request: CallerRequest, left: int | None) -> bytes:
    wanted = connection.CHUNK_BYTES
    try:
        return request.reader.read(
            wanted if left is None else min(wanted, left)
        )
    except (OSError, ValueError) as error:
        raise backend_errors.RequestBodyLost(str(error)) from error


def _headers(environ: dict[str, Any]) -> dict[str, str]:
    headers = {
        key[5:].replace('_', '-').title(): value
        for key, value in environ.items()
        if key.startswith('HTTP_')
    }
    for key, name in (
        ('CONTENT_TYPE', 'Content-Type'),
        ('CONTENT_LENGTH', 'Content-Length'),
    ):
        if environ.get(key):
            headers[name] = environ[key]
    return headers


def _name_in(headers: dict[str, str], name: str) -> str:
    value = headers.get(name, '')
    if len(value) > MAX_NAME_CHARACTERS or not value.isprintable():
        return ''
    return value
