"""Requests of callers and the responses to them, on top of WSGI."""

from collections.abc import Iterator
import dataclasses
import http
import select
import socket
from typing import Any

from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.backend import header_fields
from cardamomdeal.entry import errors
from cardamomdeal.entry import messages
from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import memory_budget
from cardamomdeal.internal import request_intake
from cardamomdeal.platform import credentials
from cardamomdeal.platform import wire
from cardamomdeal.workspaces import model as workspace_model

# The HTTP server stores the caller's socket, the memory of the bodies and the
# time at which the request began to arrive in the environ under these keys.
ENVIRON_SOCKET_KEY = 'cardamomdeal.socket'
ENVIRON_MEMORY_KEY = 'cardamomdeal.memory'
# Whether the caller sent several headers with a key; the last one is kept.
ENVIRON_IS_KEY_REPEATED = 'cardamomdeal.is_key_repeated'
ENVIRON_ARRIVED_KEY = 'cardamomdeal.arrived_at_ms'
ENVIRON_REQUEST_ID_KEY = 'HTTP_' + wire.REQUEST_ID.upper().replace('-', '_')


class BodyMemory:
    """Memory that the bodies of a request and of its response take.

    They are reserved apart: a server may have run a large upload, and its
    short response must find room whatever the upload takes.
    """

    def __init__(self, budget: memory_budget.MemoryBudget) -> None:
        self.request = memory_budget.Reservation(budget)
        self.response = memory_budget.Reservation(budget)

    def release(self) -> None:
        """Release both reservations."""
        self.request.reduce_to(0)
        self.response.reduce_to(0)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """Request of a caller with its complete body."""

    request_id: str
    method: str
    target: str
    hostname: str
    path: str
    deadline_ms: int | None
    credentials: workspace_model.Credentials
    headers: dict[str, str]
    body: body_buffer.Body
    memory: BodyMemory
    connection: socket.socket


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Response to a caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: body_buffer.Body

    @property
    def status_line(self) -> str:
        """Return the status code with its reason phrase."""
        try:
            return f'{self.status} {http.HTTPStatus(self.status).phrase}'
        except ValueError:
            return f'{self.status} Other'


class CallerDisconnectWatcher:
    """Detects that a caller disconnects while its request is served."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection

    def register(self, poller: select.poll) -> None:
        """Register the caller's connection for disconnect events."""
        # POLLIN would wake the poller continuously once the caller has sent
        # its next request.
        poller.register(self._connection, select.POLLRDHUP)

    def caller_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        poller = select.poll()
        poller.register(self._connection, select.POLLRDHUP)
        return bool(poller.poll(0))


def read_request_id(environ: dict[str, Any]) -> str:
    """Return the id of a request, or an empty string if it has none."""
    return environ.get(ENVIRON_REQUEST_ID_KEY, '')


def read_request(
    environ: dict[str, Any], max_body_bytes: int
) -> CallerRequest:
    """Read a request from its WSGI environment.

    Raise MalformedRequest, RequestBodyTooLarge, RequestBodyIncomplete,
    RequestBodyTimedOut or OutOfMemoryBudget.
    """
    headers = _parse_headers(environ)
    memory: BodyMemory = environ[ENVIRON_MEMORY_KEY]
    target = environ['REQUEST_URI']
    if isinstance(target, bytes):
        target = target.decode('latin-1')
    return CallerRequest(
        request_id=read_request_id(environ),
        method=environ['REQUEST_METHOD'],
        target=target,
        hostname=headers.get('Host', '').partition(':')[0],
        path=target.partition('?')[0],
        deadline_ms=_parse_deadline_ms(headers),
        credentials=credentials.read_credentials(
            headers.get(wire.AUTHORIZATION), environ[ENVIRON_IS_KEY_REPEATED]
        ),
        headers=headers,
        body=_read_body(environ, headers, max_body_bytes),
        memory=memory,
        connection=environ[ENVIRON_SOCKET_KEY],
    )


