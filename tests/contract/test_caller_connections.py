"""Connections of callers whose requests do not arrive whole."""

import http.client
import queue
import socket
import threading
import time
import types
import unittest
from unittest import mock

from cardamomdeal.entry import caller
from cardamomdeal.entry import server
from cardamomdeal.internal import address
from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import clock
from cardamomdeal.internal import polled_server
from cardamomdeal.internal import serving

STOP_GRACE_MS = 2_000
MEMORY_MB = 100
TIMEOUT_S = 5
BUFFER_BYTES = 4096
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
SMUGGLED = b'GET /smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n'
LARGE_BYTES = 300_000


class FakeForwarder:
    """Forwarder that records requests and answers with their targets."""

    def __init__(self):
        self.requests = []
        self.may_answer = threading.Event()
        self.may_end_upload = threading.Event()

    def serve(self, request, arrived_at_ms):
        self.arrived_at_ms = arrived_at_ms
        self.requests.append((request.target, request.body.size_bytes))
        if request.target == '/slow':
            self.may_answer.wait(TIMEOUT_S)
        if request.target == '/upload':
            self.may_end_upload.wait(2 * TIMEOUT_S)
        body = body_buffer.Body((request.target.encode(),))
        if request.target == '/large':
            body = body_buffer.Body((bytes(LARGE_BYTES),))
            request.memory.response.try_add(LARGE_BYTES)
        headers = (('Content-Length', str(body.size_bytes)),)
        status = 413 if request.target == '/refused' else 200
        return caller.Response(status, headers, body)


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

    def connect(self, buffer_bytes=None):
        opened = socket.socket()
        self.addCleanup(opened.close)
        opened.settimeout(TIMEOUT_S)
        if buffer_bytes is not None:
            opened.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes
            )
        opened.connect(self.address)
        return opened

    def wait_until(self, condition):
        end_s = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), end_s, 'not met in time')
            time.sleep(0.02)

    def read_body(self, opened):
        response = http.client.HTTPResponse(opened)
        response.begin()
        return response.read()

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

    def test_negative_length_behind_a_slow_lookup(self):
        self.check_refused('Content-Length: -5')

    def test_chunk_with_a_malformed_size_behind_a_slow_lookup(self):
        self.check_refused('Transfer-Encoding: chunked', '', 'x')


class AmbiguousLengthsTest(CallerServerCase):
    """A request whose end could be read in two ways is not served.

    The end was taken from one of two fields and the body from the other one,
    or from a field with an underscore, which WSGI does not tell from the real
    one: a body of one reading ran as a request of the other.
    """

    def check_refused(self, *fields):
        opened = self.connect()
        opened.sendall(head('/x', *fields) + SMUGGLED)
        received = self.read_until_close(opened)
        self.assertEqual([], self.forwarder.requests)
        self.assertEqual(1, received.count(b'HTTP/1.1 '), received)
        self.assertIn(b' 400 ', received)

    def test_two_lengths(self):
        whole = f'Content-Length: {len(SMUGGLED)}'
        self.check_refused(whole, 'Content-Length: 0')
        self.check_refused('Content-Length: 0', whole.lower())
        self.check_refused(whole, ' 0')

    def test_fields_with_an_underscore(self):
        length = len(SMUGGLED)
        self.check_refused(f'Content_Length: {length}')
        self.check_refused(f'Content-Length: {length}', 'content_length: 0')
        self.check_refused('Transfer_Encoding: chunked')


class LookupsBehindRefusalTest(CallerServerCase):
    """A server answers 413 to one of several lookups on a connection.

    The library closes a connection behind any such response, and the answers
    to the lookups behind it, which had run, were thrown away.
    """

    def test_answers_behind_a_server_s_413_are_delivered(self):
        opened = self.connect()
        opened.sendall(head('/slow') + head('/refused') + head('/next'))
        self.wait_until(lambda: len(self.forwarder.requests) == 3)
        self.forwarder.may_answer.set()
        received = b''
        while not received.endswith(b'/next'):
            part = opened.recv(65_536)
            self.assertTrue(part, received)
            received += part
        self.assertIn(b'HTTP/1.1 413 ', received)


