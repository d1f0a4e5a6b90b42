"""HTTP server of an entry host for its callers."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import threading
from typing import Any

from cardamomdeal.backend import errors as backend_errors
from cardamomdeal.entry import caller
from cardamomdeal.entry import errors
from cardamomdeal.entry import forwarding
from cardamomdeal.entry import pipeline
from cardamomdeal.fleet import model
from cardamomdeal.internal import clock
from cardamomdeal.internal import http_server
from cardamomdeal.internal import memory_budget
from cardamomdeal.internal import polled_connection
from cardamomdeal.internal import polled_server
from cardamomdeal.internal import refusals
from cardamomdeal.internal import request_intake
from cardamomdeal.internal import thread_pool
from cardamomdeal.platform import wire
from cardamomdeal.settings import model as settings_model

# An entry host receives a few requests per second, each taking a second at
# worst; so many can take over the load of five hosts that are down. Each
# connection and each of its requests takes a thread.
MAX_THREADS = 64
# Connections that wait for a thread: those that would wait for seconds are
# refused at once.
MAX_QUEUED_CONNECTIONS = 32
MAX_UNACCEPTED_CONNECTIONS = 256
# Requests of connections that are being served never wait for long.
MAX_QUEUED_REQUESTS = 64 * 16
# Used until a configuration with the operators' limits is received.
DEFAULT_LIMITS = model.Limits(
    max_header_bytes=64 * 1024,
    max_body_bytes=64 * 1024**2,
    header_timeout_ms=10_000,
    idle_timeout_ms=20_000,
)
# Bounds the memory used by bodies, whatever limit a configuration sets.
MAX_BODY_BYTES = 64 * 1024**2
# A caller may send on an idle connection until the idle timeout ends, and the
# request takes some time to arrive.
IDLE_MARGIN_MS = 2_000
MAX_IDLE_CONNECTIONS = 3_000
# Share of the process's memory for bodies, with the reserve for small ones;
# the rest is for the program, its threads, its view of the fleet and idle
# connections.
BODIES_MEMORY_SHARE = 0.56
# Another host is likely to have room at once.
NO_MEMORY_RETRY_AFTER_MS = 200

log = logging.getLogger(__name__)
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Application:
    """WSGI application that forwards requests to backend servers."""

    def __init__(
        self, forwarder: forwarding.Forwarder, time: clock.Clock
    ) -> None:
        self._forwarder = forwarder
        self._time = time
        self.keep_alive_disabled = threading.Event()
        self._limits = DEFAULT_LIMITS
        self._server: CallerServer | None = None

    def attach_server(self, server: 'CallerServer') -> None:
        """Set the server that runs this application and its limits."""
        self._server = server
        self.set_limits(self._limits)

    def set_limits(self, limits: model.Limits) -> None:
        """Apply new limits to callers' requests and connections."""
        self._limits = limits
        if self._server is not None:
            self._server.max_request_header_size = limits.max_header_bytes
            self._server.intake_limits = request_intake.Limits(
                limits.max_header_bytes, self._max_body_bytes()
            )
            self._server.header_timeout_s = limits.header_timeout_ms / 1000
            idle_ms = limits.idle_timeout_ms + IDLE_MARGIN_MS
            self._server.timeout = idle_ms / 1000

    def disable_keep_alive(self) -> None:
        """Close connections after the next request that is read on them."""
        self.keep_alive_disabled.set()

    def _max_body_bytes(self) -> int:
        return min(MAX_BODY_BYTES, self._limits.max_body_bytes)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        response = self._serve(environ)
        # The request body is not held any more.
        environ[caller.ENVIRON_MEMORY_KEY].request.reduce_to(0)
        start_response(response.status_line, list(response.headers))
        return response.body.parts

    def _serve(self, environ: dict[str, Any]) -> caller.Response:
        arrived_at_ms = environ[caller.ENVIRON_ARRIVED_KEY]
        request_id = caller.read_request_id(environ)
        try:
            request = caller.read_request(environ, self._max_body_bytes())
            return self._forwarder.serve(request, arrived_at_ms)
        except (
            errors.MalformedRequest,
            backend_errors.RequestBodyIncomplete,
        ) as error:
            return caller.error_response(400, str(error), request_id)
        except errors.OutOfMemoryBudget as error:
            log.warning(
                'request body refused',
                extra={
                    'request_id': request_id,
                    'reason': str(error),
                },
            )
            return caller.error_response(
                503, str(error), request_id, NO_MEMORY_RETRY_AFTER_MS
            )
        except errors.RequestBodyTimedOut as error:
            return caller.error_response(408, str(error), request_id)
        except errors.RequestBodyTooLarge as error:
            return caller.error_response(413, str(error), request_id)
        except Exception:
            log.exception(
                'internal error while serving request',
                extra={'request_id': request_id},
            )
            return caller.error_response(500, 'internal error', request_id)


