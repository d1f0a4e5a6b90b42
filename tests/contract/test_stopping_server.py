"""A server that stops while its clients go on using open connections."""

import socket
import threading
import time
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


class RefusingServer(polled_server.PolledServer):
    """Polled server that says that a request was not run."""

    def prepare(self):
        self._refuser = refusals.Refuser((), self.closing)
        super().prepare()

    def refuse(self, conn):
        self._refuser.refuse(conn)


class StoppingServerTest(unittest.TestCase):
    def setUp(self):
        self.served_count = 0
        self.server = RefusingServer(
            address.Address(LOOPBACK, 0),
            self.serve,
            thread_pool.ElasticThreadPool(
                thread_pool.PoolSettings('test', max_threads=4, max_queued=4)
            ),
            shutdown_timeout=2,
        )
        self.task = serving.ServerTask(self.server)
        self.task.start()
        self.addCleanup(self.task.finish)

    def serve(self, environ, start_response):
        self.served_count += 1
        start_response('200 OK', [('Content-Length', '0')])
        return []

    def connect(self):
        opened = socket.create_connection(self.server.bind_addr, timeout=2)
        self.addCleanup(opened.close)
        return opened

    def exchange(self, opened):
        opened.sendall(REQUEST)
        return opened.recv(65_536).split(b'\r\n')[0]

    def test_requests_after_the_begin_of_a_stop_are_refused(self):
        # The poll goes on for up to half a second, and what arrived
        # meanwhile was served, although its answer came too late.
        kept = self.connect()
        self.assertEqual(b'HTTP/1.1 200 OK', self.exchange(kept))
        stop = threading.Thread(target=self.task.finish)
        stop.start()
        time.sleep(0.05)
        self.assertEqual(
            b'HTTP/1.1 503 Service Unavailable', self.exchange(kept)
        )
        stop.join()
        self.assertEqual(1, self.served_count)

    def test_poll_that_was_stopped_is_not_started_again(self):
        # The library started it again at once, in a loop without a pause, and
        # the stop waited for that loop to be seen between two polls.
        poll = connections.ConnectionManager.run
        with mock.patch.object(
            connections.ConnectionManager, 'run', autospec=True
        ) as run:
            run.side_effect = poll
            self.exchange(self.connect())
            self.server.stop()
            self.task.join(2)
        self.assertFalse(self.task.is_alive())
        self.assertLessEqual(run.call_count, 1)


if __name__ == '__main__':
    unittest.main()
