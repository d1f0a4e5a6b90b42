"""Requests are found in bytes that arrive in any parts."""

import contextlib
import random
import unittest

from cardamomdeal.internal import memory_budget
from cardamomdeal.internal import request_intake

LIMITS = request_intake.Limits(max_head_bytes=200, max_body_bytes=1_000)
HEAD = b'POST / HTTP/1.1\r\nHost: a\r\n'
REQUESTS = (
    b'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
    HEAD + b'Content-Length: 3\r\n\r\nabc',
    HEAD + b'content-length :0\r\n\r\n',
    HEAD + b'Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n',
    HEAD + b'transfer-encoding: Chunked\r\n\r\n'
    b'5;x=y\r\n\r\n\r\n\r\r\n0\r\nT: v\r\n\r\n',
)


class RequestIntakeTest(unittest.TestCase):
    def setUp(self):
        self.budget = memory_budget.MemoryBudget(1_000_000)
        self.intake = request_intake.RequestIntake(self.budget)

    def add(self, data, now_ms=0):
        self.intake.add(data, now_ms, LIMITS)
        return self.intake.progress

    def take(self):
        return self.intake.take(0, LIMITS)

    def test_requests_in_parts_of_any_size(self):
        received = b'\r\n'.join(REQUESTS) + b'\r\n'
        for size in (1, 2, 3, 7, 50, len(received)):
            taken = []
            for start in range(0, len(received), size):
                self.add(received[start : start + size])
                while self.intake.is_ready:
                    request = self.take()
                    self.assertTrue(request.is_whole)
                    taken.append(request.read())
                    request.reservation.reduce_to(0)
            with self.subTest(size=size):
                self.assertEqual(list(REQUESTS), taken)
                self.assertEqual(
                    request_intake.Nothing(), self.intake.progress
                )
                self.assertEqual(0, self.budget.held_bytes)

    def test_parts_of_a_body_are_read_without_a_copy(self):
        length = b'Content-Length: 900\r\n\r\n'
        self.add(HEAD + length)
        data = bytes(900)
        self.add(data)
        request = self.take()
        for _ in range(4):
            request.readline()
        self.assertIs(data, request.read(10_000))
        request.reservation.reduce_to(0)

    def test_progress_tells_since_when_a_client_is_slow(self):
        self.assertEqual(
            request_intake.PartOfHead(5), self.add(HEAD[:9], now_ms=5)
        )
        self.assertEqual(
            request_intake.PartOfHead(5), self.add(HEAD[9:], now_ms=7)
        )
        length = b'Content-Length: 3\r\n\r\n'
        self.assertEqual(
            request_intake.PartOfBody(8), self.add(length, now_ms=8)
        )
        self.assertEqual(
            request_intake.PartOfBody(9), self.add(b'a', now_ms=9)
        )

    def test_requests_without_an_end_are_cut(self):
        cases = {
            'large head': (HEAD + b'X: ' + b'x' * 300, 'TooLarge'),
            'bare line end': (b'GET / HTTP/1.1\nHost: a', 'Malformed'),
            'large body': (HEAD + b'Content-Length: 1001\r\n\r\n', 'TooLarge'),
            'chunk size': (
                HEAD + b'Transfer-Encoding: chunked\r\n\r\n-1\r\n',
                'Malformed',
            ),
            'large chunk': (
                HEAD + b'Transfer-Encoding: chunked\r\n\r\n3e9\r\n',
                'TooLarge',
            ),
            'two fields of a length': (
                HEAD + b'Content-Length: 1\r\nContent-length: 40\r\n\r\n',
                'Malformed',
            ),
            'two lengths': (
                HEAD + b'Content-Length: 1\r\nTransfer-Encoding: chunked'
                b'\r\n\r\n',
                'Malformed',
            ),
        }
        for name, (received, reason) in cases.items():
            with self.subTest(name):
                self.setUp()
                progress = self.add(received)
                self.assertEqual(reason, type(progress.reason).__name__)
                self.assertFalse(self.take().is_whole)

    def test_odd_bytes_raise_nothing(self):
        rng = random.Random(5)
        for _ in range(3_000):
            self.setUp()
            received = bytearray(rng.choice(REQUESTS) + rng.choice(REQUESTS))
            for _ in range(rng.randrange(6)):
                position = rng.randrange(len(received))
                received[position] = rng.choice(b'\r\n:; 09afA-\0\xff')
            while received:
                size = rng.randrange(1, 40)
                if not self.intake.is_ready:
                    self.add(bytes(received[:size]))
                    del received[:size]
                while self.intake.is_ready:
                    request = self.take()
                    with contextlib.suppress(request_intake.RequestCut):
                        while request.readline(7):
                            pass
                    request.reservation.reduce_to(0)
            self.intake.release()
            self.assertEqual(0, self.budget.held_bytes)

    def test_missing_rest_is_reported_to_the_reader(self):
        self.add(HEAD + b'Content-Length: 3\r\n\r\na')
        self.intake.give_up(request_intake.TimedOut())
        request = self.take()
        self.assertTrue(request.read().endswith(b'a'))
        with self.assertRaises(request_intake.RequestCut):
            request.read(1)

    def test_body_without_memory_is_cut_before_it_arrives(self):
        self.budget = memory_budget.MemoryBudget(0)
        self.intake = request_intake.RequestIntake(self.budget)
        limits = request_intake.Limits(200, 10**9)
        self.intake.add(HEAD + b'Content-Length: 9000000\r\n\r\n', 0, limits)
        self.assertIsInstance(
            self.intake.progress.reason, request_intake.NoMemory
        )


if __name__ == '__main__':
    unittest.main()
