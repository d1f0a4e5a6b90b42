"""Task that runs an HTTP server."""

import logging
import threading

from cheroot import server as cheroot_server

from cardamomdeal.internal import errors

log = logging.getLogger(__name__)


class ListenFailed(errors.CardamomdealError):
    """The configured address cannot be listened on."""


class ServerTask(threading.Thread):
    """Task that owns an HTTP server's socket and accepts connections."""

    def __init__(self, server: cheroot_server.HTTPServer) -> None:
        """Bind and listen; raise ListenFailed if that is not possible."""
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
        """Accept connections until `finish` stops the server."""
        self._server.serve()

    def finish(self) -> None:
        """Stop listening and wait for requests in flight to complete."""
        self._server.stop()
        self.join()


def _log_server_error(
    msg: str = '', level: int = logging.INFO, traceback: bool = False
) -> None:
    log.log(level, 'HTTP server error', extra={'reason': msg})
    log.debug('traceback', exc_info=traceback)
