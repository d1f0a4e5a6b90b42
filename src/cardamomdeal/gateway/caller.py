"""Caller's side of a request: reading it and answering it."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import http
import json
import secrets
from typing import Any

from cardamomdeal.backend import connection
from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.backend import responses
from cardamomdeal.gateway import errors
from cardamomdeal.routing import outcomes

OUTCOME = 'Request-Outcome'
TENANT = 'Tenant'
DEFAULT_TENANT = 'none'
MAX_NAME_CHARACTERS = 64
REPLAY_BYTES = 1024**2


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
    length = headers.get('Content-Length', '')
    body_bytes = int(length) if length.isdigit() else None
    path = environ['PATH_INFO'].encode('latin-1').decode('utf-8', 'replace')
    return CallerRequest(
        request_id=_name_in(headers, responses.REQUEST_ID)
        or secrets.token_hex(12),
        tenant=_name_in(headers, TENANT) or DEFAULT_TENANT,
        method=environ['REQUEST_METHOD'],
        path=path,
        target=environ['REQUEST_URI'],
        headers=headers,
        body_bytes=body_bytes,
        has_body=_is_chunked(headers) or bool(body_bytes),
        reader=environ['wsgi.input'],
    )


def refuse_malformed(request: CallerRequest) -> Reply | None:
    """Refuse a request whose end two readers could see differently."""
    length = request.headers.get('Content-Length')
    if length is None:
        return None
    if not (length.isascii() and length.isdigit()):
        reason = f'Content-Length: {length!r} is not a number of bytes'
    elif _is_chunked(request.headers):
        reason = 'Content-Length and Transfer-Encoding: send only one'
    else:
        return None
    return failure(400, outcomes.Outcome.NOT_RUN, reason, request.request_id)


def read_body(request: CallerRequest, max_body_bytes: int) -> Iterator[bytes]:
    """Yield the body; raise RequestBodyIncomplete or RequestBodyTooLarge."""
    size = 0
    while request.body_bytes is None or size < request.body_bytes:
        chunk = _read_chunk(request, size)
        if not chunk:
            break
        size += len(chunk)
        if size > max_body_bytes:
            raise errors.RequestBodyTooLarge(
                f'the limit is {max_body_bytes} bytes'
            )
        yield chunk
    if request.body_bytes is not None and size < request.body_bytes:
        raise backend_errors.RequestBodyIncomplete(
            f'{request.body_bytes - size} bytes are missing'
        )


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
        (responses.REQUEST_ID, request_id),
    ]
    if retry_after_ms is not None:
        headers.append(('Retry-After', str(-(-retry_after_ms // 1000))))
    if allowed:
        headers.append(('Allow', ', '.join(allowed)))
    return Reply(status, headers, [body])


def _read_chunk(request: CallerRequest, size: int) -> bytes:
    wanted = connection.CHUNK_BYTES
    if request.body_bytes is not None:
        wanted = min(wanted, request.body_bytes - size)
    try:
        return request.reader.read(wanted)
    except (OSError, ValueError) as error:
        raise backend_errors.RequestBodyIncomplete(str(error)) from error


def _is_chunked(headers: dict[str, str]) -> bool:
    return 'Transfer-Encoding' in headers


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
