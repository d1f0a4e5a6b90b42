"""TCP relay whose connections can go silent in one direction."""

import socket
import threading

from cardamomdeal.internal import address

READ_BYTES = 64 * 1024


class Relay:
    """Pass bytes on between callers and one server."""

    def __init__(
        self, listen: address.Address, server: address.Address
    ) -> None:
        self._server = server
        self._muted: list[set[str]] = []
        self._mute_new: set[str] = set()
        self._sockets: list[socket.socket] = []
        self.accepted = 0
        self._listener = socket.create_server((listen.host, listen.port))
        threading.Thread(target=self._accept, daemon=True).start()

    def mute_open_connections(self, direction: str) -> None:
        """Lose all bytes of the open connections in a direction."""
        for muted in self._muted:
            muted.add(direction)

    def mute_new_connections(self, direction: str) -> None:
        """Lose all bytes of later connections in a direction."""
        self._mute_new.add(direction)

    def close(self) -> None:
        """Close every connection."""
        for opened in (self._listener, *self._sockets):
            opened.close()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            server = socket.create_connection(
                (self._server.host, self._server.port)
            )
            self._sockets += [caller, server]
            muted = set(self._mute_new)
            self._muted.append(muted)
            for direction, source, sink in (
                ('to server', caller, server),
                ('to caller', server, caller),
            ):
                threading.Thread(
                    target=self._pump,
                    args=(source, sink, direction, muted),
                    daemon=True,
                ).start()

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        direction: str,
        muted: set[str],
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if direction not in muted:
                    sink.sendall(data)
            if direction not in muted:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            return
