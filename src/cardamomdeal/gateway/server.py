"""HTTP server of the gateway for its callers."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import queue
import threading
from typing import Any

from cheroot import server as cheroot_server
from cheroot import wsgi

from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.gateway import caller
from cardamomdeal.gateway import errors
from cardamomdeal.gateway import forwarding
from cardamomdeal.internal import closing_task
from cardamomdeal.internal import http_server
from cardamomdeal.internal import refusals
from cardamomdeal.routing import outcomes
from cardamomdeal.settings import model

MAX_HEADER_BYTES = 64 * 1024
QUEUED_CONNECTIONS_PER_THREAD = 2
INTERNAL_ERROR_STATUS = '500'

log = logging.getLogger(__name__)
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Application:
    """WSGI application that forwards requests to backend servers."""

    def __init__(self, forwarder: forwarding.Forwarder) -> None:
        self._forwarder = forwarder
        self._keep_alive_disabled = threading.Event()

    def disable_keep_alive(self) -> None:
        """Send `Connection: close` with every response from now on."""
        self._keep_alive_disabled.set()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request."""
        request = caller.read_request(environ)
        response = caller.reject_malformed(request) or self._serve(request)
        headers = list(response.headers)
        if self._keep_alive_disabled.is_set():
            headers.append(('Connection', 'close'))
        start_response(response.status_line, headers)
        return response.body

    def _serve(self, request: caller.CallerRequest) -> caller.Response:
        try:
            return self._forwarder.serve(request)
        except backend_errors.RequestBodyIncomplete as error:
            return caller.error_response(
                400,
                outcomes.Outcome.NOT_RUN,
                f'the request body was cut short: {error}',
                request.request_id,
            )
        except errors.RequestBodyTooLarge as error:
            return caller.error_response(
                413,
                outcomes.Outcome.NOT_RUN,
                f'the request body is too large: {error}',
                request.request_id,
            )
        except Exception:
            log.exception(
                'internal error while serving request',
                extra={'request_id': request.request_id},
            )
            return caller.error_response(
                500,
                outcomes.Outcome.UNKNOWN,
                'internal error',
                request.request_id,
            )


class _HttpRequest(http_server.Request):
    """HTTP request whose error responses from cheroot state an outcome."""

    def simple_response(self, status: str, msg: str = '') -> None:
        # Cheroot sends all its other error responses before it passes the
        # request to the application, so the request has not been run.
        outcome = outcomes.Outcome.NOT_RUN
        if status.startswith(INTERNAL_ERROR_STATUS):
            outcome = outcomes.Outcome.UNKNOWN
        body = (msg or status).encode()
        lines = [
            f'{self.server.protocol} {status}',
            f'Content-Length: {len(body)}',
            'Content-Type: text/plain',
            f'{caller.OUTCOME_HEADER}: {outcome.value}',
            'Connection: close',
            '',
            '',
        ]
        self.close_connection = True
        head = '\r\n'.join(lines).encode('latin-1')
        self.conn.wfile.write(head + body)


class _HttpConnection(http_server.Connection):
    RequestHandlerClass = _HttpRequest


class GatewayServer(wsgi.Server):
    """HTTP server that refuses connections for which no thread is free.

    The response states that the request was not run.
    """

    def prepare(self) -> None:
        """Listen and start the threads."""
        super().prepare()
        self._closing = closing_task.ClosingTask()
        self._refuser = refusals.Refuser(
            (
                (caller.OUTCOME_HEADER, outcomes.Outcome.NOT_RUN.value),
                ('Retry-After', '1'),
            ),
            self._closing,
        )

    def process_conn(self, conn: cheroot_server.HTTPConnection) -> None:
        """Queue a readable connection; refuse it if the queue is full."""
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refuser.refuse(conn)

    def stop(self) -> None:
        """Stop listening and wait for the requests in flight."""
        super().stop()
        self._closing.stop()


def build_server(
    settings: model.GatewaySettings, application: Application
) -> GatewayServer:
    """Build the HTTP server of the application without starting it."""
    server = GatewayServer(
        (settings.listen.host, settings.listen.port),
        application,
        numthreads=settings.threads,
        max=settings.threads,
        request_queue_size=settings.threads * 4,
        timeout=settings.caller_timeout_ms / 1000,
        shutdown_timeout=settings.stop_timeout_ms / 1000,
        accepted_queue_size=(settings.threads * QUEUED_CONNECTIONS_PER_THREAD),
        # The thread that accepts connections would wait before each refusal.
        accepted_queue_timeout=0,
    )
    server.ConnectionClass = _HttpConnection
    server.gateway = http_server.Gateway
    server.max_request_header_size = MAX_HEADER_BYTES
    server.server_name = 'cardamomdeal'
    return server
