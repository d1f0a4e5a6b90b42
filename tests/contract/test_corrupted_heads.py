"""Answers with corrupted bytes in their head come whole or not at all.

A server in trouble corrupts its head and may close within the body. The
caller got a success that the server had not given, or another body.
"""

import random
import socket
import unittest

from cardamomdeal.backend import connection
from cardamomdeal.backend import errors
from cardamomdeal.balancing import outcomes
from cardamomdeal.internal import address
from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import clock
from cardamomdeal.internal import memory_budget
from cardamomdeal.platform import responses
from cardamomdeal.platform import wire

SEED = 20261207
LIMIT_MS = 2_000
REQUEST_ID = 'r1'
BODY = b'{"text": "a first line\\nand a second one"}'
CHUNKED_BODY = b'9\r\n%b\r\n%x\r\n%b\r\n0\r\n\r\n' % (
    BODY[:9],
    len(BODY) - 9,
    BODY[9:],
)
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
LENGTH = b'Content-Length: %d' % len(BODY)
CHUNKED = b'Transfer-Encoding: chunked'
# Bytes that are more likely than others to change what a head means.
TELLING_BYTES = b'\r\n:; \t-_0123456789aCX\x00\x7f\xff'
CORRUPTIONS = 1_500


def head(status, *fields):
    return b'\r\n'.join(
        (
            b'HTTP/1.1 ' + status,
            f'{wire.REQUEST_ID}: {REQUEST_ID}'.encode(),
            f'{wire.SIGNATURE}: s'.encode(),
            b'Content-Type: application/json',
            *fields,
            b'\r\n',
        )
    )


def corrupt(rng, data):
    """Change, insert or remove one byte."""
    offset = rng.randrange(len(data))
    if rng.random() < 0.5:
        byte = rng.choice(TELLING_BYTES)
    else:
        byte = rng.randrange(256)
    changed = rng.choice((b'', bytes((byte,))))
    end = offset + rng.randrange(2)
    return data[:offset] + changed + data[end:]


class CorruptedHeadTest(unittest.TestCase):
    def setUp(self):
        self._rng = random.Random(SEED)
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self._listener.close)
        self._address = address.Address(*self._listener.getsockname())
        self._time = clock.Clock()

    def exchange(self, answer):
        """Return status and body if the caller would get the answer."""
        opened = connection.BackendConnection(
            self._address, LIMIT_MS, self._time
        )
        accepted, _ = self._listener.accept()
        with accepted:
            accepted.sendall(answer)
            accepted.shutdown(socket.SHUT_WR)
            try:
                return self._deliver(opened)
            except errors.ExchangeBroken:
                return None
            finally:
                opened.close()

    def _deliver(self, opened):
        response = opened.exchange_buffered(
            connection.BufferedRequest(
                'GET', '/', (), body_buffer.Body(), wire.REQUEST_ID, REQUEST_ID
            ),
            connection.TimeLimit(self._time.now_ms() + LIMIT_MS, LIMIT_MS),
            None,
        )
        body = response.buffered_body(
            memory_budget.Reservation(memory_budget.MemoryBudget(1_000_000))
        )
        match responses.classify(response.status, response.headers, 1):
            case outcomes.Answered(status):
                return status, b''.join(body.parts)
            case _:
                return None

    def successes(self, heads, sent):
        """Yield the heads that come as a success, with its body."""
        for corrupted in heads:
            match self.exchange(corrupted + sent):
                case status, body if status in range(200, 300):
                    yield corrupted, body

    def corrupted_heads(self, original):
        for _ in range(CORRUPTIONS):
            yield corrupt(self._rng, original)

    def assert_no_success(self, heads, sent):
        for corrupted, body in self.successes(heads, sent):
            with self.subTest(head=corrupted):
                self.fail(f'delivered with {body}')

    def test_success_is_whole_or_refused(self):
        for original, sent in (
            (head(b'200 OK', LENGTH), BODY),
            (head(b'200 OK', CHUNKED, b'X: 1'), CHUNKED_BODY),
            (INTERIM + head(b'200 OK', LENGTH, b'X: 1'), BODY),
        ):
            heads = self.corrupted_heads(original)
            for corrupted, body in self.successes(heads, sent):
                with self.subTest(head=corrupted):
                    self.assertEqual(BODY, body)

    def test_part_of_a_body_is_refused(self):
        for original, sent in (
            (head(b'200 OK', LENGTH), BODY[:5]),
            (head(b'200 OK', CHUNKED), CHUNKED_BODY[:30]),
        ):
            self.assert_no_success(self.corrupted_heads(original), sent)

    def test_failure_with_any_status_is_no_success(self):
        for status in (
            b'404 Not Found',
            b'500 Internal Server Error',
            b'503 Service Unavailable',
        ):
            self.assert_no_success(
                (
                    head(
                        status[:offset]
                        + bytes((byte,))
                        + status[offset + 1 :],
                        LENGTH,
                    )
                    for offset in range(3)
                    for byte in range(256)
                ),
                BODY,
            )

    def test_answer_without_a_length_is_delivered(self):
        self.assertEqual(
            (200, BODY), self.exchange(head(b'200 OK', b'X: 1') + BODY)
        )


if __name__ == '__main__':
    unittest.main()
