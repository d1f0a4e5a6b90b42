"""Requests of callers and the responses to them, on top of WSGI."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import http
import json
import secrets
from typing import Any

from cardamomdeal.backend import connection
from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.backend import header_fields
from cardamomdeal.gateway import errors
from cardamomdeal.routing import outcomes

OUTCOME_HEADER = 'Request-Outcome'
TENANT_HEADER = 'Tenant'
DEFAULT_TENANT = 'none'
MAX_IDENTIFIER_CHARACTERS = 64
MAX_REPLAYABLE_BODY_BYTES = 1024**2


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """Request of a caller whose body has not been read yet."""

    request_id: str
    tenant: str
    method: str
    path: str
    target: str
    headers: dict[str, str]
    body_bytes: int | None
    has_body: bool
    body_stream: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Response to a caller."""

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]

    @property
    def status_line(self) -> str:
        """Return the status code with its reason phrase."""
        try:
            return f'{self.status} {http.HTTPStatus(self.status).phrase}'
        except ValueError:
            return f'{self.status} Other'


def read_request(environ: dict[str, Any]) -> CallerRequest:
    """Read a request from its WSGI environment."""
    headers = _read_headers(environ)
    length = headers.get('Content-Length', '')
    body_bytes = int(length) if length.isdigit() else None
    path = environ['PATH_INFO'].encode('latin-1').decode('utf-8', 'replace')
    return CallerRequest(
        request_id=_read_identifier(headers, header_fields.REQUEST_ID)
        or secrets.token_hex(12),
        tenant=_read_identifier(headers, TENANT_HEADER) or DEFAULT_TENANT,
        method=environ['REQUEST_METHOD'],
        path=path,
        target=environ['REQUEST_URI'],
        headers=headers,
        body_bytes=body_bytes,
        has_body=_has_transfer_encoding(headers) or bool(body_bytes),
        body_stream=environ['wsgi.input'],
    )


def reject_malformed(request: CallerRequest) -> Response | None:
    """Return a 400 response if the length of the body is ambiguous.

    A backend server that finds another end of the request than the gateway
    could read part of the body as a new request (request smuggling).
    """
    length = request.headers.get('Content-Length')
    if length is None:
        return None
    if not (length.isascii() and length.isdigit()):
        reason = f'Content-Length: {length!r} is not a number of bytes'
    elif _has_transfer_encoding(request.headers):
        reason = 'Content-Length and Transfer-Encoding: send only one'
    else:
        return None
    return error_response(
        400, outcomes.Outcome.NOT_RUN, reason, request.request_id
    )


def read_body(request: CallerRequest, max_body_bytes: int) -> Iterator[bytes]:
    """Yield the chunks of the body.

    Raise RequestBodyIncomplete or RequestBodyTooLarge.
    """
    received_bytes = 0
    while request.body_bytes is None or received_bytes < request.body_bytes:
        chunk = _read_chunk(request, received_bytes)
        if not chunk:
            break
        received_bytes += len(chunk)
        if received_bytes > max_body_bytes:
            raise errors.RequestBodyTooLarge(
                f'the limit is {max_body_bytes} bytes'
            )
        yield chunk
    if request.body_bytes is not None and received_bytes < request.body_bytes:
        raise backend_errors.RequestBodyIncomplete(
            f'{request.body_bytes - received_bytes} bytes are missing'
        )


def error_response(
    status: int,
    outcome: outcomes.Outcome,
    reason: str,
    request_id: str,
    retry_after_ms: int | None = None,
    allowed_methods: tuple[str, ...] = (),
) -> Response:
    """Build the response to a request that could not be served."""
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
        (OUTCOME_HEADER, outcome.value),
        (header_fields.REQUEST_ID, request_id),
    ]
    if retry_after_ms is not None:
        headers.append(('Retry-After', str(-(-retry_after_ms // 1000))))
    if allowed_methods:
        headers.append(('Allow', ', '.join(allowed_methods)))
    return Response(status, headers, [body])


def _read_chunk(request: CallerRequest, received_bytes: int) -> bytes:
    chunk_bytes = connection.CHUNK_BYTES
    if request.body_bytes is not None:
        chunk_bytes = min(chunk_bytes, request.body_bytes - received_bytes)
    try:
        return request.body_stream.read(chunk_bytes)
    except (OSError, ValueError) as error:
        raise backend_errors.RequestBodyIncomplete(str(error)) from error


def _has_transfer_encoding(headers: dict[str, str]) -> bool:
    return 'Transfer-Encoding' in headers


def _read_headers(environ: dict[str, Any]) -> dict[str, str]:
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


def _read_identifier(headers: dict[str, str], name: str) -> str:
    value = headers.get(name, '')
    if len(value) > MAX_IDENTIFIER_CHARACTERS or not value.isprintable():
        return ''
    return value
