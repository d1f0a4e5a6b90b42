"""With healthy servers, gateway and naive proxy respond alike."""

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
    def test_random_requests_get_the_same_responses(self) -> None:
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
            method, path, body = self._random_request(rng)
            expected = self.http.request(
                method,
                f'http://{host}:{port}{path}',
                body=body,
                headers={'Request-Id': f'{number}'},
            )
            response = self.send(method, path, f'{number}', body=body)
            with self.subTest(method=method, path=path):
                self._assert_same_response(expected, response)

    def _assert_same_response(
        self,
        expected: urllib3.BaseHTTPResponse,
        response: urllib3.BaseHTTPResponse,
    ) -> None:
        if expected.status == 502:
            # The naive proxy responds 502 to unknown routes and to failures.
            self.assertIn(response.status, (404, 405))
            return
        self.assertEqual(expected.status, response.status)
        self.assertEqual(expected.data, response.data)

    def _random_request(
        self, rng: random.Random
    ) -> tuple[str, str, bytes | None]:
        method = rng.choice(['GET', 'GET', 'POST', 'PUT', 'DELETE'])
        path = rng.choice(['/stock', '/orders', '/photos', '/none'])
        path += rng.choice(['', '/1', '/a%20b', '/1?size=2&x=%2F', '/./1'])
        body = None
        if method in ('POST', 'PUT'):
            body = rng.randbytes(rng.choice([0, 10, 70_000]))
        return method, path, body
