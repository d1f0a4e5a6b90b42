"""Entry host processes with stand-ins for store and servers."""

import collections
import contextlib
import http.client
import json
import pathlib
import re
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

from cheroot import wsgi
import urllib3

from cardamomdeal.platform import wire
from devel import fleet
from devel import store_standin

START_TIMEOUT_S = 10
LOOPBACK = '127.0.0.1'
BACKEND_LATENCY_S = 0.15
STOP_GRACE_S = 6
PAUSE_S = 1.5
ROUTE_KINDS = ('safe', 'unsafe', 'upload')
# Services of the routes that do not go to the sound servers.
SERVICES = {'faulty': 'faulty'}


class Backend:
    """Backend server that counts how often it runs each request."""

    def __init__(self, server_id):
        self.server_id = server_id
        self.port = fleet.free_port()
        self.mode = 'work'
        self.latency_s = BACKEND_LATENCY_S
        self.run_counts = collections.Counter()
        self.client_ports = set()
        self.request_count = 0
        self.bodies = {}
        self.environs = {}
        self._server = wsgi.Server(
            (LOOPBACK, self.port), self._serve, numthreads=16, max=16
        )
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self):
        self._server.stop()

    def store_entry(self, state='ready'):
        return store_entry(self.port, 'lager', state)

    def _serve(self, environ, start_response):
        self.client_ports.add(environ['REMOTE_PORT'])
        self.request_count += 1
        request_id = environ['HTTP_CARDAMOMDEAL_REQUEST_ID']
        self.environs[request_id] = environ
        body = environ['wsgi.input'].read(
            int(environ.get('CONTENT_LENGTH') or 0)
        )
        headers = [(wire.REQUEST_ID, request_id), (wire.SERVER_LOAD, '1,0,3')]
        expected = environ['HTTP_CARDAMOMDEAL_EXPECT_INSTANCE']
        if expected != self.server_id:
            headers.append((wire.SERVER_ID, self.server_id))
            start_response('421 Misdirected Request', headers)
            return [b'']
        if self.mode == 'leave':
            headers.append((wire.SERVER_LEAVING, '1'))
        if self.mode in ('shed', 'pause'):
            headers.append((wire.NOT_EXECUTED, '1'))
            if self.mode == 'pause':
                headers.append((wire.RETRY_AFTER, str(PAUSE_S)))
            start_response('503 Service Unavailable', headers)
            return [b'']
        self.run_counts[request_id] += 1
        self.bodies[request_id] = body
        headers.append((wire.SIGNATURE, f'signed-{self.server_id}'))
        if self.mode == 'fail':
            start_response('500 Internal Server Error', headers)
            return [b'failed']
        if answer_bytes := _stated(environ, 'answer'):
            start_response('200 OK', headers)
            return [bytes(answer_bytes)]
        work_ms = _stated(environ, 'work')
        time.sleep(work_ms / 1000 if work_ms else self.latency_s)
        start_response('200 OK', headers)
        return [f'answer to {request_id}'.encode()]


def _stated(environ, name):
    """Return the number of `?NAME=NUMBER`, or None."""
    _, _, number = environ['QUERY_STRING'].partition(f'{name}=')
    return int(number) if number else None


class FaultyBackend:
    """Backend server whose answers are no whole answers."""

    def __init__(self, server_id):
        self.server_id = server_id
        self._listener = socket.create_server((LOOPBACK, 0), backlog=100)
        self._port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        self._listener.close()

    def store_entry(self):
        return store_entry(self._port, 'faulty')

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                opened, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(opened,), daemon=True
                ).start()

    def _serve(self, opened):
        with contextlib.suppress(OSError), opened:
            self.answer(opened, opened.recv(65_536))

    def answer(self, opened, request):
        """Answer a request; the connection is closed behind the answer."""
        raise NotImplementedError


class EndlessBackend(FaultyBackend):
    """Backend server whose answers have no end."""

    def __init__(self, server_id):
        super().__init__(server_id)
        # Sent once, and then again and again.
        self.start, self.repeated = b'', b''
        self.sent_bytes = 0

    def answer(self, opened, request):
        opened.sendall(self.start)
        while True:
            opened.sendall(self.repeated)
            self.sent_bytes += len(self.repeated)


class BreakingBackend(FaultyBackend):
    """Backend server that closes after a part of an answer."""

    def __init__(self, server_id):
        super().__init__(server_id)
        self.part = b''
        self.answered_count = 0

    def answer(self, opened, request):
        opened.sendall(self.part)
        self.answered_count += 1


