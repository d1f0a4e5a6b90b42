"""Callers get whole answers to their own requests, or a failure."""

import http.client
import json
import socket

from tests import support

BROKEN_ANSWERS = (
    'reset_before_run',
    'reset_after_run',
    'half',
    'half_chunked',
    'wrong_length',
    'no_length',
    'crossed',
)
LONG_ANSWER_BYTES = 2 * 1024**2


class WholeAnswersTest(support.GatewayCase):
    def test_a_whole_answer_passes(self) -> None:
        answer = self.send('GET', '/stock/1?size=2')
        body = json.loads(answer.data)
        self.assertEqual(200, answer.status)
        self.assertEqual('/stock/1?size=2', body['path'])
        self.assertEqual('request-1', body['request_id'])
        self.assertEqual('request-1', answer.headers['Request-Id'])

    def test_head_keeps_the_stated_length_and_has_no_body(self) -> None:
        answer = self.send('HEAD', '/stock/1')
        self.assertEqual(200, answer.status)
        self.assertEqual(b'', answer.data)
        self.assertGreater(int(answer.headers['Content-Length']), 0)

    def test_a_lookup_broken_on_one_server_is_answered_by_another(
        self,
    ) -> None:
        for fault in BROKEN_ANSWERS:
            with self.subTest(fault=fault):
                self.behave('pantanir-1', fault=fault)
                for number in range(12):
                    answer = self.send('GET', '/stock/1', f'{fault}-{number}')
                    self.assertEqual(200, answer.status, answer.data)
                    self.assertEqual(
                        f'{fault}-{number}',
                        json.loads(answer.data)['request_id'],
                    )

    def test_a_lookup_that_one_server_fails_is_answered_by_another(
        self,
    ) -> None:
        self.behave('pantanir-1', fault='error')
        for number in range(12):
            answer = self.send('GET', '/stock/1', f'error-{number}')
            self.assertEqual(200, answer.status, answer.data)

    def test_a_servers_own_error_to_an_order_is_passed_on(self) -> None:
        self.behave_all(fault='error')
        answer = self.send('POST', '/orders', body=b'{}')
        self.assertEqual((500, b'{}'), (answer.status, answer.data))
        self.assertNotIn('Request-Outcome', answer.headers)
        self.assertEqual(1, self.executions())

    def test_an_error_of_every_server_is_passed_on(self) -> None:
        self.behave_all(fault='error')
        answer = self.send('GET', '/stock/1')
        self.assertEqual((500, b'{}'), (answer.status, answer.data))

    def test_a_broken_order_fails_as_unknown_and_is_sent_once(self) -> None:
        for fault in BROKEN_ANSWERS:
            with self.subTest(fault=fault):
                self.behave_all(fault=fault)
                before = sum(self.received().values())
                answer = self.send('POST', '/orders', fault, body=b'{}')
                self.assert_failed(answer, 502, 'unknown')
                self.assertLessEqual(self.executions(fault), 1)
                self.assertEqual(before + 1, sum(self.received().values()))

    def test_bytes_after_an_answer_reach_nobody_else(self) -> None:
        self.behave_all(fault='doubled')
        for number in range(10):
            request_id = f'doubled-{number}'
            answer = self.send('GET', f'/stock/{number}', request_id)
            self.assertEqual(200, answer.status, answer.data)
            body = json.loads(answer.data)
            self.assertEqual(request_id, body['request_id'])
            self.assertEqual(f'/stock/{number}', body['path'])

    def test_a_long_answer_that_breaks_does_not_look_complete(self) -> None:
        for fault in ('half', 'half_chunked'):
            with self.subTest(fault=fault):
                self.behave_all(fault=fault, answer_bytes=LONG_ANSWER_BYTES)
                with self.assertRaises(http.client.IncompleteRead):
                    self._read_plainly('/stock/1')

    def test_a_long_answer_passes_whole(self) -> None:
        for fault in ('', 'chunked'):
            with self.subTest(fault=fault):
                self.behave_all(fault=fault, answer_bytes=LONG_ANSWER_BYTES)
                self.assertEqual(
                    LONG_ANSWER_BYTES, len(self._read_plainly('/stock/1'))
                )

    def test_a_caller_that_leaves_gives_its_slot_back(self) -> None:
        self.behave_all(answer_bytes=64 * LONG_ANSWER_BYTES)
        for _ in range(20):
            with socket.create_connection(self._address()) as leaving:
                leaving.sendall(b'GET /stock/1 HTTP/1.1\r\nHost: a\r\n\r\n')
                leaving.recv(100)
        self.behave_all(answer_bytes=0)
        for _ in range(50):
            answer = self.send('GET', '/stock/1')
            if answer.status == 200:
                break
        self.assertEqual(200, answer.status, answer.data)

    def _address(self) -> tuple[str, int]:
        return (self.settings.listen.host, self.settings.listen.port)

    def _read_plainly(self, path: str) -> bytes:
        plain = http.client.HTTPConnection(*self._address(), timeout=10)
        self.addCleanup(plain.close)
        plain.request('GET', path)
        return plain.getresponse().read()
