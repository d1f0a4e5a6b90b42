"""In-process gateway with backend server stand-ins, for tests."""

import json
from typing import Any
import unittest

import pykka
import urllib3

from cardamomdeal.gateway import dispatcher
from cardamomdeal.gateway import forwarding
from cardamomdeal.gateway import messages
from cardamomdeal.gateway import server as gateway_server
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.internal import serving
from cardamomdeal.routing import servers
from cardamomdeal.settings import model
from devel import backend_standin
from devel import fleet

SHORT_DEADLINE_MS = 1_000


def small_document(
    server_count: int = 3, slots: int = 3, deadline_ms: int = SHORT_DEADLINE_MS
) -> dict[str, Any]:
    """Return a document with one service and three kinds of work.

    They are idempotent short work, other short work, and uploads.
    """
    return {
        'name': 'small',
        'region': 'nordur',
        'data_centres': ['nordur-a', 'nordur-b'],
        'services': [{'name': 'pantanir', 'floor_slots': slots}],
        'backend_servers': [
            {
                'name': f'pantanir-{index + 1}',
                'service': 'pantanir',
                'data_centre': 'nordur-a',
                'address': fleet.free_address(),
                'slots': slots,
                'max_connections': 100,
            }
            for index in range(server_count)
        ],
        'work_kinds': [
            work_kind('stock', ['GET', 'HEAD'], '/stock', True, deadline_ms),
            work_kind('order', ['POST'], '/orders', False, deadline_ms),
            {
                **work_kind('photos', ['PUT'], '/photos', True, 60_000),
                'work_class': 'upload',
                'idle_timeout_ms': 2_000,
                'max_body_bytes': 1024**3,
            },
        ],
    }


def work_kind(
    name: str,
    methods: list[str],
    prefix: str,
    idempotent: bool,
    deadline_ms: int,
) -> dict[str, Any]:
    """Return a kind of work of class `short` for the only service."""
    return {
        'name': name,
        'service': 'pantanir',
        'methods': methods,
        'path_prefix': prefix,
        'idempotent': idempotent,
        'work_class': 'short',
        'deadline_ms': deadline_ms,
    }


def gateway_settings(**changes: Any) -> model.GatewaySettings:
    """Return settings of a gateway that listens on a free address."""
    values: dict[str, Any] = {
        'name': 'gateway-1',
        'place': model.Place('entry-1', 'nordur', 'nordur-a'),
        'telemetry': model.Telemetry(None, 'ERROR'),
        'listen': address.parse_address(fleet.free_address()),
        'agent': address.parse_address(fleet.free_address()),
        'work_classes': frozenset(('short', 'upload')),
        'threads': 16,
        'keep_for_ms': 100,
        'notice_ms': 100,
        'report_interval_ms': 200,
        'connect_timeout_ms': 300,
        'caller_timeout_ms': 2_000,
        'stop_timeout_ms': 10_000,
    }
    return model.GatewaySettings(**{**values, **changes})


class GatewayCase(unittest.TestCase):
    """Test case with a gateway in front of backend server stand-ins."""

    server_count = 3
    slots = 3
    work_ms = 1
    settings_changes: dict[str, Any] = {}

    def setUp(self) -> None:
        self.document = small_document(self.server_count, self.slots)
        self.workers: dict[str, pykka.ActorRef[Any]] = {}
        self.backends: dict[str, backend_standin.Server] = {}
        for server in self.document['backend_servers']:
            self.start_backend(server['name'])
        self.settings = gateway_settings(**self.settings_changes)
        self.http = urllib3.PoolManager(retries=False, timeout=10.0)
        self.start_gateway()

    def tearDown(self) -> None:
        self.serving.finish()
        for backend in self.backends.values():
            backend.shutdown()
            backend.server_close()
        pykka.ActorRegistry.stop_all()

    def start_gateway(self) -> None:
        self.dispatcher = dispatcher.Dispatcher.start(
            self.settings, clock.Clock()
        )
        forwarder = forwarding.Forwarder(
            self.settings, self.dispatcher, clock.Clock()
        )
        self.serving = serving.ServerTask(
            gateway_server.build_server(
                self.settings, gateway_server.Application(forwarder)
            )
        )
        self.serving.start()
        self.dispatcher.ask(
            messages.DocumentUpdate(1, fleet.check_model(self.document))
        )

    def start_backend(self, name: str) -> None:
        server = self.server_item(name)
        self.backends[name], self.workers[name] = backend_standin.start_server(
            address.parse_address(server['address']),
            server['slots'],
            self.work_ms,
        )

    def stop_backend(self, name: str) -> None:
        backend = self.backends.pop(name)
        backend.shutdown()
        backend.server_close()

    def server_item(self, name: str) -> dict[str, Any]:
        return next(
            server
            for server in self.document['backend_servers']
            if server['name'] == name
        )

    def change_behaviour(self, name: str, **changes: Any) -> None:
        self.workers[name].ask(backend_standin.ChangeBehaviour(changes))

    def change_all_behaviours(self, **changes: Any) -> None:
        for name in self.workers:
            self.change_behaviour(name, **changes)

    def set_server_statuses(self, **statuses: servers.ServerStatus) -> None:
        self.dispatcher.ask(
            messages.ServerStatusUpdate(
                {
                    name.replace('_', '-'): status
                    for name, status in statuses.items()
                },
                clock.Clock().now_ms() + 60_000,
            )
        )

    def send(
        self, method: str, path: str, request_id: str = 'request-1', **options
    ) -> urllib3.BaseHTTPResponse:
        headers = {'Request-Id': request_id, **options.pop('headers', {})}
        return self.http.request(
            method,
            f'http://{self.settings.listen}{path}',
            headers=headers,
            **options,
        )

    def execution_count(self, request_id: str = 'request-1') -> int:
        return sum(
            worker.ask(backend_standin.GetCounts())['executed'].get(
                request_id, 0
            )
            for worker in self.workers.values()
        )

    def received_counts(self) -> dict[str, int]:
        return {
            name: worker.ask(backend_standin.GetCounts())['received']
            for name, worker in self.workers.items()
        }

    def assert_error_response(
        self,
        response: urllib3.BaseHTTPResponse,
        status: int,
        outcome: str,
    ) -> None:
        self.assertEqual(
            (status, outcome),
            (response.status, response.headers.get('Request-Outcome')),
            response.data,
        )
        self.assertEqual(outcome, json.loads(response.data)['outcome'])