class PipelinedBodiesTest(CallerServerCase):
    """A request with a body holds back only what comes behind it.

    Its connection was neither read nor written while it was served.
    """

    def setUp(self):
        super().setUp()
        self.opened = self.connect()
        self.opened.sendall(head('/slow'))
        self.wait_until(lambda: self.forwarder.requests)

    def check_answered(self, target):
        received = b''
        while not received.endswith(target):
            received += self.opened.recv(65_536)
        self.assertNotIn(b'/next', received.removesuffix(target))

    def targets(self):
        return {target for target, _ in self.forwarder.requests}

    def test_empty_body_holds_back_nothing(self):
        self.opened.sendall(head('/empty', 'Content-Length: 0'))
        self.opened.sendall(head('/upload', 'Content-Length: 0'))
        self.opened.sendall(head('/next'))
        self.wait_until(lambda: '/next' in self.targets())
        self.assertEqual(
            {'/slow', '/empty', '/upload', '/next'}, self.targets()
        )
        self.forwarder.may_end_upload.set()
        self.forwarder.may_answer.set()

    def test_responses_before_a_body_are_sent_while_it_is_served(self):
        self.opened.sendall(head('/upload', 'Content-Length: 1') + b'x')
        self.opened.sendall(head('/next'))
        self.wait_until(lambda: '/upload' in self.targets())
        self.forwarder.may_answer.set()
        self.check_answered(b'/slow')
        # Nothing is read behind a body before it is known to be accepted.
        self.assertNotIn('/next', self.targets())
        self.forwarder.may_end_upload.set()
        self.check_answered(b'/next')

    def test_request_behind_a_served_body_runs_beside_a_slow_one(self):
        self.opened.sendall(head('/upload', 'Content-Length: 1') + b'x')
        self.opened.sendall(head('/next'))
        self.forwarder.may_end_upload.set()
        self.wait_until(lambda: '/next' in self.targets())
        self.forwarder.may_answer.set()

    def test_nothing_is_read_behind_a_body_that_raises(self):
        with mock.patch.object(
            self.server, 'wsgi_app', side_effect=MemoryError
        ):
            self.opened.sendall(head('/upload', 'Content-Length: 1') + b'x')
            self.opened.sendall(head('/next'))
            self.wait_until(lambda: self.server.wsgi_app.called)
        self.forwarder.may_answer.set()
        received = self.read_until_close(self.opened)
        self.assertEqual(1, received.count(b'HTTP/1.1 '), received)
        self.assertEqual({'/slow'}, self.targets())


class NoThreadTest(CallerServerCase):
    """A request for which there is no thread is refused as not run.

    The connection was closed without an answer, and the memory of the request
    was held for good.
    """

    def check_refused(self, error):
        opened = self.connect()
        opened.sendall(b'GET /slow HTTP/1.1\r\nHost: shop.example\r\n\r\n')
        self.wait_until(lambda: self.forwarder.requests)
        with mock.patch.object(
            self.server.workers, 'submit', side_effect=error
        ):
            opened.sendall(head('/x', 'Content-Length: 1') + b'x' + SMUGGLED)
            self.wait_until(lambda: self.server.workers.submit.called)
        self.forwarder.may_answer.set()
        received = self.read_until_close(opened)
        self.assertEqual(2, received.count(b'HTTP/1.1 '), received)
        self.assertIn(b'HTTP/1.1 503 ', received)
        self.assertIn(b'Connection: close', received)
        self.assertEqual([('/slow', 0)], self.forwarder.requests)
        self.wait_until(lambda: not self.server.budget.held_bytes)

    def test_pool_is_full(self):
        self.check_refused(queue.Full)

    def test_pool_is_shut_down(self):
        self.check_refused(RuntimeError('the pool is shut down'))


class AwaitedBodiesTest(CallerServerCase):
    """A caller that waits for an interim response gets it before its body.

    It came only when the body was whole, so that a caller that waited for it
    got 408 in the end.
    """

    fields = ('Content-Length: 1', 'expect: 100-Continue')

    def check_served(self, opened):
        opened.sendall(b'x')
        received = opened.recv(65_536)
        self.assertIn(b' 200 ', received)
        self.assertNotIn(CONTINUE, received)
        self.assertEqual(('/x', 1), self.forwarder.requests[-1])

    def test_interim_response_comes_once_before_the_body(self):
        opened = self.connect()
        for _ in range(2):
            opened.sendall(head('/x', *self.fields))
            self.assertEqual(CONTINUE, opened.recv(65_536))
            self.check_served(opened)

    def test_interim_response_waits_for_the_response_before_it(self):
        opened = self.connect()
        opened.sendall(b'GET /slow HTTP/1.1\r\nHost: shop.example\r\n\r\n')
        self.wait_until(lambda: self.forwarder.requests)
        opened.sendall(head('/x', *self.fields))
        opened.settimeout(0.3)
        with self.assertRaises(TimeoutError):
            opened.recv(65_536)
        opened.settimeout(TIMEOUT_S)
        self.forwarder.may_answer.set()
        received = b''
        while not received.endswith(CONTINUE):
            received += opened.recv(65_536)
        self.assertIn(b'/slow', received.removesuffix(CONTINUE))
        self.check_served(opened)

    def test_none_for_a_body_that_arrived_or_is_refused(self):
        opened = self.connect()
        opened.sendall(head('/x', *self.fields))
        self.assertEqual(CONTINUE, opened.recv(65_536))
        self.check_served(opened)
        opened.sendall(head('/x', *self.fields) + b'x')
        self.assertTrue(opened.recv(65_536).startswith(b'HTTP/1.1 200 '))
        size_bytes = server.MAX_BODY_BYTES + 1
        opened.sendall(
            head('/x', f'Content-Length: {size_bytes}', self.fields[1])
        )
        self.assertTrue(opened.recv(65_536).startswith(b'HTTP/1.1 413 '))

    def test_none_for_http_1_0(self):
        opened = self.connect()
        request = head('/x', *self.fields)
        opened.sendall(request.replace(b'HTTP/1.1', b'HTTP/1.0'))
        opened.settimeout(0.3)
        with self.assertRaises(TimeoutError):
            opened.recv(65_536)


