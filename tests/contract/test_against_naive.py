"""On well servers the gateway answers as a naive proxy does."""

import random

from cheroot import wsgi
import urllib3

from cardamomdeal.internal import serving
from devel import fleet
from devel import naive_proxy
from tests import support

SEED = 20261204
REQUESTS = 200


class AgainstNaiveTest(support.GatewayCase):
    def test_drawn_requests_have_the_same_answers(self) -> None:
        host, port = fleet.free_address().split(':')
        naive = serving.ServerTask(
            wsgi.Server(
                (host, int(port)), naive_proxy.NaiveProxy(self.document)
            )
        )
        naive.start()
        self.addCleanup(naive.finish)
        rng = random.Random(SEED)
        for number in range(REQUESTS):
            method, path, body = self._draw(rng)
            expected = self.http.request(
                method,
                f'http://{host}:{port}{path}',
                body=body,
                headers={'Request-Id': f'{number}'},
            )
            answer = self.send(method, path, f'{number}', body=body)
            with self.subTest(method=method, path=path):
                self._compare(expected, answer)

    def _compare(
        self,
        expected: urllib3.BaseHTTPResponse,
        answer: urllib3.BaseHTTPResponse,
    ) -> None:
        if expected.status == 502:
            # The naive proxy does not tell unknown routes from failures.
            self.assertIn(answer.status, (404, 405))
            return
        self.assertEqual(expected.status, answer.status)
        self.assertEqual(expected.data, answer.data)

    def _draw(self, rng: random.Random) -> tuple[str, str, bytes | None]:
        method = rng.choice(['GET', 'GET', 'POST', 'PUT', 'DELETE'])
        path = rng.choice(['/stock', '/orders', '/photos', '/none'])
        path += rng.choice(['', '/1', '/a%20b', '/1?size=2&x=%2F', '/./1'])
        body = None
        if method in ('POST', 'PUT'):
            body = rng.randbytes(rng.choice([0, 10, 70_000]))
        return method, path, body
