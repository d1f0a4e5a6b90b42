"""Error responses state whether the request was run.

A caller sends a request again if its outcome is `not-run`. If that were stated
of a request that a backend server has run, the work would be done twice.
"""

import dataclasses
import socket
import threading
import time

from cardamomdeal.backend import header_fields
from devel import fleet
from tests import support

MAX_LATE_S = 0.5


class RequestOutcomesTest(support.GatewayCase):
    def test_unknown_route_gives_404_not_run(self) -> None:
        self.assert_error_response(
            self.send('GET', '/stockings'), 404, 'not-run'
        )

    def test_method_not_allowed_gives_405_not_run(self) -> None:
        response = self.send('DELETE', '/stock/1')
        self.assert_error_response(response, 405, 'not-run')
        self.assertEqual('GET, HEAD', response.headers['Allow'])

    def test_oversized_body_gives_413_not_run(self) -> None:
        response = self.send('POST', '/orders', body=b'x' * (1024**2 + 1))
        self.assert_error_response(response, 413, 'not-run')
        self.assertEqual(0, self.execution_count())

    def test_oversized_chunked_body_gives_413_not_run(self) -> None:
        chunks = (b'x' * 1024 for _ in range(1025))
        response = self.send('POST', '/orders', body=chunks)
        self.assert_error_response(response, 413, 'not-run')
        self.assertEqual(0, self.execution_count())

    def test_refused_connections_give_503_not_run(self) -> None:
        for name in list(self.backends):
            self.stop_backend(name)
        for method, path in (('GET', '/stock/1'), ('POST', '/orders')):
            with self.subTest(method=method):
                response = self.send(method, path, body=b'')
                self.assert_error_response(response, 503, 'not-run')

    def test_request_is_retried_after_refused_connection(self) -> None:
        self.stop_backend('pantanir-1')
        self.stop_backend('pantanir-2')
        for number in range(5):
            response = self.send(
                'POST', '/orders', f'order-{number}', body=b''
            )
            self.assertEqual(200, response.status, response.data)
            self.assertEqual(1, self.execution_count(f'order-{number}'))

    def test_refusals_by_servers_give_503_not_run(self) -> None:
        for refusal, changes in (
            (header_fields.Refusal.SHED, {'slots': 0}),
            (header_fields.Refusal.STARTING, {'starting': True}),
            (header_fields.Refusal.DRAINING, {'draining': True}),
        ):
            with self.subTest(refusal=refusal):
                self.change_all_behaviours(**changes)
                response = self.send(
                    'POST', '/orders', refusal.value, body=b''
                )
                self.assert_error_response(response, 503, 'not-run')
                self.assertEqual(0, self.execution_count(refusal.value))

    def test_missing_response_gives_504_unknown(self) -> None:
        self.change_all_behaviours(fault='silent')
        response = self.send('POST', '/orders', body=b'{}')
        self.assert_error_response(response, 504, 'unknown')
        self.assertEqual(1, self.execution_count())

    def test_outcome_stays_unknown_after_retry_that_cannot_connect(
        self,
    ) -> None:
        self.stop_backend('pantanir-2')
        self.stop_backend('pantanir-3')
        self.change_behaviour('pantanir-1', fault='reset_after_run')
        outcomes = set()
        for number in range(6):
            request_id = f'lookup-{number}'
            response = self.send('GET', '/stock/1', request_id)
            outcome = response.headers['Request-Outcome']
            outcomes.add(outcome)
            if self.execution_count(request_id):
                self.assertEqual('unknown', outcome)
        self.assertIn('unknown', outcomes)

    def test_truncated_request_body_gives_400_not_run(self) -> None:
        with socket.create_connection(self._address()) as caller:
            caller.sendall(
                b'POST /orders HTTP/1.1\r\nHost: a\r\nRequest-Id: cut\r\n'
                b'Content-Length: 100\r\n\r\nshort'
            )
            caller.shutdown(socket.SHUT_WR)
            response = caller.recv(4096)
        self.assertIn(b' 400 ', response.split(b'\r\n')[0])
        self.assertIn(b'Request-Outcome: not-run', response)
        self.assertEqual(0, self.execution_count('cut'))

    def test_malformed_requests_are_rejected_as_not_run(self) -> None:
        for raw_request in (
            b'NONSENSE\r\n\r\n',
            b'GET /stock/1 HTTP/9.9\r\nHost: a\r\n\r\n',
            b'GET /stock/1 HTTP/1.1\r\nbad header\r\n\r\n',
            b'POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n',
            b'POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n',
            b'POST /orders HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            b'POST /orders HTTP/1.1\r\nHost: a\r\n'
            b'Transfer-Encoding: gzip\r\n\r\n',
        ):
            with self.subTest(raw_request=raw_request):
                received_before = sum(self.received_counts().values())
                with socket.create_connection(self._address(), 5) as caller:
                    caller.sendall(raw_request)
                    response = caller.recv(4096)
                self.assertRegex(response, rb'^HTTP/1.1 (4\d\d|501|505) ')
                self.assertIn(b'Request-Outcome: not-run', response)
                self.assertEqual(
                    received_before, sum(self.received_counts().values())
                )

    def _address(self) -> tuple[str, int]:
        return (self.settings.listen.host, self.settings.listen.port)


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadResult:
    """Response to one of many requests that were sent at once."""

    request_id: str
    status: int
    outcome: str | None
    took_s: float


