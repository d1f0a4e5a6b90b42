"""Polling of connections while the machine is in trouble."""

import contextlib
import errno
import queue
import socket
import threading
import time
import types
import unittest
from unittest import mock

from cheroot import connections

from cardamomdeal.internal import address
from cardamomdeal.internal import polled_server
from cardamomdeal.internal import refusals
from cardamomdeal.internal import serving
from cardamomdeal.internal import thread_pool

LOOPBACK = '127.0.0.1'
REQUEST = b'GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n'
LAST_REQUEST = (
    b'GET / HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n\r\n'
)
MAX_THREADS = 4
MAX_LATE_S = 0.5
IDLE_TIMEOUT_S = 0.5
CLOSE_TIMEOUT_S = 5
CLOCK_STEP_S = 60
TROUBLE_S = 0.6
NO_DESCRIPTORS = OSError(errno.EMFILE, 'Too many open files')


class PolledServerCase(unittest.TestCase):
    def setUp(self):
        self.server = polled_server.PolledServer(
            address.Address(LOOPBACK, 0),
            self.serve,
            thread_pool.ElasticThreadPool(
                thread_pool.PoolSettings(
                    'test', max_threads=MAX_THREADS, max_queued=MAX_THREADS
                )
            ),
            timeout=IDLE_TIMEOUT_S,
            # A full queue would delay clients by a second.
            request_queue_size=4 * MAX_THREADS,
        )
        task = serving.ServerTask(self.server)
        task.start()
        self.addCleanup(task.finish)

    def serve(self, environ, start_response):
        start_response('200 OK', [('Content-Length', '0')])
        return []

    def connect(self):
        opened = socket.create_connection(
            self.server.bind_addr, timeout=CLOSE_TIMEOUT_S
        )
        self.addCleanup(opened.close)
        return opened

    def exchange(self, opened):
        opened.sendall(REQUEST)
        return opened.recv(65_536).split(b'\r\n')[0]


class NoThreadTest(PolledServerCase):
    """A lack of threads closes one connection and not the poll.

    The exception of a thread that could not be started was raised in the
    loop that polls, and the connection stayed open with its memory.
    """

    def setUp(self):
        super().setUp()
        self.kept, self.unlucky = self.connect(), self.connect()
        for opened in (self.kept, self.unlucky):
            self.exchange(opened)
        # Their threads would go on with the next request.
        end_s = time.monotonic() + CLOSE_TIMEOUT_S
        while len(self.server._connections.waiting()) < 2:
            self.assertLess(time.monotonic(), end_s)
            time.sleep(0.005)

    def check_closed(self):
        self.assertEqual(b'', self.unlucky.recv(1))
        self.assertEqual(0, self.server.budget.held_bytes)
        self.assertEqual(b'HTTP/1.1 200 OK', self.exchange(self.kept))

    def test_thread_that_closes_connections_cannot_be_started(self):
        self.server.refuse = refusals.Refuser((), self.server.closing).refuse
        error = RuntimeError("can't start new thread")
        with (
            mock.patch.object(
                self.server.requests, 'put', side_effect=queue.Full
            ),
            mock.patch.object(threading.Thread, 'start', side_effect=error),
            self.assertNoLogs(polled_server.log, 'ERROR'),
        ):
            self.assertEqual(
                b'HTTP/1.1 503 Service Unavailable',
                self.exchange(self.unlucky),
            )
        self.check_closed()

    def test_exception_while_a_request_is_queued(self):
        with mock.patch.object(
            self.server.requests, 'put', side_effect=MemoryError
        ):
            self.unlucky.sendall(REQUEST)
            self.assertEqual(b'', self.unlucky.recv(1))
        self.check_closed()


class SlowToCloseTest(PolledServerCase):
    """Clients that are slow to close hold no threads.

    A thread waited up to 2 s for each client that went on sending after its
    last response, and requests of others waited or were refused meanwhile.
    """

    def test_others_are_served_while_clients_go_on_sending(self):
        senders = [self.connect() for _ in range(2 * MAX_THREADS)]
        for opened in senders:
            opened.settimeout(MAX_LATE_S)
            opened.sendall(LAST_REQUEST + b'x')
        has_ended = threading.Event()
        self.addCleanup(has_ended.set)

        def send_on():
            while not has_ended.wait(0.02):
                for opened in senders:
                    with contextlib.suppress(OSError):
                        opened.sendall(b'x')

        threading.Thread(target=send_on, daemon=True).start()
        for opened in senders:
            self.assertIn(b' 200 OK', opened.recv(65_536))
        other = self.connect()
        other.settimeout(MAX_LATE_S)
        self.assertIn(b' 200 OK', self.exchange(other))


class ClockStepTest(PolledServerCase):
    """Time limits of clients hold while the time of day is set back.

    The library compared it with that of its last check, and no connection
    was closed until the old time was reached again.
    """

    def test_idle_connection_is_closed(self):
        opened = self.connect()
        self.exchange(opened)
        stepped = types.SimpleNamespace(
            time=lambda: time.time() - CLOCK_STEP_S, sleep=time.sleep
        )
        with mock.patch.object(connections, 'time', stepped):
            self.assertEqual(b'', opened.recv(1))


class FailingAcceptTest(PolledServerCase):
    """Open connections are served while no other one can be accepted.

    The listening socket stays readable, and its error ended each poll before
    the other connections had their turn.
    """

    def setUp(self):
        super().setUp()
        self.accept = connections.ConnectionManager._from_server_socket
        patcher = mock.patch.object(
            connections.ConnectionManager,
            '_from_server_socket',
            autospec=True,
            side_effect=self.accept,
        )
        self.accepting = patcher.start()
        self.addCleanup(patcher.stop)

    def fail_to_accept(self):
        self.accepting.side_effect = NO_DESCRIPTORS
        self.accepting.reset_mock()

    def test_others_are_served_and_closed_when_idle(self):
        opened, idle = self.connect(), self.connect()
        for kept in (opened, idle):
            self.exchange(kept)
        self.fail_to_accept()
        waiting = self.connect()
        began_s = time.monotonic()
        while time.monotonic() - began_s < TROUBLE_S:
            self.assertEqual(b'HTTP/1.1 200 OK', self.exchange(opened))
        self.assertEqual(b'', idle.recv(1))
        self.accepting.side_effect = self.accept
        self.assertEqual(b'HTTP/1.1 200 OK', self.exchange(waiting))

    def test_failing_accept_is_not_tried_again_at_once(self):
        self.fail_to_accept()
        self.connect()
        time.sleep(TROUBLE_S)
        tried = round(TROUBLE_S * 1_000 / polled_server.POLL_RETRY_MS)
        self.assertIn(self.accepting.call_count, range(1, tried + 2))
