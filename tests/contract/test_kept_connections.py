"""Faulty responses on a connection that is used for several requests.

A faulty server sends a copy of an earlier response where the next one is
expected, or breaks a response off. The next caller would get an answer that
is not its own, or be told that a request was not run although it was.
"""

import unittest

from cardamomdeal.backend import connection
from cardamomdeal.backend import errors
from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import clock
from cardamomdeal.internal import memory_budget
from cardamomdeal.platform import wire
from tests import scripted_server

LIMIT_MS = 2_000


def response(request_id=None, status='200 OK', body=b'done', extra=()):
    lines = [f'HTTP/1.1 {status}', f'Content-Length: {len(body)}', *extra]
    if request_id is not None:
        lines.append(f'{wire.REQUEST_ID}: {request_id}')
    return '\r\n'.join(lines).encode() + scripted_server.HEAD_END + body


def refusal(request_id=None):
    return response(
        request_id,
        '503 Service Unavailable',
        b'',
        (f'{wire.NOT_EXECUTED}: 1',),
    )


COPIES = {
    'answer with its ID': response('r1'),
    'answer without an ID': response(),
    'answer with an empty ID': response(''),
    'refusal with its ID': refusal('r1'),
    'refusal without an ID': refusal(),
    'refusal with an empty ID': refusal(''),
}
CUT_OFF = {
    'short of its length': response('r1')[:-2],
    'within a chunk': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
        b'Cardamomdeal-Request-Id: r1\r\n\r\n9\r\nabc'
    ),
    'without the last chunk': (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
        b'Cardamomdeal-Request-Id: r1\r\n\r\n3\r\nabc\r\n'
    ),
    'within the head': b'HTTP/1.1 200 OK\r\nContent-Le',
    'before the head': b'',
}


class KeptConnectionTest(unittest.TestCase):
    def connect(self, replies, resets=False):
        server = scripted_server.ScriptedServer(replies, resets)
        self.addCleanup(server.close)
        opened = connection.BackendConnection(
            server.address, LIMIT_MS, clock.Clock()
        )
        self.addCleanup(opened.close)
        return opened

    def exchange(self, opened, request_id):
        deadline_at_ms = clock.Clock().now_ms() + LIMIT_MS
        request = connection.BufferedRequest(
            'GET',
            '/x',
            ((wire.REQUEST_ID, request_id),),
            body_buffer.Body(),
            wire.REQUEST_ID,
            request_id,
        )
        received = opened.exchange_buffered(
            request, connection.TimeLimit(deadline_at_ms, LIMIT_MS), None
        )
        body = received.buffered_body(
            memory_budget.Reservation(memory_budget.MemoryBudget(1_000_000))
        )
        return received.status, b''.join(body.parts)

    def test_late_copy_is_not_the_next_answer(self):
        for name, copy in COPIES.items():
            with self.subTest(copy=name):
                opened = self.connect([response('r1'), copy])
                self.assertEqual((200, b'done'), self.exchange(opened, 'r1'))
                self.assertTrue(opened.is_usable())
                with self.assertRaises(errors.AnswerBroken):
                    self.exchange(opened, 'r2')
                self.assertFalse(opened.is_usable())

    def test_connection_with_a_copy_behind_the_answer_is_not_reused(self):
        for name, copy in COPIES.items():
            for sent in (copy, copy[:1], copy[:-1]):
                with self.subTest(copy=name, sent_bytes=len(sent)):
                    opened = self.connect([response('r1') + sent])
                    self.exchange(opened, 'r1')
                    self.assertFalse(opened.is_usable())

    def test_first_response_needs_no_id(self):
        opened = self.connect([refusal()])
        self.assertEqual((503, b''), self.exchange(opened, 'r1'))

    def test_response_that_breaks_off_is_not_complete(self):
        for name, cut_off in CUT_OFF.items():
            for resets in (False, True):
                with self.subTest(response=name, resets=resets):
                    opened = self.connect([cut_off], resets)
                    with self.assertRaises(errors.ExchangeBroken):
                        self.exchange(opened, 'r1')
                    self.assertFalse(opened.is_usable())

    def test_unlimited_response_that_is_reset_is_not_complete(self):
        head = b'HTTP/1.1 200 OK\r\nCardamomdeal-Request-Id: r1\r\n\r\n'
        opened = self.connect([head + b'part'], resets=True)
        with self.assertRaises(errors.ExchangeBroken):
            self.exchange(opened, 'r1')


if __name__ == '__main__':
    unittest.main()
