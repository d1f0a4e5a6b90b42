"""Naive round-robin proxy: the baseline of benchmarks and differential tests.

It has a fixed time-out, retries a failed request up to three times whatever
its method, and skips servers whose health endpoint does not respond with 200.
"""

import itertools
import json
import pathlib
import sys
import threading
import time
from typing import Any

from cheroot import wsgi
import urllib3

from cardamomdeal.gateway import caller
from cardamomdeal.internal import address
from cardamomdeal.internal import process
from cardamomdeal.internal import serving
from cardamomdeal.routing import table
from devel import fleet

THREADS = 16
TIMEOUT_S = 2.0
RETRIES = 3
HEALTH_POLL_INTERVAL_S = 1.0


class NaiveProxy:
    """WSGI application that forwards requests to backend servers in turn."""

    def __init__(self, document: dict[str, Any]) -> None:
        model = fleet.check_model(document)
        self._routes = table.RouteTable(model.work_kinds)
        self._http = urllib3.PoolManager(
            retries=False, timeout=TIMEOUT_S, maxsize=THREADS
        )
        self._rotations = {
            service.name: itertools.cycle(model.servers_of(service.name))
            for service in model.services
        }
        self._servers = model.backend_servers
        self._unhealthy: frozenset[str] = frozenset()
        threading.Thread(target=self._poll_health, daemon=True).start()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Forward one request; respond 502 without a route or on failure."""
        request = caller.read_request(environ)
        match self._routes.find(request.method, request.path):
            case table.RouteFound(work_kind):
                body = environ['wsgi.input'].read(request.body_bytes or 0)
                response = self._forward(work_kind.service, request, body)
            case _:
                response = None
        if response is None:
            start_response('502 Bad Gateway', [('Content-Length', '0')])
            return []
        start_response(
            f'{response.status} Answer',
            [('Content-Length', str(len(response.data)))],
        )
        return [response.data]

    def _forward(
        self, service: str, request: caller.CallerRequest, body: bytes
    ) -> urllib3.BaseHTTPResponse | None:
        for _ in range(1 + RETRIES):
            server = next(self._rotations[service])
            if server.name in self._unhealthy:
                continue
            try:
                response = self._http.request(
                    request.method,
                    f'http://{server.address}{request.target}',
                    body=body,
                    headers={'Request-Id': request.request_id},
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status < 500:
                return response
        return None

    def _poll_health(self) -> None:
        while True:
            self._unhealthy = frozenset(
                server.name
                for server in self._servers
                if not self._is_healthy(server.address)
            )
            time.sleep(HEALTH_POLL_INTERVAL_S)

    def _is_healthy(self, server: address.Address) -> bool:
        try:
            response = self._http.request('GET', f'http://{server}/-/health')
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200


def main() -> None:
    """Run the proxy; the arguments are its address and a document file."""
    stop = process.stop_event()
    listen = address.parse_address(sys.argv[1])
    document = json.loads(pathlib.Path(sys.argv[2]).read_text())
    server = serving.ServerTask(
        wsgi.Server(
            (listen.host, listen.port),
            NaiveProxy(document),
            numthreads=THREADS,
            max=THREADS,
        )
    )
    server.start()
    stop.wait()
    server.finish()


if __name__ == '__main__':
    main()
