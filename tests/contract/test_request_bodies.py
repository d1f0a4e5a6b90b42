"""Ends of request bodies, and what clients send between two requests.

A body in chunks ends with trailers and an empty line. Left unread, they were
taken for the begin of the next request: the idle connection kept a thread
until the time limit for a head, and then got an unrequested response.
"""

import socket
import time
import unittest

from cheroot import makefile

from cardamomdeal.internal import address
from cardamomdeal.internal import chunked_body
from cardamomdeal.internal import memory_budget
from cardamomdeal.internal import polled_server
from cardamomdeal.internal import serving
from cardamomdeal.internal import thread_pool
from tests import support

HEAD = b'POST / HTTP/1.1\r\nHost: shop.example\r\n'
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
OK = b'HTTP/1.1 200 OK'
MAX_THREADS = 4
IDLE_TIMEOUT_S = 30


class IdleConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.bodies = []
        self.reads_body = True
        self.threads = thread_pool.ElasticThreadPool(
            thread_pool.PoolSettings('test', MAX_THREADS, max_queued=2)
        )
        server = self.server = polled_server.PolledServer(
            address.Address('127.0.0.1', 0),
            self.serve,
            self.threads,
            timeout=IDLE_TIMEOUT_S,
        )
        task = serving.ServerTask(server)
        self.address = server.bind_addr
        task.start()
        self.addCleanup(server.stop)

    def serve(self, environ, start_response):
        if self.reads_body:
            stream = environ['wsgi.input']
            self.bodies.append(b''.join(iter(lambda: stream.read(7), b'')))
        start_response('200 OK', [('Content-Length', '0')])
        return []

    def connect(self):
        opened = socket.create_connection(self.address, timeout=2)
        self.addCleanup(opened.close)
        return opened

    def exchange(self, opened, request):
        opened.sendall(request)
        return opened.recv(65_536).split(b'\r\n')[0]

    def test_kept_connections_hold_no_thread_after_a_chunked_body(self):
        endings = (b'0\r\n\r\n', b'0;x=y\r\nName: value\r\n\r\n')
        for n in range(2 * MAX_THREADS):
            request = CHUNKED_HEAD + b'3\r\nabc\r\n' + endings[n % 2]
            self.assertEqual(OK, self.exchange(self.connect(), request))
        self.assertEqual([b'abc'] * 2 * MAX_THREADS, self.bodies)
        request = HEAD + b'Content-Length: 1\r\n\r\nx'
        self.assertEqual(OK, self.exchange(self.connect(), request))

    def test_empty_lines_between_requests_hold_no_thread(self):
        request = HEAD + b'Content-Length: 1\r\n\r\nx\r\n\r\n'
        opened = [self.connect() for _ in range(2 * MAX_THREADS)]
        for _ in range(2):
            for connection in opened:
                self.assertEqual(OK, self.exchange(connection, request))

    def test_refusals_of_bodies_say_why(self):
        # The connection was closed without a response.
        request = HEAD + b'Content-Length: 9999999\r\n\r\n'
        status = self.exchange(self.connect(), request)
        self.assertEqual(b'HTTP/1.1 413', status[:12])
        self.server.budget = memory_budget.MemoryBudget(0, 0)
        request = HEAD + b'Content-Length: 9999\r\n\r\n'
        status = self.exchange(self.connect(), request)
        self.assertEqual(b'HTTP/1.1 503', status[:12])

    def test_unread_chunks_are_not_taken_for_a_request(self):
        self.reads_body = False
        opened = self.connect()
        smuggled = b'GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n'
        body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(smuggled), smuggled)
        opened.sendall(CHUNKED_HEAD + body)
        time.sleep(0.2)
        received = b''
        while part := opened.recv(65_536):
            received += part
        self.assertEqual(1, received.count(b'HTTP/1.1'))
        self.assertIn(b'Connection: close', received)


class GatewayTest(support.GatewayCase):
    settings_changes = {'threads': MAX_THREADS, 'caller_timeout_ms': 10_000}

    def test_kept_connections_hold_no_thread_after_a_chunked_body(self):
        request = (
            b'POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'
        )
        listen = self.settings.listen
        for _ in range(4 * MAX_THREADS):
            opened = socket.create_connection((listen.host, listen.port), 2)
            self.addCleanup(opened.close)
            opened.sendall(request)
            self.assertEqual(OK, opened.recv(65_536).split(b'\r\n')[0])


class ChunkedBodyTest(unittest.TestCase):
    def read(self, received):
        reader, writer = socket.socketpair()
        with reader, writer:
            writer.sendall(received)
            writer.shutdown(socket.SHUT_WR)
            stream = makefile.StreamReader(reader, 'rb')
            body = chunked_body.ChunkedBody(stream)
            read = b''.join(iter(lambda: body.read(5), b''))
            return read, stream.read()

    def test_body_is_read_up_to_its_end(self):
        body, rest = self.read(b'5\r\nhello\r\n1;a=b\r\n!\r\n0\r\n\r\nGET')
        self.assertEqual((b'hello!', b'GET'), (body, rest))

    def test_malformed_bodies_are_rejected(self):
        cases = {
            'signed size': b'+1\r\nx\r\n0\r\n\r\n',
            'negative size': b'-1\r\nx\r\n0\r\n\r\n',
            'digits with a separator': b'1_0\r\n' + b'x' * 16 + b'\r\n',
            'no size': b'\r\nx\r\n',
            'huge size': b'f' * 16 + b'\r\nx',
            'endless size line': b'1;' + b'x' * 10_000,
            'chunk longer than its size': b'1\r\nxy\r\n0\r\n\r\n',
            'end within a chunk': b'5\r\nab',
            'end within the trailers': b'0\r\nName: value\r\n',
            'long trailers': b'0\r\n' + b'Name: value\r\n' * 2_000 + b'\r\n',
        }
        for name, received in cases.items():
            with self.subTest(name), self.assertRaises(ValueError):
                self.read(received)


if __name__ == '__main__':
    unittest.main()
