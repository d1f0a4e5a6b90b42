"""HTTP server towards callers."""

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import logging
import queue
import threading
from typing import Any

from cheroot import server as cheroot_server
from cheroot import wsgi

from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.entry import caller
from cardamomdeal.entry import errors
from cardamomdeal.entry import forwarding
from cardamomdeal.entry import pipeline
from cardamomdeal.fleet import model
from cardamomdeal.internal import clock
from cardamomdeal.internal import refusals
from cardamomdeal.settings import model as settings_model

# An entry host sees a few requests a second, each a second long at worst;
# this carries the load of five hosts that are gone.
THREADS = 64
QUEUED_CONNECTIONS = 256
QUEUE_TIMEOUT_S = 0.05
# In force until a configuration states the operators' own.
DEFAULT_LIMITS = model.Limits(
    max_header_bytes=64 * 1024,
    max_body_bytes=64 * 1024**2,
    header_timeout_ms=10_000,
    idle_timeout_ms=20_000,
)
# Bounds the memory that bodies take, whatever a configuration allows.
MAX_BODY_BYTES = 64 * 1024**2
# A caller may send on an idle connection until the limit is over, and what
# it sent is on its way for a while.
IDLE_MARGIN_MS = 2_000
MAX_IDLE_CONNECTIONS = 3_000

log = logging.getLogger(__name__)
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Application:
    """Turn WSGI calls into forwarded requests."""

    def __init__(
        self, forwarder: forwarding.Forwarder, time: clock.Clock
    ) -> None:
        self._forwarder = forwarder
        self._time = time
        self.leaving = threading.Event()
        self._limits = DEFAULT_LIMITS
        self._server: CallerServer | None = None

    def serve_with(self, server: 'CallerServer') -> None:
        """Name the server that runs this application."""
        self._server = server
        self.use_limits(self._limits)

    def use_limits(self, limits: model.Limits) -> None:
        """Bound what callers send from now on."""
        self._limits = limits
        if self._server is not None:
            self._server.max_request_header_size = limits.max_header_bytes
            self._server.header_timeout_s = limits.header_timeout_ms / 1000
            idle_ms = limits.idle_timeout_ms + IDLE_MARGIN_MS
            self._server.timeout = idle_ms / 1000

    def leave(self) -> None:
        """Ask callers to close their connections from now on."""
        self.leaving.set()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        # Decided first: callers send what they had sent behind an answer
        # that closes the connection again, so it must be the last one.
        closes = self.leaving.is_set()
        reply = self._serve(environ)
        headers = list(reply.headers)
        if closes:
            headers.append(('Connection', 'close'))
        start_response(reply.status_line, headers)
        return [reply.body]

    def _serve(self, environ: dict[str, Any]) -> caller.Reply:
        arrived_at_ms = self._time.now_ms()
        request_id = ''
        try:
            request = caller.read_request(
                environ, min(MAX_BODY_BYTES, self._limits.max_body_bytes)
            )
            request_id = request.request_id
            return self._forwarder.serve(request, arrived_at_ms)
        except (
            errors.MalformedRequest,
            backend_errors.RequestBodyIncomplete,
        ) as e:
            return caller.failure(400, str(e), request_id)
        except errors.BodyTooLarge as error:
            return caller.failure(413, str(error), request_id)
        except Exception:
            log.exception('request failed', extra={'request_id': request_id})
            return caller.failure(500, 'internal error', request_id)


class _Gateway(wsgi.Gateway_10):
    """Hand the caller's socket to the application."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[caller.ENVIRON_SOCKET] = self.req.conn.socket
        return environ


class _Connection(cheroot_server.HTTPConnection):
    """Serve the requests of a connection side by side."""

    # Whether the connection has been waited on for its first request.
    waited = False

    def communicate(self) -> bool:
        """Serve what has arrived; return if the connection stays open."""
        try:
            return pipeline.Pipeline(self, self.server.workers).run()
        except OSError as error:
            log.info('caller lost', extra={'reason': str(error)})
            return False


class CallerServer(wsgi.Server):
    """Give threads to connections that have sent something only."""

    ConnectionClass = _Connection
    # Time for the head of a request to arrive.
    header_timeout_s = DEFAULT_LIMITS.header_timeout_ms / 1000

    def prepare(self) -> None:
        """Listen and start the threads."""
        self.workers = futures.ThreadPoolExecutor(THREADS)
        super().prepare()
        self._refusals = refusals.RefusalTask((('Retry-After', '0.5'),))
        self._refusals.start()

    def process_conn(self, conn: _Connection) -> None:
        """Queue a connection that has a request, or refuse it."""
        if not conn.waited:
            # A caller that connects and sends nothing would hold a thread.
            conn.waited = True
            self.put_conn(conn)
            return
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refusals.refuse(conn)

    def stop(self) -> None:
        """Stop listening and let requests in flight end."""
        super().stop()
        self._refusals.stop()


def build_server(
    settings: settings_model.EntrySettings, application: Application
) -> CallerServer:
    """Build the server that runs the application; it is not started."""
    built = CallerServer(
        (settings.callers.host, settings.callers.port),
        application,
        numthreads=THREADS,
        max=THREADS,
        request_queue_size=QUEUED_CONNECTIONS,
        shutdown_timeout=settings.bounds.stop_grace_ms / 1000,
        accepted_queue_size=QUEUED_CONNECTIONS,
        accepted_queue_timeout=QUEUE_TIMEOUT_S,
    )
    built.gateway = _Gateway
    built.leaving = application.leaving
    built.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    application.serve_with(built)
    built.server_name = 'cardamomdeal'
    return built