class OverloadTest(support.GatewayCase):
    settings_changes = {'threads': 2}
    work_ms = 300

    def send_all(
        self, request_count: int, gap_s: float = 0
    ) -> list[OverloadResult]:
        """Send requests side by side, each with its own ID."""
        results: list[OverloadResult] = []

        def send_request(number: int) -> None:
            request_id = f'over-{number}'
            sent_at_s = time.monotonic()
            response = self.send('POST', '/orders', request_id, body=b'')
            results.append(
                OverloadResult(
                    request_id,
                    response.status,
                    response.headers.get('Request-Outcome'),
                    time.monotonic() - sent_at_s,
                )
            )

        threads = [
            threading.Thread(target=send_request, args=(number,))
            for number in range(request_count)
        ]
        for thread in threads:
            thread.start()
            time.sleep(gap_s)
        for thread in threads:
            thread.join()
        self.assertEqual(request_count, len(results))
        return results

    def test_requests_beyond_capacity_give_503_not_run(self) -> None:
        rejected = [r for r in self.send_all(20) if r.status != 200]
        self.assertTrue(rejected)
        for result in rejected:
            self.assertEqual((503, 'not-run'), (result.status, result.outcome))
            self.assertEqual(0, self.execution_count(result.request_id))

    def test_refusal_does_not_wait_for_refusals_before_it(self) -> None:
        # The thread that accepts connections waited for 50 ms before each.
        rejected = [r for r in self.send_all(60, 0.005) if r.status != 200]
        self.assertGreater(len(rejected), 30)
        self.assertLess(max(r.took_s for r in rejected), MAX_LATE_S)


class ConnectTimeoutTest(support.GatewayCase):
    server_count = 1

    def test_connect_timeout_gives_503_not_run(self) -> None:
        self.stop_backend('pantanir-1')
        address = self.server_item('pantanir-1')['address']
        host, port = address.split(':')
        with socket.socket() as listener:
            listener.bind((host, int(port)))
            listener.listen(0)
            # Fill the backlog, so that the gateway cannot connect.
            clients = [socket.socket() for _ in range(3)]
            for client in clients:
                client.setblocking(False)
                client.connect_ex((host, int(port)))
            response = self.send('POST', '/orders', body=b'')
            for client in clients:
                client.close()
        self.assert_error_response(response, 503, 'not-run')
        self.assertFalse(fleet.is_listening(address))


class OneSlotTest(support.GatewayCase):
    server_count = 1
    slots = 1

    def test_slot_is_released_when_its_request_ends(self) -> None:
        for number in range(10):
            response = self.send('GET', '/stock/1', f'lookup-{number}')
            self.assertEqual(200, response.status, response.data)
