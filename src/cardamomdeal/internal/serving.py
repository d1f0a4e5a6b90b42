"""Runs an HTTP server until its process is told to stop."""

import threading

from cheroot import server as cheroot_server

from cardamomdeal import errors


class ListenFailed(errors.CardamomdealError):
    """Report an address that could not be listened on."""


class ServerTask(threading.Thread):
    """Own an HTTP server's socket and accept connections on it."""

    def __init__(self, server: cheroot_server.HTTPServer) -> None:
        """Listen at once; raise ListenFailed when that fails."""
        super().__init__(name='http-server', daemon=True)
        self._server = server
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
