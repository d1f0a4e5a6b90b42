"""TCP relay that can drop the bytes of one direction of its connections."""

import socket
import threading

from cardamomdeal.internal import address

READ_BYTES = 64 * 1024


class Relay:
    """Relay between callers and one server.

    The directions are `to server` and `to caller`.
    """

    def __init__(
        self, listen: address.Address, server: address.Address
    ) -> None:
        self._server = server
        self._dropped_by_connection: list[set[str]] = []
        self._dropped_in_new_connections: set[str] = set()
        self._sockets: list[socket.socket] = []
        self.accepted_connections = 0
        self._listener = socket.create_server((listen.host, listen.port))
        threading.Thread(target=self._accept, daemon=True).start()

    def drop_in_open_connections(self, direction: str) -> None:
        """Drop all further bytes of the open connections in a direction."""
        for dropped_directions in self._dropped_by_connection:
            dropped_directions.add(direction)

    def drop_in_new_connections(self, direction: str) -> None:
        """Drop all bytes of future connections in a direction."""
        self._dropped_in_new_connections.add(direction)

    def close(self) -> None:
        """Close the listening socket and every connection."""
        for open_socket in (self._listener, *self._sockets):
            open_socket.close()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            self.accepted_connections += 1
            server = socket.create_connection(
                (self._server.host, self._server.port)
            )
            self._sockets += [caller, server]
            dropped_directions = set(self._dropped_in_new_connections)
            self._dropped_by_connection.append(dropped_directions)
            for direction, source, destination in (
                ('to server', caller, server),
                ('to caller', server, caller),
            ):
                threading.Thread(
                    target=self._forward,
                    args=(source, destination, direction, dropped_directions),
                    daemon=True,
                ).start()

    def _forward(
        self,
        source: socket.socket,
        destination: socket.socket,
        direction: str,
        dropped_directions: set[str],
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if direction not in dropped_directions:
                    destination.sendall(data)
            if direction not in dropped_directions:
                destination.shutdown(socket.SHUT_WR)
        except OSError:
            return
