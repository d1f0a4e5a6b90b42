"""Closed connections hold nothing.

The bytes of refused uploads left the budget at once and stayed in memory, as
the connection was part of a reference cycle, until the garbage collector ran.
"""

import gc
import socket
import types
import unittest
import weakref

from cardamomdeal.internal import memory_budget
from cardamomdeal.internal import polled_connection
from cardamomdeal.internal import request_intake

HEAD = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n'


class ClosedConnectionsTest(unittest.TestCase):
    def setUp(self):
        gc.disable()
        self.addCleanup(gc.enable)
        self.server = types.SimpleNamespace(
            budget=memory_budget.MemoryBudget(1_000_000),
            intake_limits=request_intake.Limits(1_000, 1_000),
            peercreds_enabled=False,
            peercreds_resolve_enabled=False,
        )
        self.client, accepted = socket.socketpair()
        self.addCleanup(self.client.close)
        self.connection = polled_connection.PolledConnection(
            self.server, accepted
        )
        self.client.sendall(HEAD + b'body')
        self.connection.receive()

    def test_closed_connection_is_freed_without_a_collection(self):
        reference = weakref.ref(self.connection)
        self.connection.close()
        del self.connection
        self.assertIsNone(reference())

    def test_what_was_received_is_given_up(self):
        self.connection.close()
        self.assertEqual(0, self.server.budget.held_bytes)
        # Whoever still refers to the connection holds no bytes.
        intake = self.connection._intake
        self.assertEqual((), intake._received.body().parts)


if __name__ == '__main__':
    unittest.main()
