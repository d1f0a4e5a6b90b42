"""Callers get complete responses to their own requests, or an error.

Backend servers reset connections, truncate responses, send them without a
length or with a wrong one, send surplus bytes, or send the response of
another request.
"""

import http.client
import json
import socket

from tests import support

RESPONSE_FAULTS = (
    'reset_before_run',
    'reset_after_run',
    'half',
    'half_chunked',
    'wrong_length',
    'no_length',
    'crossed',
    'doubled',
)
LARGE_RESPONSE_BYTES = 2 * 1024**2


class CompleteResponsesTest(support.GatewayCase):
    def test_response_is_forwarded(self) -> None:
        response = self.send('GET', '/stock/1?size=2')
        body = json.loads(response.data)
        self.assertEqual(200, response.status)
        self.assertEqual('/stock/1?size=2', body['path'])
        self.assertEqual('request-1', body['request_id'])
        self.assertEqual('request-1', response.headers['Request-Id'])

    def test_head_response_has_content_length_and_no_body(self) -> None:
        response = self.send('HEAD', '/stock/1')
        self.assertEqual(200, response.status)
        self.assertEqual(b'', response.data)
        self.assertGreater(int(response.headers['Content-Length']), 0)

    def test_idempotent_request_is_retried_after_broken_response(
        self,
    ) -> None:
        for fault in RESPONSE_FAULTS:
            with self.subTest(fault=fault):
                self.change_behaviour('pantanir-1', fault=fault)
                for number in range(12):
                    response = self.send(
                        'GET', '/stock/1', f'{fault}-{number}'
                    )
                    self.assertEqual(200, response.status, response.data)
                    self.assertEqual(
                        f'{fault}-{number}',
                        json.loads(response.data)['request_id'],
                    )

    def test_idempotent_request_is_retried_after_error_response(
        self,
    ) -> None:
        self.change_behaviour('pantanir-1', fault='error')
        for number in range(12):
            response = self.send('GET', '/stock/1', f'error-{number}')
            self.assertEqual(200, response.status, response.data)

    def test_error_response_to_non_idempotent_request_is_forwarded(
        self,
    ) -> None:
        self.change_all_behaviours(fault='error')
        response = self.send('POST', '/orders', body=b'{}')
        self.assertEqual((500, b'{}'), (response.status, response.data))
        self.assertNotIn('Request-Outcome', response.headers)
        self.assertEqual(1, self.execution_count())

    def test_error_response_of_all_servers_is_forwarded(self) -> None:
        self.change_all_behaviours(fault='error')
        response = self.send('GET', '/stock/1')
        self.assertEqual((500, b'{}'), (response.status, response.data))

    def test_broken_non_idempotent_request_is_unknown_and_sent_once(
        self,
    ) -> None:
        for fault in RESPONSE_FAULTS:
            with self.subTest(fault=fault):
                self.change_all_behaviours(fault=fault)
                received_before = sum(self.received_counts().values())
                response = self.send('POST', '/orders', fault, body=b'{}')
                self.assert_error_response(response, 502, 'unknown')
                self.assertLessEqual(self.execution_count(fault), 1)
                self.assertEqual(
                    received_before + 1, sum(self.received_counts().values())
                )

    def test_surplus_bytes_are_no_response(self) -> None:
        self.change_all_behaviours(fault='doubled')
        for number in range(10):
            request_id = f'doubled-{number}'
            response = self.send('GET', f'/stock/{number}', request_id)
            self.assert_error_response(response, 502, 'unknown')
            self.assertEqual(request_id, response.headers['Request-Id'])
            self.assertEqual(
                request_id, json.loads(response.data)['request_id']
            )

    def test_truncated_large_response_is_detected_by_caller(self) -> None:
        for fault in ('half', 'half_chunked'):
            with self.subTest(fault=fault):
                self.change_all_behaviours(
                    fault=fault, answer_bytes=LARGE_RESPONSE_BYTES
                )
                with self.assertRaises(http.client.IncompleteRead):
                    self._get_body('/stock/1')

    def test_large_response_is_forwarded_completely(self) -> None:
        for fault in ('', 'chunked'):
            with self.subTest(fault=fault):
                self.change_all_behaviours(
                    fault=fault, answer_bytes=LARGE_RESPONSE_BYTES
                )
                self.assertEqual(
                    LARGE_RESPONSE_BYTES, len(self._get_body('/stock/1'))
                )

    def test_slot_is_released_when_caller_disconnects(self) -> None:
        self.change_all_behaviours(answer_bytes=64 * LARGE_RESPONSE_BYTES)
        for _ in range(20):
            with socket.create_connection(self._address()) as caller_socket:
                caller_socket.sendall(
                    b'GET /stock/1 HTTP/1.1\r\nHost: a\r\n\r\n'
                )
                caller_socket.recv(100)
        self.change_all_behaviours(answer_bytes=0)
        for _ in range(50):
            response = self.send('GET', '/stock/1')
            if response.status == 200:
                break
        self.assertEqual(200, response.status, response.data)

    def _address(self) -> tuple[str, int]:
        return (self.settings.listen.host, self.settings.listen.port)

    def _get_body(self, path: str) -> bytes:
        connection = http.client.HTTPConnection(*self._address(), timeout=10)
        self.addCleanup(connection.close)
        connection.request('GET', path)
        return connection.getresponse().read()
