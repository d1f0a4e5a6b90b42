"""Clients that keep to the sizes of the limits and to nothing else."""

import contextlib
import dataclasses
import resource
import select
import socket
import time

from tests import entry_case

PIECE_BYTES = 64 * 1024
SMALL_BUFFER_BYTES = 4 * 1024


@dataclasses.dataclass
class Client:
    """Connection, and what is left to be sent on it."""

    opened: socket.socket
    unsent: memoryview
    reads: bool
    is_open: bool = True


class Crowd:
    """Clients at one address, driven by the thread that asks for it."""

    def __init__(self, port):
        self._port = port
        self._clients = []

    def add(self, sent, reads=True):
        """Connect one more client; one that reads nothing takes little."""
        opened = socket.socket()
        if not reads:
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        opened.settimeout(5)
        opened.connect((entry_case.LOOPBACK, self._port))
        opened.setblocking(False)
        self._clients.append(Client(opened, memoryview(sent), reads))

    def play(self, piece_bytes=PIECE_BYTES, quiet_s=0.5, limit_s=8.0):
        """Send by turns until nothing has moved for a while."""
        end_s = time.monotonic() + limit_s
        moved_s = time.monotonic()
        while time.monotonic() < min(end_s, moved_s + quiet_s):
            if self._move(piece_bytes):
                moved_s = time.monotonic()

    def _move(self, piece_bytes):
        poller = select.poll()
        by_fd = {}
        for client in self._clients:
            events = select.POLLOUT if client.unsent else 0
            events |= select.POLLIN if client.reads else 0
            if client.is_open and events:
                poller.register(client.opened, events)
                by_fd[client.opened.fileno()] = client
        has_moved = False
        for fd, events in poller.poll(100):
            has_moved |= self._go_on(by_fd[fd], events, piece_bytes)
        return has_moved

    @staticmethod
    def _go_on(client, events, piece_bytes):
        try:
            if events & select.POLLIN and not client.opened.recv(PIECE_BYTES):
                client.is_open = False
            elif events & select.POLLOUT:
                sent = client.opened.send(client.unsent[:piece_bytes])
                client.unsent = client.unsent[sent:]
        except BlockingIOError:
            return False
        except OSError:
            client.is_open = False
        return True

    def read_some(self, size_bytes):
        """Let each client read a little of its answer."""
        for client in self._clients:
            with contextlib.suppress(OSError):
                client.opened.recv(size_bytes)

    def leave(self):
        """Close all connections."""
        for client in self._clients:
            client.opened.close()
        self._clients.clear()


def allow_descriptors(count):
    """Let this process, and those it starts, open so many files."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
