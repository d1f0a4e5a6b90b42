"""Steps of a connection that is closed behind its last response."""

import socket
import unittest

from cardamomdeal.internal import closing_connection

RESPONSE = bytes(1_000_000)
SENT = b'response'


class ClosingConnectionTest(unittest.TestCase):
    def begin(self, step):
        own_end, self.client = socket.socketpair()
        self.addCleanup(own_end.close)
        self.addCleanup(self.client.close)
        self.client.settimeout(0.1)
        connection = closing_connection.ClosingConnection(own_end, step, 0)
        connection.advance(0)
        return connection

    def read(self):
        received = b''
        while part := self.client.recv(65_536):
            received += part
        return received

    def test_response_is_sent_as_its_client_reads(self):
        connection = self.begin(closing_connection.Send(RESPONSE))
        received_bytes = 0
        while received_bytes < len(RESPONSE):
            received_bytes += len(self.client.recv(65_536))
            connection.advance(0)
        self.assertEqual(closing_connection.Discard(), connection.step)
        self.assertEqual(b'', self.client.recv(1))

    def test_client_that_does_not_read_is_given_up(self):
        connection = self.begin(closing_connection.Send(RESPONSE))
        connection.expire(closing_connection.MAX_TOTAL_MS - 1)
        self.assertIsInstance(connection.step, closing_connection.Send)
        connection.expire(closing_connection.MAX_TOTAL_MS)
        self.assertEqual(closing_connection.Close(), connection.step)

    def test_client_that_goes_on_sending_is_cut_off(self):
        connection = self.begin(closing_connection.Send(SENT))
        for now_ms in range(0, closing_connection.MAX_TOTAL_MS, 50):
            self.client.sendall(b'x')
            connection.advance(now_ms)
            connection.expire(now_ms)
            self.assertEqual(closing_connection.Discard(), connection.step)
        connection.expire(closing_connection.MAX_TOTAL_MS)
        self.assertEqual(closing_connection.Close(), connection.step)
        self.assertEqual(SENT, self.read())

    def test_silent_client_is_given_up(self):
        connection = self.begin(closing_connection.Send(SENT))
        connection.expire(closing_connection.MAX_SILENCE_MS - 1)
        self.assertEqual(closing_connection.Discard(), connection.step)
        connection.expire(closing_connection.MAX_SILENCE_MS)
        self.assertEqual(closing_connection.Close(), connection.step)

    def test_client_that_closes_is_closed(self):
        connection = self.begin(closing_connection.Send(SENT))
        self.client.close()
        connection.advance(0)
        self.assertEqual(closing_connection.Close(), connection.step)

    def test_client_without_a_request_gets_no_response(self):
        step = closing_connection.AwaitRequest(SENT)
        connection = self.begin(step)
        self.assertEqual(step, connection.step)
        connection.expire(closing_connection.MAX_SILENCE_MS)
        self.assertEqual(closing_connection.Close(), connection.step)
        connection.socket.close()
        self.assertEqual(b'', self.read())

    def test_request_that_arrives_late_gets_its_response(self):
        connection = self.begin(closing_connection.AwaitRequest(SENT))
        self.client.sendall(b'GET / HTTP/1.1\r\n\r\n')
        connection.advance(50)
        self.assertEqual(closing_connection.Discard(), connection.step)
        self.assertEqual(SENT, self.read())


if __name__ == '__main__':
    unittest.main()
