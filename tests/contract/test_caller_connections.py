"""Connections of callers whose requests do not arrive whole."""

import socket
import threading
import types
import unittest

from cardamomdeal.entry import caller
from cardamomdeal.entry import server
from cardamomdeal.internal import address
from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import clock
from cardamomdeal.internal import serving

STOP_GRACE_MS = 2_000
MEMORY_MB = 100
TIMEOUT_S = 3


class FakeForwarder:
    """Forwarder that records requests and answers with their targets."""

    def __init__(self):
        self.requests = []
        self.may_answer = threading.Event()

    def serve(self, request, arrived_at_ms):
        self.requests.append((request.target, request.body.size_bytes))
        if request.target == '/slow':
            self.may_answer.wait(TIMEOUT_S)
        body = body_buffer.Body((request.target.encode(),))
        headers = (('Content-Length', str(body.size_bytes)),)
        return caller.Response(200, headers, body)


class CallerServerCase(unittest.TestCase):
    """Test case with the server for callers before a fake forwarder."""

    def setUp(self):
        self.forwarder = FakeForwarder()
        self.application = server.Application(self.forwarder, clock.Clock())
        settings = types.SimpleNamespace(
            callers=address.Address('127.0.0.1', 0),
            bounds=types.SimpleNamespace(stop_grace_ms=STOP_GRACE_MS),
            memory_mb=MEMORY_MB,
        )
        self.server = server.build_server(settings, self.application)
        task = serving.ServerTask(self.server)
        self.address = self.server.bind_addr
        task.start()
        self.addCleanup(self.server.stop)

    def connect(self):
        opened = socket.create_connection(self.address, timeout=TIMEOUT_S)
        self.addCleanup(opened.close)
        return opened

    def read_until_close(self, opened):
        received = b''
        while part := opened.recv(65_536):
            received += part
        return received


def head(target, *fields):
    lines = (f'POST {target} HTTP/1.1', 'Host: shop.example', *fields)
    return '\r\n'.join((*lines, '', '')).encode()


class RefusedBodiesTest(CallerServerCase):
    """A body that is refused unread is not taken for the next request.

    The refusal closes the connection, but while an earlier lookup on it is
    being served the refusal waits for its turn. The connection was read on
    meanwhile, so a request inside the refused body was run.
    """

    def check_refused(self, *fields):
        opened = self.connect()
        opened.sendall(b'GET /slow HTTP/1.1\r\nHost: shop.example\r\n\r\n')
        opened.sendall(head('/refused', *fields))
        opened.sendall(head('/smuggled', 'Content-Length: 0'))
        threading.Timer(0.5, self.forwarder.may_answer.set).start()
        received = self.read_until_close(opened)
        self.assertEqual([('/slow', 0)], self.forwarder.requests)
        self.assertEqual(2, received.count(b'HTTP/1.1 '), received)
        self.assertIn(b'Connection: close', received)

    def test_too_large_body_behind_a_slow_lookup(self):
        self.check_refused(f'Content-Length: {server.MAX_BODY_BYTES + 1}')

    def test_body_without_memory_behind_a_slow_lookup(self):
        self.check_refused(f'Content-Length: {60 * 1024**2}')

    def test_chunk_with_a_malformed_size_behind_a_slow_lookup(self):
        self.check_refused('Transfer-Encoding: chunked', '', 'x')


if __name__ == '__main__':
    unittest.main()