class _SocketGateway(http_server.Gateway):
    """WSGI gateway that adds what the library does not keep in the environ."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[caller.ENVIRON_SOCKET_KEY] = self.req.conn.socket
        environ[caller.ENVIRON_MEMORY_KEY] = self.req.conn.memory
        environ[caller.ENVIRON_IS_KEY_REPEATED] = self.req.is_repeated(
            wire.AUTHORIZATION
        )
        environ[caller.ENVIRON_ARRIVED_KEY] = self.req.conn.rfile.started_at_ms
        return environ


class _Connection(polled_connection.PolledConnection):
    """Connection that serves its pipelined requests concurrently."""

    def communicate(self) -> bool:
        """Serve the requests received; return whether to stay open."""
        try:
            return pipeline.Pipeline(
                self, self.server.workers, self.server.budget
            ).run()
        except OSError as error:
            log.info('caller connection lost', extra={'reason': str(error)})
            self.discard_unsent()
            return False


class CallerServer(polled_server.PolledServer):
    """Server that serves pipelined requests side by side."""

    ConnectionClass = _Connection
    # Time within which the head of a request must arrive.
    header_timeout_s = DEFAULT_LIMITS.header_timeout_ms / 1000

    def prepare(self) -> None:
        """Open the listening socket."""
        self.workers = thread_pool.ElasticThreadPool(
            thread_pool.PoolSettings(
                'requests', MAX_THREADS, MAX_QUEUED_REQUESTS
            )
        )
        self._refuser = refusals.Refuser(
            (('Retry-After', '0.5'),), self.closing
        )
        super().prepare()

    def must_close_connections(self) -> bool:
        """Return whether a request read now is the last on its connection."""
        return (
            self.keep_alive_disabled.is_set()
            or not super().can_add_keepalive_connection
        )

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Keep the library from closing a connection after a response.

        It decides when it writes the response, although requests behind it may
        have been read and passed on; see `must_close_connections`.
        """
        return True

    def refuse(self, conn: polled_connection.PolledConnection) -> None:
        """Respond that the request was not run, and close."""
        self._refuser.refuse(conn)


def build_server(
    settings: settings_model.EntrySettings, application: Application
) -> CallerServer:
    """Build the HTTP server of the application without starting it."""
    server = CallerServer(
        settings.callers,
        application,
        thread_pool.ElasticThreadPool(
            thread_pool.PoolSettings(
                'connections', MAX_THREADS, MAX_QUEUED_CONNECTIONS
            )
        ),
        request_queue_size=MAX_UNACCEPTED_CONNECTIONS,
        shutdown_timeout=settings.bounds.stop_grace_ms / 1000,
    )
    server.gateway = _SocketGateway
    server.budget = memory_budget.MemoryBudget(
        round(settings.memory_mb * 1_000_000 * BODIES_MEMORY_SHARE)
        - memory_budget.SMALL_BODIES_RESERVE_BYTES
    )
    server.keep_alive_disabled = application.keep_alive_disabled
    server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    application.attach_server(server)
    server.server_name = 'cardamomdeal'
    return server