def store_entry(port, service, state='ready'):
    return json.dumps(
        {
            'address': f'{LOOPBACK}:{port}',
            'born': 1,
            'info': {'service': service, 'zone': 'a', 'slots': 3},
            'status': {'state': state, 'seq': 1, 'cold_remaining': '0ms'},
        }
    ).encode()


class EntryHostCase(unittest.TestCase):
    """Test case with two entry hosts before two backend servers."""

    # Settings besides those that every deployment has.
    BOUNDS = {}
    SETTINGS = {}

    def setUp(self):
        self.store_port = fleet.free_port()
        self.store = store_standin.StoreStandin(LOOPBACK, self.store_port)
        self.addCleanup(self.store.stop)
        self.backends = [Backend('i-1'), Backend('i-2')]
        for backend in self.backends:
            self.addCleanup(backend.stop)
            self.store.put(
                f'servers/{backend.server_id}', backend.store_entry()
            )
        self.put_configuration(1, ['safe', 'unsafe'])
        self.processes = []
        self.hosts = [self.start_host(name) for name in ('entry-1', 'entry-2')]
        for host in self.hosts:
            self.wait_until_ready(host)

    def put_configuration(
        self,
        version,
        route_names,
        timeout='2000ms',
        max_body_bytes=1_000_000,
        tenants=None,
        public=(),
    ):
        routes = [
            [
                name,
                'shop.example',
                f'/{name}/',
                name if name in ROUTE_KINDS else 'safe',
                timeout,
                2,
                SERVICES.get(name, 'lager'),
            ]
            for name in route_names
        ]
        value = {
            'version': version,
            'routes': {
                'columns': [
                    'name',
                    'hostname',
                    'prefix',
                    'kind',
                    'timeout',
                    'attempts',
                    'service',
                ],
                'rows': routes,
            },
            'services': {
                'columns': ['name', 'max_connections'],
                'rows': [['lager', 390], ['faulty', 390]],
            },
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': max_body_bytes,
                'header_timeout': '1000ms',
                'idle_timeout': '15000ms',
            },
        }
        if tenants is not None:
            columns = ['name', 'api_keys', 'priority', 'rate_per_s', 'burst']
            value['tenants'] = {
                'columns': columns[: len(tenants[0])],
                'rows': tenants,
            }
            value['routes']['columns'].append('public')
            for row in routes:
                row.append(row[0] in public)
        self.store.put(wire.CONFIGURATION_KEY, json.dumps(value).encode())

    def start_host(self, name, log_output=None, seeds=()):
        ports = {
            key: fleet.free_port()
            for key in ('callers', 'readiness', 'directory', 'metrics')
        }
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((LOOPBACK, 0))
            ports['peers'] = probe.getsockname()[1]
        settings = {key: f'{LOOPBACK}:{port}' for key, port in ports.items()}
        settings |= {
            'host': name,
            'region': 'r',
            'data_centre': 'a',
            'store': f'{LOOPBACK}:{self.store_port}',
            'seeds': [f'{LOOPBACK}:{seed["peers"]}' for seed in seeds],
            'bounds': {
                'drain': '2000ms',
                'stop_grace': f'{STOP_GRACE_S}s',
                'max_keep_for': '5s',
                'repeat_ratio': 0.2,
                'repeat_window': '10s',
                'repeat_slack': 60.0,
                'capacity_floor': 0.7,
                **self.BOUNDS,
            },
            **self.SETTINGS,
        }
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = pathlib.Path(directory.name) / 'entry.jsonc'
        path.write_text('// Settings.\n' + json.dumps(settings))
        return self.start_process(
            ports | {'log': path.with_name('log'), 'settings': path},
            log_output,
        )

    def start_process(self, host, log_output=None):
        """Start the process of a host, also once more after its end."""
        with host['log'].open('a') as log_file:
            process = subprocess.Popen(
                [
                    sys.executable,
                    '-m',
                    'cardamomdeal.entry.main',
                    str(host['settings']),
                ],
                stdout=log_file if log_output is None else log_output,
            )
        self.processes.append(process)
        # A process outlives a `setUp` that fails before `tearDown` counts.
        self.addCleanup(self._end_process, process)
        host['process'] = process
        return host

    @staticmethod
    def _end_process(process):
        if process.poll() is None:
            process.kill()
        process.wait()

    def wait_until(self, condition, timeout_s=START_TIMEOUT_S):
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if condition():
                return
            time.sleep(0.05)
        self.fail('condition not met within the timeout')

    def wait_until_ready(self, host):
        def ready():
            try:
                return (
                    self.get_status(host['readiness'], wire.READY_PATH) == 200
                )
            except urllib3.exceptions.HTTPError:
                return False

        self.wait_until(ready)

    def get_status(self, port, path):
        return urllib3.request(
            'GET', f'http://{LOOPBACK}:{port}{path}', retries=False, timeout=2
        ).status

    def send(self, host, route, request_id, body=None, deadline_ms=3_000):
        return urllib3.request(
            'POST' if body is not None else 'GET',
            f'http://{LOOPBACK}:{host["callers"]}/{route}/x?y=%2F',
            headers={
                'Host': 'shop.example',
                wire.REQUEST_ID: request_id,
                wire.DEADLINE_MS: str(deadline_ms),
            },
            body=body,
            retries=False,
            timeout=5,
        )

    def run_count(self, request_id):
        return sum(backend.run_counts[request_id] for backend in self.backends)

    def start_callers(self, count, route='safe'):
        def call(n):
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                self.send(self.hosts[0], route, f'caller-{n}')

        threads = [
            threading.Thread(target=call, args=(n,)) for n in range(count)
        ]
        for thread in threads:
            thread.start()
        return threads

    def thread_count(self, host):
        status = pathlib.Path(f'/proc/{host["process"].pid}/status')
        count = re.search(r'^Threads:\s*(\d+)', status.read_text(), re.M)
        return int(count[1])

    def write_chunked_order(self, opened, request_id):
        opened.sendall(
            (
                f'POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\n'
                f'{wire.REQUEST_ID}: {request_id}\r\n'
                f'Transfer-Encoding: chunked\r\n\r\n'
                f'5\r\norder\r\n0\r\n\r\n'
            ).encode()
        )

    def watch_memory(self, host):
        """Return a function that returns the peak resident memory since."""
        process = host['process']
        pathlib.Path(f'/proc/{process.pid}/clear_refs').write_text('5')
        return lambda: self.resident_mb(host, 'VmHWM')

    def resident_mb(self, host, field):
        process = host['process']
        self.assertIsNone(process.poll())
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
        return int(re.search(rf'{field}:\s*(\d+)', status)[1]) / 1000

    def resolved_addresses(self, host):
        response = urllib3.request(
            'GET',
            f'http://{LOOPBACK}:{host["directory"]}'
            f'{wire.RESOLVE_PATH}?name=shop.example&region=r&zone=a',
            timeout=2,
        )
        return response.json()['addresses']

    def log_text(self):
        return pathlib.Path(self.hosts[0]['log']).read_text()

    def logged(self, message):
        return message in self.log_text()

    def metrics(self):
        return urllib3.request(
            'GET', f'http://{LOOPBACK}:{self.hosts[0]["metrics"]}/metrics'
        ).data.decode()

    def connect(self, host):
        return socket.create_connection((LOOPBACK, host['callers']), 5)

    def exchange(self, opened, request_id):
        """Send a request; return whether it was answered or cut off."""
        with opened:
            head = (
                f'GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n'
                f'{wire.REQUEST_ID}: {request_id}\r\n\r\n'
            )
            try:
                opened.sendall(head.encode())
                received = opened.recv(65_536)
            except OSError as error:
                return type(error).__name__
            return 'answered' if received else 'closed'

    def write_lookup(self, opened, request_id):
        opened.sendall(
            (
                f'GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n'
                f'{wire.REQUEST_ID}: {request_id}\r\n'
                f'{wire.DEADLINE_MS}: 8000\r\n\r\n'
            ).encode()
        )

    def write_order(self, opened, request_id):
        opened.sendall(
            (
                f'POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\n'
                f'{wire.REQUEST_ID}: {request_id}\r\n'
                f'{wire.DEADLINE_MS}: 8000\r\nContent-Length: 1\r\n\r\nx'
            ).encode()
        )

    def read_response(self, opened):
        """Read one response, and leave the connection for the next one."""
        response = http.client.HTTPResponse(opened)
        response.fp = UnbufferedReader(opened)
        response.begin()
        response.data = response.read()
        return response


class UnbufferedReader:
    """Unbuffered file object that consecutive responses can share."""

    def __init__(self, connection):
        self._connection = connection

    def readline(self, limit=65536):
        line = b''
        while not line.endswith(b'\n') and len(line) < limit:
            byte = self._connection.recv(1)
            if not byte:
                break
            line += byte
        return line

    def read(self, size):
        data = b''
        while len(data) < size:
            received = self._connection.recv(size - len(data))
            if not received:
                break
            data += received
        return data

    def close(self):
        """Leave the connection open for the next response."""

    def flush(self):
        """Do nothing; the file object is read-only."""