def forwarded_headers(
    request: CallerRequest, assigned: messages.Assigned, remaining_ms: int
) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward, with those of the assigned server."""
    # Names are compared as they arrive here: an underscore is a hyphen.
    replaced_names = {
        wire.WORKSPACE.lower(),
        wire.DEADLINE_MS.lower(),
        wire.EXPECTED_SERVER.lower(),
        'content-length',
        'expect',
    }
    if assigned.withholds_key:
        replaced_names.add(wire.AUTHORIZATION.lower())
    headers = [
        (name, value)
        for name, value in header_fields.end_to_end_headers(request.headers)
        if name.lower() not in replaced_names
    ]
    has_body = 'Transfer-Encoding' in request.headers or (
        'Content-Length' in request.headers
    )
    if has_body:
        headers.append(('Content-Length', str(request.body.size_bytes)))
    headers.append((wire.DEADLINE_MS, str(remaining_ms)))
    headers.append((wire.EXPECTED_SERVER, assigned.server.server_id))
    if assigned.workspace is not None:
        headers.append((wire.WORKSPACE, assigned.workspace))
    return tuple(headers)


def error_response(
    status: int,
    reason: str,
    request_id: str,
    retry_after_ms: int | None = None,
) -> Response:
    """Build the response to a request that could not be served."""
    body = reason.encode() + b'\n'
    headers = [
        ('Content-Type', 'text/plain; charset=utf-8'),
        ('Content-Length', str(len(body))),
    ]
    if request_id:
        headers.append((wire.REQUEST_ID, request_id))
    if status == http.HTTPStatus.UNAUTHORIZED:
        headers.append(('WWW-Authenticate', wire.KEY_SCHEME))
    if retry_after_ms is not None:
        headers.append(('Retry-After', f'{retry_after_ms / 1000:.3f}'))
    return Response(status, tuple(headers), body_buffer.Body((body,)))


def _parse_headers(environ: dict[str, Any]) -> dict[str, str]:
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


def _parse_deadline_ms(headers: dict[str, str]) -> int | None:
    value = headers.get(wire.DEADLINE_MS)
    if value is None:
        return None
    try:
        return max(0, int(float(value)))
    except ValueError:
        raise errors.MalformedRequest(
            f'{wire.DEADLINE_MS}: {value!r} is not a number of milliseconds'
        ) from None


def _read_body(
    environ: dict[str, Any],
    headers: dict[str, str],
    max_body_bytes: int,
) -> body_buffer.Body:
    has_transfer_encoding = 'Transfer-Encoding' in headers
    length = headers.get('Content-Length')
    if length is not None:
        if not (length.isascii() and length.isdigit()):
            raise errors.MalformedRequest(
                f'Content-Length: {length!r} is not a number of bytes'
            )
        if has_transfer_encoding:
            raise errors.MalformedRequest(
                'Content-Length and Transfer-Encoding: send only one'
            )
        if int(length) > max_body_bytes:
            raise errors.RequestBodyTooLarge(
                f'the limit is {max_body_bytes} bytes'
            )
    if not has_transfer_encoding and not int(length or 0):
        return body_buffer.Body()
    body = body_buffer.collect(
        _read_chunks(environ['wsgi.input'], max_body_bytes)
    )
    if length is not None and body.size_bytes < int(length):
        raise backend_errors.RequestBodyIncomplete(
            f'{int(length) - body.size_bytes} bytes are missing'
        )
    return body


def _read_chunks(body_stream: Any, max_body_bytes: int) -> Iterator[bytes]:
    received_bytes = 0
    while True:
        try:
            chunk = body_stream.read(body_buffer.PART_BYTES)
        except request_intake.RequestCut as cut:
            raise _body_error(cut.reason) from cut
        except (OSError, ValueError) as error:
            raise backend_errors.RequestBodyIncomplete(str(error)) from error
        if not chunk:
            return
        received_bytes += len(chunk)
        if received_bytes > max_body_bytes:
            raise errors.RequestBodyTooLarge(
                f'the limit is {max_body_bytes} bytes'
            )
        yield chunk


def _body_error(reason: request_intake.CutReason) -> Exception:
    match reason:
        case request_intake.TooLarge():
            return errors.RequestBodyTooLarge('the body exceeds the limit')
        case request_intake.NoMemory(detail):
            return errors.OutOfMemoryBudget(f'no memory left: {detail}')
        case request_intake.TimedOut():
            return errors.RequestBodyTimedOut('the body stopped arriving')
        case _:
            return backend_errors.RequestBodyIncomplete(str(reason))
