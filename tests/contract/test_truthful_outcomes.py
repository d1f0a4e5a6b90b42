"""Every failure says truthfully whether the request was run."""

import socket
import threading

from cardamomdeal.backend import responses
from devel import fleet
from tests import support


class TruthfulOutcomesTest(support.GatewayCase):
    def test_an_unknown_route_is_not_run(self) -> None:
        self.assert_failed(self.send('GET', '/stockings'), 404, 'not-run')

    def test_a_method_without_route_is_not_run(self) -> None:
        answer = self.send('DELETE', '/stock/1')
        self.assert_failed(answer, 405, 'not-run')
        self.assertEqual('GET, HEAD', answer.headers['Allow'])

    def test_a_body_over_the_limit_is_not_run(self) -> None:
        answer = self.send('POST', '/orders', body=b'x' * (1024**2 + 1))
        self.assert_failed(answer, 413, 'not-run')
        self.assertEqual(0, self.executions())

    def test_a_chunked_body_over_the_limit_is_not_run(self) -> None:
        chunks = (b'x' * 1024 for _ in range(1025))
        answer = self.send('POST', '/orders', body=chunks)
        self.assert_failed(answer, 413, 'not-run')
        self.assertEqual(0, self.executions())

    def test_servers_that_refuse_connections_are_not_run(self) -> None:
        for name in list(self.backends):
            self.stop_backend(name)
        for method, path in (('GET', '/stock/1'), ('POST', '/orders')):
            with self.subTest(method=method):
                answer = self.send(method, path, body=b'')
                self.assert_failed(answer, 503, 'not-run')

    def test_an_order_goes_to_a_server_that_accepts_connections(self) -> None:
        self.stop_backend('pantanir-1')
        self.stop_backend('pantanir-2')
        for number in range(5):
            answer = self.send('POST', '/orders', f'order-{number}', body=b'')
            self.assertEqual(200, answer.status, answer.data)
            self.assertEqual(1, self.executions(f'order-{number}'))

    def test_refusals_of_the_servers_are_not_run(self) -> None:
        for refusal, behaviour in (
            (responses.Refusal.SHED, {'slots': 0}),
            (responses.Refusal.STARTING, {'starting': True}),
            (responses.Refusal.DRAINING, {'draining': True}),
        ):
            with self.subTest(refusal=refusal):
                self.behave_all(**behaviour)
                answer = self.send('POST', '/orders', refusal.value, body=b'')
                self.assert_failed(answer, 503, 'not-run')
                self.assertEqual(0, self.executions(refusal.value))

    def test_an_answer_that_does_not_come_is_unknown(self) -> None:
        self.behave_all(fault='silent')
        answer = self.send('POST', '/orders', body=b'{}')
        self.assert_failed(answer, 504, 'unknown')
        self.assertEqual(1, self.executions())

    def test_a_retry_that_cannot_connect_does_not_hide_a_first_run(
        self,
    ) -> None:
        self.stop_backend('pantanir-2')
        self.stop_backend('pantanir-3')
        self.behave('pantanir-1', fault='reset_after_run')
        seen = set()
        for number in range(6):
            request_id = f'lookup-{number}'
            answer = self.send('GET', '/stock/1', request_id)
            outcome = answer.headers['Request-Outcome']
            seen.add(outcome)
            if self.executions(request_id):
                self.assertEqual('unknown', outcome)
        self.assertIn('unknown', seen)

    def test_a_request_body_cut_short_is_not_run(self) -> None:
        with socket.create_connection(self._address()) as caller:
            caller.sendall(
                b'POST /orders HTTP/1.1\r\nHost: a\r\nRequest-Id: cut\r\n'
                b'Content-Length: 100\r\n\r\nshort'
            )
            caller.shutdown(socket.SHUT_WR)
            answer = caller.recv(4096)
        self.assertIn(b' 400 ', answer.split(b'\r\n')[0])
        self.assertIn(b'Request-Outcome: not-run', answer)
        self.assertEqual(0, self.executions('cut'))

    def test_malformed_requests_are_refused_and_not_run(self) -> None:
        for raw in (
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
            with self.subTest(raw=raw):
                before = sum(self.received().values())
                with socket.create_connection(self._address(), 5) as caller:
                    caller.sendall(raw)
                    answer = caller.recv(4096)
                self.assertRegex(answer, rb'^HTTP/1.1 (4\d\d|501|505) ')
                self.assertIn(b'Request-Outcome: not-run', answer)
                self.assertEqual(before, sum(self.received().values()))

    def _address(self) -> tuple[str, int]:
        return (self.settings.listen.host, self.settings.listen.port)


class OverloadTest(support.GatewayCase):
    gateway_changes = {'threads': 2}
    work_ms = 300

    def test_requests_beyond_the_threads_are_not_run(self) -> None:
        results: list[tuple[int, str | None, str]] = []

        def call(number: int) -> None:
            answer = self.send('POST', '/orders', f'over-{number}', body=b'')
            results.append(
                (
                    answer.status,
                    answer.headers.get('Request-Outcome'),
                    f'over-{number}',
                )
            )

        threads = [
            threading.Thread(target=call, args=(number,))
            for number in range(20)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        refused = [r for r in results if r[0] != 200]
        self.assertEqual(20, len(results))
        self.assertTrue(refused)
        for status, outcome, request_id in refused:
            self.assertEqual((503, 'not-run'), (status, outcome))
            self.assertEqual(0, self.executions(request_id))


class SilentServerTest(support.GatewayCase):
    server_count = 1

    def test_a_server_that_never_accepts_is_not_run(self) -> None:
        self.stop_backend('pantanir-1')
        address = self.server_item('pantanir-1')['address']
        host, port = address.split(':')
        with socket.socket() as full:
            full.bind((host, int(port)))
            full.listen(0)
            fillers = [socket.socket() for _ in range(3)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex((host, int(port)))
            answer = self.send('POST', '/orders', body=b'')
            for filler in fillers:
                filler.close()
        self.assert_failed(answer, 503, 'not-run')
        self.assertFalse(fleet.listens(address))


class OneSlotTest(support.GatewayCase):
    server_count = 1
    slots = 1

    def test_a_slot_is_free_again_once_its_request_has_ended(self) -> None:
        for number in range(10):
            answer = self.send('GET', '/stock/1', f'lookup-{number}')
            self.assertEqual(200, answer.status, answer.data)
