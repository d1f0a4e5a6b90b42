"""Runs an HTTP server until its process is told to stop."""

import logging
import threading

from cheroot import server as cheroot_server

from cardamomdeal.internal import errors

log = logging.getLogger(__name__)


class ListenFailed(errors.CardamomdealError):
    """Report an address that could not be listened on."""


class ServerTask(threading.Thread):
    """Own an HTTP server's socket and accept connections on it."""

    def __init__(self, server: cheroot_server.HTTPServer) -> None:
        """Listen at once; raise ListenFailed when that fails."""
        super().__init__(name='http-server', daemon=True)
        self._server = server
        server.error_log = _log_server_error
        host, port = server.bind_addr
        try:
            server.prepare()
        except OSError as error:
            raise ListenFailed(
                f'cannot listen on {host}:{port}: {error}'
            ) from error

    def run(self) -> None:
        """Accept connections until the server is stopped."""
        self._server.serve()

    def finish(self) -> None:
        """Stop listening, let requests in flight end, and return."""
        self._server.stop()
        self.join()


def _log_server_error(
    msg: str = '', level: int = logging.INFO, traceback: bool = False
) -> None:
    log.log(level, 'connection failed', extra={'reason': msg})
    log.debug('traceback', exc_info=traceback)
