"""Naive proxy that measurements and differential tests compare with.

It takes backend servers in turn, waits a fixed time, sends a failed request
three times more, and believes the health endpoint.
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
HEALTH_INTERVAL_S = 1.0


class NaiveProxy:
    """Serve requests as the plainest proxy would."""

    def __init__(self, document: dict[str, Any]) -> None:
        checked = fleet.check_model(document)
        self._routes = table.RouteTable(checked.work_kinds)
        self._http = urllib3.PoolManager(
            retries=False, timeout=TIMEOUT_S, maxsize=THREADS
        )
        self._turns = {
            service.name: itertools.cycle(checked.servers_of(service.name))
            for service in checked.services
        }
        self._servers = checked.backend_servers
        self._unhealthy: frozenset[str] = frozenset()
        threading.Thread(target=self._check_health, daemon=True).start()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Serve one request."""
        request = caller.read_request(environ)
        match self._routes.find(request.method, request.path):
            case table.RouteFound(kind):
                body = environ['wsgi.input'].read(request.body_bytes or 0)
                answer = self._send(kind.service, request, body)
            case _:
                answer = None
        if answer is None:
            start_response('502 Bad Gateway', [('Content-Length', '0')])
            return []
        start_response(
            f'{answer.status} Answer',
            [('Content-Length', str(len(answer.data)))],
        )
        return [answer.data]

    def _send(
        self, service: str, request: caller.CallerRequest, body: bytes
    ) -> urllib3.BaseHTTPResponse | None:
        for _ in range(1 + RETRIES):
            server = next(self._turns[service])
            if server.name in self._unhealthy:
                continue
            try:
                answer = self._http.request(
                    request.method,
                    f'http://{server.address}{request.target}',
                    body=body,
                    headers={'Request-Id': request.request_id},
                )
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status < 500:
                return answer
        return None

    def _check_health(self) -> None:
        while True:
            self._unhealthy = frozenset(
                server.name
                for server in self._servers
                if not self._is_healthy(server.address)
            )
            time.sleep(HEALTH_INTERVAL_S)

    def _is_healthy(self, server: address.Address) -> bool:
        try:
            answer = self._http.request('GET', f'http://{server}/-/health')
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200


def main() -> None:
    """Run the proxy: LISTEN DOCUMENT."""
    stop = process.stop_event()
    listen = address.parse_address(sys.argv[1])
    document = json.loads(pathlib.Path(sys.argv[2]).read_text())
    task = serving.ServerTask(
        wsgi.Server(
            (listen.host, listen.port),
            NaiveProxy(document),
            numthreads=THREADS,
            max=THREADS,
        )
    )
    task.start()
    stop.wait()
    task.finish()


if __name__ == '__main__':
    main()
