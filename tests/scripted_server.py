"""Server that sends prepared bytes, for tests."""

import socket
import struct
import threading

from cardamomdeal.internal import address

HEAD_END = b'\r\n\r\n'
RESET = struct.pack('ii', 1, 0)


class ScriptedServer:
    """Server that sends the given bytes for each request it receives."""

    def __init__(self, replies, resets=False):
        self._replies = replies
        self._resets = resets
        self.send_now = threading.Event()
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = address.Address(*self._listener.getsockname())
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self):
        self.send_now.set()
        self._listener.close()
        self._thread.join(5)

    def _serve(self):
        client, _ = self._listener.accept()
        with client:
            client.settimeout(5)
            for reply in self._replies:
                received = b''
                while HEAD_END not in received:
                    data = client.recv(65_536)
                    if not data:
                        return
                    received += data
                client.sendall(reply)
            if self._resets:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                # The response would otherwise be lost with the reset.
                self.send_now.wait(0.2)
