"""Callers that send slowly, before a whole entry host.

Each of them held a thread for as long as it liked, and a host has 64.
"""

import contextlib
import socket
import threading
import time

from cardamomdeal.platform import wire
from tests import entry_case

SLOW_COUNT = 80
ORDER_COUNT = 20
MAX_THREADS_AT_REST = 16


def order_head(name, *fields):
    lines = (
        'POST /unsafe/x HTTP/1.1',
        'Host: shop.example',
        f'{wire.REQUEST_ID}: {name}',
        f'{wire.DEADLINE_MS}: 8000',
        *fields,
    )
    return '\r\n'.join((*lines, '', '')).encode()


class SlowCallersTest(entry_case.EntryHostCase):
    def setUp(self):
        super().setUp()
        # Orders then take no longer than their way.
        for backend in self.backends:
            backend.latency_s = 0.01

    def connect_and_send(self, sent):
        opened = socket.create_connection(
            (entry_case.LOOPBACK, self.hosts[0]['callers']), timeout=8
        )
        self.addCleanup(opened.close)
        opened.sendall(sent)
        return opened

    def check_orders(self):
        """Send orders on new connections at once; all must be answered."""
        statuses = []

        def order(n):
            with contextlib.suppress(Exception):
                response = self.send(self.hosts[0], 'unsafe', f'o{n}', b'x')
                statuses.append(response.status)

        threads = [
            threading.Thread(target=order, args=(n,))
            for n in range(ORDER_COUNT)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([200] * ORDER_COUNT, statuses)

    def check_threads(self):
        """Check that slow callers hold no thread."""
        self.wait_until(
            lambda: self.thread_count(self.hosts[0]) <= MAX_THREADS_AT_REST
        )

    def check_orders_beside(self, sent):
        for _ in range(SLOW_COUNT):
            self.connect_and_send(sent)
        time.sleep(0.3)
        self.check_orders()
        self.check_threads()

    def test_stalled_bodies_with_a_length(self):
        self.check_orders_beside(order_head('s', 'Content-Length: 9') + b'x')

    def test_stalled_bodies_in_chunks(self):
        self.check_orders_beside(
            order_head('s', 'Transfer-Encoding: chunked') + b'9\r\nx'
        )

    def test_stalled_heads(self):
        self.check_orders_beside(b'POST /unsafe/x HTTP/1.1\r\nHo')

    def test_bodies_that_stall_behind_a_lookup(self):
        lookup = b'GET /safe/x?work=1500 HTTP/1.1\r\nHost: shop.example\r\n'
        lookup += f'{wire.REQUEST_ID}: lookup\r\n\r\n'.encode()
        stalled = order_head('s', 'Content-Length: 9') + b'x'
        opened = [self.connect_and_send(lookup + stalled) for _ in range(4)]
        for connection in opened:
            self.assertEqual(200, self.read_response(connection).status)
            connection.sendall(b'x' * 8)
            self.assertEqual(200, self.read_response(connection).status)

    def test_slow_upload_is_served_whole_beside_stalled_ones(self):
        self.put_configuration(2, ['unsafe'], '8000ms')
        time.sleep(1.8)
        stalled = order_head('s', 'Content-Length: 9') + b'x'
        for _ in range(SLOW_COUNT):
            self.connect_and_send(stalled)
        opened = self.connect_and_send(
            order_head('slow', 'Content-Length: 40')
        )
        for _ in range(20):
            opened.sendall(b'ab')
            time.sleep(0.2)
        self.assertEqual(200, self.read_response(opened).status)
        bodies = [backend.bodies.get('slow') for backend in self.backends]
        self.assertIn(b'ab' * 20, bodies)


if __name__ == '__main__':
    entry_case.unittest.main()
