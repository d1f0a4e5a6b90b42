"""Responses of backend servers that never end.

A faulty server may send a head or a body without end, at full speed or byte
by byte. Each read then succeeds, so only a limit on the whole response keeps
it from holding a request past its deadline or filling the memory.
"""

from collections.abc import Callable
import socket
import threading
import unittest

from cardamomdeal.backend import connection
from cardamomdeal.backend import errors
from cardamomdeal.internal import address
from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import clock
from cardamomdeal.internal import memory_budget

DEADLINE_MS = 700
# Time for a loaded machine to notice that the deadline has passed.
LATENESS_MS = 500
# A response that does not end must not use more memory than this.
MEMORY_BYTES = 32 * 1024**2
TRICKLE_INTERVAL_MS = 20
# Larger than the bound on a single body, which is tested here.
BUDGET = memory_budget.MemoryBudget(10 * MEMORY_BYTES)

HEAD = b'HTTP/1.1 200 OK\r\n'
LONG_LINE = b'x' * 4_096

# What the server sends first, and then again and again.
FLOODS = {
    'header fields': (HEAD, b'Name: ' + LONG_LINE + b'\r\n'),
    'header line': (HEAD + b'Name: ', LONG_LINE),
    'status line': (b'HTTP/1.1 200 ', LONG_LINE),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 100),
    'body': (HEAD + b'\r\n', LONG_LINE),
    'chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1000\r\n' + LONG_LINE + b'\r\n',
    ),
    'chunk size': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n1;',
        LONG_LINE,
    ),
    'trailers': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'Name: ' + LONG_LINE + b'\r\n',
    ),
}
TRICKLES = {
    'header line': (HEAD + b'Name: ', b'x'),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'body': (HEAD + b'\r\n', b'x'),
    'body with length': (HEAD + b'Content-Length: 9999\r\n\r\n', b'x'),
    'chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n',
    ),
    'chunk size': (HEAD + b'Transfer-Encoding: chunked\r\n\r\n1;', b'x'),
    'trailers': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'Name: x\r\n',
    ),
}


class EndlessServer:
    """Server that repeats some bytes until its client disconnects."""

    def __init__(self, start: bytes, repeated: bytes, interval_ms: int):
        self._start = start
        self._repeated = repeated
        self._interval_ms = interval_ms
        self._stopped = threading.Event()
        self.sent_bytes = 0
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = address.Address(*self._listener.getsockname())
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop sending and wait for the thread."""
        self._stopped.set()
        self._listener.close()
        self._thread.join(5)

    def _serve(self) -> None:
        client, _ = self._listener.accept()
        client.settimeout(5)
        with client:
            client.recv(65_536)
            try:
                client.sendall(self._start)
                while not self._stopped.is_set():
                    client.sendall(self._repeated)
                    self.sent_bytes += len(self._repeated)
                    if self._interval_ms:
                        clock.wait_ms(self._stopped, self._interval_ms)
            except OSError:
                return


class EndlessResponsesTest(unittest.TestCase):
    def assert_ends_in_time(
        self,
        server: EndlessServer,
        exchange: Callable[[connection.BackendConnection], None],
    ) -> None:
        """Check that the exchange fails in time and within the memory."""
        self.addCleanup(server.close)
        time = clock.Clock()
        started_ms = time.now_ms()
        server_connection = connection.BackendConnection(
            server.address, DEADLINE_MS, time
        )
        self.addCleanup(server_connection.close)
        # Ends a read that would last forever without the limit.
        watchdog = threading.Timer(5, server.close)
        watchdog.start()
        self.addCleanup(watchdog.cancel)
        with self.assertRaises(errors.ExchangeBroken):
            exchange(server_connection)
        took_ms = time.now_ms() - started_ms
        self.assertLess(took_ms, DEADLINE_MS + LATENESS_MS)
        self.assertLess(server.sent_bytes, MEMORY_BYTES)
        self.assertFalse(server_connection.is_usable())

    def test_buffered_exchange_ends_while_server_floods(self) -> None:
        for name, (start, repeated) in FLOODS.items():
            with self.subTest(endless=name):
                self.assert_ends_in_time(
                    EndlessServer(start, repeated, 0), _exchange_buffered
                )

    def test_buffered_exchange_ends_while_server_trickles(self) -> None:
        for name, (start, repeated) in TRICKLES.items():
            with self.subTest(endless=name):
                self.assert_ends_in_time(
                    EndlessServer(start, repeated, TRICKLE_INTERVAL_MS),
                    _exchange_buffered,
                )

    def test_streamed_exchange_ends_while_server_floods_head(self) -> None:
        for name in ('header fields', 'status line', 'interim responses'):
            with self.subTest(endless=name):
                self.assert_ends_in_time(
                    EndlessServer(*FLOODS[name], 0), _exchange_streamed
                )

    def test_streamed_exchange_ends_while_server_trickles(self) -> None:
        for name in ('header line', 'body with length', 'chunk size'):
            with self.subTest(endless=name):
                self.assert_ends_in_time(
                    EndlessServer(*TRICKLES[name], TRICKLE_INTERVAL_MS),
                    _exchange_streamed,
                )


def _limit() -> connection.TimeLimit:
    return connection.TimeLimit(
        clock.Clock().now_ms() + DEADLINE_MS, DEADLINE_MS
    )


def _exchange_buffered(
    server_connection: connection.BackendConnection,
) -> None:
    server_connection.exchange_buffered(
        connection.BufferedRequest(
            'GET', '/', (), body_buffer.Body(), 'Request-Id', '1'
        ),
        _limit(),
        None,
    ).buffered_body(memory_budget.Reservation(BUDGET))


def _exchange_streamed(
    server_connection: connection.BackendConnection,
) -> None:
    response = server_connection.exchange(
        connection.Request('1', 'GET', '/', (), None, None), _limit()
    )
    for _ in response.body():
        pass
