"""Refusals of requests for which a host has no thread."""

import selectors
import threading
import time
import unittest
from unittest import mock

from cardamomdeal.entry import server
from cardamomdeal.internal import closing_connection
from cardamomdeal.internal import closing_task
from cardamomdeal.internal import refusals
from tests.contract import test_caller_connections

LOOKUP = test_caller_connections.head('/slow', 'Content-Length: 0')
ORDER = test_caller_connections.head('/x', 'Content-Length: 5') + b'hello'
REFUSAL = b'HTTP/1.1 503 Service Unavailable\r\n'
# A request without an answer so long after its timeout counts as late.
MAX_LATE_S = 0.5
TIMEOUT_S = 5


class RefusalsCase(test_caller_connections.CallerServerCase):
    """Test case with a server for callers all threads of which are busy."""

    def setUp(self):
        super().setUp()
        self.addCleanup(self.forwarder.may_answer.set)
        busy_count = server.MAX_THREADS + server.MAX_QUEUED_CONNECTIONS
        for _ in range(busy_count):
            self.connect().sendall(LOOKUP)
        pool = self.server.requests._threads
        self.wait_until(
            lambda: (
                len(self.forwarder.requests) == server.MAX_THREADS
                and len(pool._tasks) == server.MAX_QUEUED_CONNECTIONS
            )
        )

    def order(self):
        opened = self.connect()
        opened.sendall(ORDER)
        return opened

    def read_refusal(self, opened):
        received = self.read_until_close(opened)
        self.assertTrue(received.startswith(REFUSAL), received)
        self.assertIn(b'Retry-After: ', received)
        self.assertIn(b'Connection: close', received)


class SlowClientsTest(RefusalsCase):
    """A refusal does not wait until other clients have closed.

    One thread refused one request after the other and waited up to 0.2 s for
    each client to close, so refusals came late if many clients were slow, and
    256 waiting clients were the most that got one at all.
    """

    def measure_refusals(self, clients):
        """Return how long the clients waited, while all of them stay open."""
        sent_at_s = time.monotonic()
        waited_s = []
        with selectors.DefaultSelector() as selector:
            for opened in clients:
                selector.register(opened, selectors.EVENT_READ)
            while (
                len(waited_s) < len(clients)
                and time.monotonic() - sent_at_s < TIMEOUT_S
            ):
                for key, _ in selector.select(0.1):
                    selector.unregister(key.fileobj)
                    waited_s.append(time.monotonic() - sent_at_s)
                    self.assertTrue(
                        key.fileobj.recv(65_536).startswith(REFUSAL)
                    )
        self.assertEqual(len(clients), len(waited_s))
        return sorted(waited_s)

    def test_no_refusal_is_late_while_clients_do_not_close(self):
        waited_s = self.measure_refusals([self.order() for _ in range(300)])
        self.assertLess(waited_s[-1], MAX_LATE_S)

    def test_no_refusal_is_late_while_clients_go_on_sending(self):
        senders = [self.order() for _ in range(20)]
        has_ended = threading.Event()
        self.addCleanup(has_ended.set)

        def send_on():
            while not has_ended.wait(0.02):
                for opened in senders:
                    try:
                        opened.sendall(b'x')
                    except OSError:
                        continue

        threading.Thread(target=send_on, daemon=True).start()
        time.sleep(0.1)
        waited_s = self.measure_refusals([self.order() for _ in range(50)])
        self.assertLess(waited_s[-1], MAX_LATE_S)


class LogTest(RefusalsCase):
    """A host tells that it refuses requests, and not once for each of them.

    No line or metric told it apart from a host that nobody used.
    """

    def test_refusals_are_counted_in_a_few_lines(self):
        with (
            mock.patch.object(refusals, 'LOG_INTERVAL_MS', 200),
            self.assertLogs(refusals.log, 'WARNING') as logs,
        ):
            for _ in range(20):
                self.read_refusal(self.order())
            time.sleep(0.4)
            self.read_refusal(self.order())
            self.wait_until(
                lambda: sum(record.count for record in logs.records) == 21
            )
        self.assertEqual(1, logs.records[0].count)


class ClosingTest(RefusalsCase):
    """Connections of refused requests are closed and leave nothing behind."""

    def test_silent_client_is_closed_soon(self):
        opened = self.order()
        self.read_refusal(opened)
        time.sleep(MAX_LATE_S)
        # Only a socket that was closed resets the connection.
        opened.sendall(b'x')
        with self.assertRaises(ConnectionError):
            for _ in range(10):
                time.sleep(0.02)
                opened.recv(1)
                opened.sendall(b'x')

    def test_client_that_sends_its_body_late_gets_the_refusal(self):
        # The connection was not reset behind the refusal.
        opened = self.order()
        for _ in range(5):
            time.sleep(0.05)
            opened.sendall(b'x')
        self.read_refusal(opened)

    def test_no_memory_is_held(self):
        held_bytes = self.server.budget.held_bytes
        clients = [self.order() for _ in range(100)]
        for opened in clients:
            self.read_refusal(opened)
        self.assertEqual(held_bytes, self.server.budget.held_bytes)

    def test_first_are_closed_if_there_are_too_many(self):
        with (
            mock.patch.object(closing_task, 'MAX_CONNECTIONS', 10),
            mock.patch.object(closing_connection, 'MAX_SILENCE_MS', 5_000),
            mock.patch.object(closing_connection, 'MAX_TOTAL_MS', 5_000),
        ):
            for _ in range(50):
                self.read_refusal(self.order())
            connections = self.server.closing._thread._connections
            self.wait_until(lambda: len(connections) == 10)

    def test_thread_ends_when_idle_and_starts_again(self):
        with mock.patch.object(closing_task, 'IDLE_TIMEOUT_MS', 100):
            self.read_refusal(self.order())
            closing = self.server.closing
            self.wait_until(
                lambda: closing._thread and not closing._thread.is_alive()
            )
            self.read_refusal(self.order())


if __name__ == '__main__':
    unittest.main()