class SlowReadersTest(CallerServerCase):
    """Callers that read their responses slowly hold no thread.

    A thread that sent a response waited until it was read, for up to the idle
    timeout, and a host has 64.
    """

    def setUp(self):
        super().setUp()
        self.server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES
        )

    def ask(self, target):
        opened = self.connect(BUFFER_BYTES)
        request = f'GET {target} HTTP/1.1\r\nHost: shop.example\r\n\r\n'
        opened.sendall(request.encode())
        return opened

    def test_others_are_answered_beside_slow_readers(self):
        readers = [self.ask('/large') for _ in range(server.MAX_THREADS + 6)]
        self.wait_until(lambda: len(self.forwarder.requests) == len(readers))
        self.assertIn(b'/other', self.ask('/other').recv(65_536))
        self.assertGreater(self.server.budget.held_bytes, LARGE_BYTES)
        for opened in readers:
            # Each reads as slowly as its buffer lets it.
            self.assertEqual(LARGE_BYTES, len(self.read_body(opened)))
        self.wait_until(lambda: not self.server.budget.held_bytes)

    def test_response_is_given_up_if_it_is_not_read(self):
        self.server.timeout = 0.5
        opened = self.ask('/large')
        self.wait_until(lambda: self.forwarder.requests)
        self.wait_until(lambda: not self.server.budget.held_bytes)
        self.assertLess(len(self.read_until_close(opened)), LARGE_BYTES)

    def test_readers_without_progress_leave_memory_to_others(self):
        self.server.budget.limit_bytes = 10 * LARGE_BYTES
        readers = [self.ask('/large') for _ in range(9)]
        self.wait_until(lambda: len(self.forwarder.requests) == len(readers))
        max_bytes = polled_server.SLOW_CLIENTS_SHARE * 10 * LARGE_BYTES
        self.assertGreater(self.server.budget.held_bytes, max_bytes)
        self.wait_until(lambda: self.server.budget.held_bytes <= max_bytes)
        self.assertGreater(self.server.budget.held_bytes, 0)

    def test_response_is_delivered_during_a_stop(self):
        opened = self.ask('/large')
        self.wait_until(lambda: self.forwarder.requests)
        stopping = threading.Thread(target=self.server.stop)
        stopping.start()
        self.assertEqual(LARGE_BYTES, len(self.read_body(opened)))
        stopping.join()


class SlowSendersTest(CallerServerCase):
    """Requests that arrive slowly hold memory that is counted, and end."""

    def test_stalled_body_holds_what_was_received(self):
        opened = self.connect()
        sent = head('/x', f'Content-Length: {LARGE_BYTES}') + b'x'
        opened.sendall(sent)
        self.wait_until(lambda: self.server.budget.held_bytes > LARGE_BYTES)
        self.wait_until(lambda: self.server.budget.held_bytes == len(sent))
        opened.sendall(b'x' * (LARGE_BYTES - 1))
        self.assertIn(b' 200 ', opened.recv(65_536))
        self.assertEqual([('/x', LARGE_BYTES)], self.forwarder.requests)
        self.wait_until(lambda: not self.server.budget.held_bytes)

    def test_stalled_body_is_refused_as_not_run_in_the_end(self):
        self.server.timeout = 0.5
        for fields in ('Content-Length: 9', 'Transfer-Encoding: chunked'):
            opened = self.connect()
            opened.sendall(head('/x', fields) + b'9\r\nx')
            self.assertIn(b' 408 ', self.read_until_close(opened))
        self.assertEqual([], self.forwarder.requests)

    def test_time_of_arrival_is_that_of_the_first_byte(self):
        opened = self.connect()
        opened.sendall(head('/x', 'Content-Length: 1'))
        time.sleep(0.5)
        opened.sendall(b'x')
        opened.recv(65_536)
        age_ms = clock.Clock().now_ms() - self.forwarder.arrived_at_ms
        self.assertGreaterEqual(age_ms, 500)

    def test_stop_refuses_what_has_not_arrived(self):
        opened = self.connect()
        opened.sendall(head('/x', 'Content-Length: 9') + b'x')
        self.wait_until(lambda: self.server.budget.held_bytes)
        self.server.stop()
        self.assertIn(b' 503 ', self.read_until_close(opened))

    def test_chunks_need_http_1_1(self):
        # The chunks were taken for the next request.
        opened = self.connect()
        request = head('/x', 'Transfer-Encoding: chunked')
        request = request.replace(b'HTTP/1.1', b'HTTP/1.0')
        opened.sendall(request + b'1\r\nx\r\n0\r\n\r\n')
        self.assertIn(b' 400 ', self.read_until_close(opened))
        self.assertEqual([], self.forwarder.requests)


if __name__ == '__main__':
    unittest.main()
