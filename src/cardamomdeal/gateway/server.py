"""Gateway's HTTP server towards callers."""

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
from cardamomdeal.internal import refusals
from cardamomdeal.routing import outcomes
from cardamomdeal.settings import model

MAX_HEADER_BYTES = 64 * 1024
QUEUED_CONNECTIONS_PER_THREAD = 2
QUEUE_TIMEOUT_S = 0.05
INTERNAL_ERROR = '500'

log = logging.getLogger(__name__)
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Application:
    """Turn WSGI calls into forwarded requests."""

    def __init__(self, forwarder: forwarding.Forwarder) -> None:
        self._forwarder = forwarder
        self._leaving = threading.Event()

    def leave(self) -> None:
        """Ask callers to close their connections from now on."""
        self._leaving.set()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        request = caller.read_request(environ)
        reply = caller.refuse_malformed(request) or self._serve(request)
        headers = list(reply.headers)
        if self._leaving.is_set():
            headers.append(('Connection', 'close'))
        start_response(reply.status_line, headers)
        return reply.body

    def _serve(self, request: caller.CallerRequest) -> caller.Reply:
        try:
            return self._forwarder.serve(request)
        except backend_errors.RequestBodyIncomplete as error:
            return caller.failure(
                400,
                outcomes.Outcome.NOT_RUN,
                f'the request body was cut short: {error}',
                request.request_id,
            )
        except errors.RequestBodyTooLarge as error:
            return caller.failure(
                413,
                outcomes.Outcome.NOT_RUN,
                f'the request body is too large: {error}',
                request.request_id,
            )
        except Exception:
            log.exception(
                'request failed', extra={'request_id': request.request_id}
            )
            return caller.failure(
                500,
                outcomes.Outcome.UNKNOWN,
                'internal error',
                request.request_id,
            )


class _CallerRequest(cheroot_server.HTTPRequest):
    """Say in the server's own error answers whether the work was run."""

    def simple_response(self, status: str, msg: str = '') -> None:
        # Every other answer of the server itself comes before it hands a
        # request to the application.
        outcome = outcomes.Outcome.NOT_RUN
        if status.startswith(INTERNAL_ERROR):
            outcome = outcomes.Outcome.UNKNOWN
        body = (msg or status).encode()
        lines = [
            f'{self.server.protocol} {status}',
            f'Content-Length: {len(body)}',
            'Content-Type: text/plain',
            f'{caller.OUTCOME}: {outcome.value}',
            'Connection: close',
            '',
            '',
        ]
        self.close_connection = True
        head = '\r\n'.join(lines).encode('latin-1')
        self.conn.wfile.write(head + body)


class _CallerConnection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _CallerRequest


class GatewayServer(wsgi.Server):
    """Refuse truthfully what there is no thread for."""

    def prepare(self) -> None:
        """Listen and start the threads."""
        super().prepare()
        self._refusals = refusals.RefusalTask(
            (
                (caller.OUTCOME, outcomes.Outcome.NOT_RUN.value),
                ('Retry-After', '1'),
            )
        )
        self._refusals.start()

    def process_conn(self, conn: cheroot_server.HTTPConnection) -> None:
        """Queue a connection that has a request, or refuse it."""
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refusals.refuse(conn)

    def stop(self) -> None:
        """Stop listening and let requests in flight end."""
        super().stop()
        self._refusals.stop()


def build_server(
    settings: model.GatewaySettings, application: Application
) -> GatewayServer:
    """Build the server that runs the application; it is not started."""
    built = GatewayServer(
        (settings.listen.host, settings.listen.port),
        application,
        numthreads=settings.threads,
        max=settings.threads,
        request_queue_size=settings.threads * 4,
        timeout=settings.caller_timeout_ms / 1000,
        shutdown_timeout=settings.stop_timeout_ms / 1000,
        accepted_queue_size=(settings.threads * QUEUED_CONNECTIONS_PER_THREAD),
        accepted_queue_timeout=QUEUE_TIMEOUT_S,
    )
    built.ConnectionClass = _CallerConnection
    built.max_request_header_size = MAX_HEADER_BYTES
    built.server_name = 'cardamomdeal'
    return built
