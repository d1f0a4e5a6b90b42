"""Entry hosts as real processes, with stand-ins around them."""

import collections
import http.client
import json
import os
import pathlib
import signal
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
HOST = '127.0.0.1'
LATENCY_S = 0.15
GRACE_S = 6
KINDS = ('safe', 'unsafe', 'upload')


class Backend:
    """Answer as a backend server; count how often each request runs."""

    def __init__(self, server_id):
        self.server_id = server_id
        self.port = fleet.free_port()
        self.mode = 'work'
        self.runs = collections.Counter()
        self.connections = set()
        self.requests = 0
        self.bodies = {}
        self._server = wsgi.Server(
            (HOST, self.port), self._serve, numthreads=16, max=16
        )
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self):
        self._server.stop()

    def entry(self, state='ready'):
        return json.dumps(
            {
                'address': f'{HOST}:{self.port}',
                'born': 1,
                'info': {'service': 'lager', 'zone': 'a', 'slots': 3},
                'status': {
                    'state': state,
                    'seq': 1,
                    'cold_remaining': '0ms',
                },
            }
        ).encode()

    def _serve(self, environ, start_response):
        self.connections.add(environ['REMOTE_PORT'])
        self.requests += 1
        request_id = environ['HTTP_CARDAMOMDEAL_REQUEST_ID']
        body = environ['wsgi.input'].read(
            int(environ.get('CONTENT_LENGTH') or 0)
        )
        headers = [(wire.REQUEST_ID, request_id), (wire.SERVER_LOAD, '1,0,3')]
        expected = environ['HTTP_CARDAMOMDEAL_EXPECT_INSTANCE']
        if expected != self.server_id:
            headers.append((wire.SERVER_ID, self.server_id))
            start_response('421 Misdirected Request', headers)
            return [b'']
        if self.mode == 'shed':
            headers.append((wire.NOT_EXECUTED, '1'))
            start_response('503 Service Unavailable', headers)
            return [b'']
        self.runs[request_id] += 1
        self.bodies[request_id] = body
        headers.append((wire.SIGNATURE, f'signed-{self.server_id}'))
        if self.mode == 'fail':
            start_response('500 Internal Server Error', headers)
            return [b'failed']
        time.sleep(LATENCY_S)
        start_response('200 OK', headers)
        return [f'answer to {request_id}'.encode()]


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.store_port = fleet.free_port()
        self.store = store_standin.StoreStandin(HOST, self.store_port)
        self.addCleanup(self.store.stop)
        self.backends = [Backend('i-1'), Backend('i-2')]
        for backend in self.backends:
            self.addCleanup(backend.stop)
            self.store.put(f'servers/{backend.server_id}', backend.entry())
        self.configure(1, ['safe', 'unsafe'])
        self.processes = []
        self.entries = [self.start(name) for name in ('entry-1', 'entry-2')]
        for at in self.entries:
            self.wait_until_ready(at)

    def tearDown(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()

    def configure(self, version, names):
        routes = [
            [
                name,
                'shop.example',
                f'/{name}/',
                name if name in KINDS else 'safe',
                '2000ms',
                2,
                'lager',
            ]
            for name in names
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
                'rows': [['lager', 390]],
            },
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 1000000,
                'header_timeout': '1000ms',
                'idle_timeout': '15000ms',
            },
        }
        self.store.put(wire.CONFIGURATION_KEY, json.dumps(value).encode())

    def start(self, name, log_to=None, seeds=()):
        ports = {
            key: fleet.free_port()
            for key in ('callers', 'readiness', 'directory', 'metrics')
        }
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind((HOST, 0))
            ports['peers'] = probe.getsockname()[1]
        settings = {key: f'{HOST}:{port}' for key, port in ports.items()}
        settings |= {
            'host': name,
            'region': 'r',
            'data_centre': 'a',
            'store': f'{HOST}:{self.store_port}',
            'seeds': [f'{HOST}:{seed["peers"]}' for seed in seeds],
            'bounds': {
                'drain': '2000ms',
                'stop_grace': f'{GRACE_S}s',
                'max_keep_for': '5s',
                'repeat_ratio': 0.2,
                'repeat_window': '10s',
                'repeat_slack': 60.0,
                'capacity_floor': 0.7,
            },
        }
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 'entry.jsonc'
        path.write_text('// Settings.\n' + json.dumps(settings))
        log_file = (pathlib.Path(folder.name) / 'log').open('w+')
        self.addCleanup(log_file.close)
        process = subprocess.Popen(
            [sys.executable, '-m', 'cardamomdeal.entry.main', str(path)],
            stdout=log_file if log_to is None else log_to,
        )
        self.processes.append(process)
        return ports | {
            'log': log_file.name,
            'process': process,
            'settings': path,
        }

    def wait_until(self, holds, timeout_s=START_TIMEOUT_S):
        ends_at_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_at_s:
            if holds():
                return
            time.sleep(0.05)
        self.fail('it did not come to hold in time')

    def wait_until_ready(self, at):
        def ready():
            try:
                return self.get(at['readiness'], wire.READY_PATH) == 200
            except urllib3.exceptions.HTTPError:
                return False

        self.wait_until(ready)

    def get(self, port, path):
        return urllib3.request(
            'GET', f'http://{HOST}:{port}{path}', retries=False, timeout=2
        ).status

    def send(self, at, kind, request_id, body=None, deadline_ms=3_000):
        return urllib3.request(
            'POST' if body is not None else 'GET',
            f'http://{HOST}:{at["callers"]}/{kind}/x?y=%2F',
            headers={
                'Host': 'shop.example',
                wire.REQUEST_ID: request_id,
                wire.DEADLINE_MS: str(deadline_ms),
            },
            body=body,
            retries=False,
            timeout=5,
        )

    def runs(self, request_id):
        return sum(backend.runs[request_id] for backend in self.backends)

    def test_whole_answer_of_the_right_request(self):
        answer = self.send(self.entries[0], 'safe', 'r1')
        self.assertEqual(200, answer.status)
        self.assertEqual(b'answer to r1', answer.data)
        self.assertIn(wire.SIGNATURE, answer.headers)

    def test_body_arrives_whole(self):
        body = os.urandom(300_000)
        answer = self.send(self.entries[0], 'unsafe', 'r1', body)
        self.assertEqual(200, answer.status)
        received = [backend.bodies.get('r1') for backend in self.backends]
        self.assertIn(body, received)

    def test_unknown_path_and_no_configuration_for_it(self):
        self.assertEqual(404, self.send(self.entries[0], 'no', 'r').status)

    def test_work_that_may_have_run_is_not_sent_again(self):
        for backend in self.backends:
            backend.mode = 'fail'
        answer = self.send(self.entries[0], 'unsafe', 'r1', b'x')
        self.assertEqual(500, answer.status)
        self.assertEqual(1, self.runs('r1'))

    def test_repeatable_work_goes_to_another_server(self):
        self.backends[0].mode = 'fail'
        for n in range(6):
            answer = self.send(self.entries[0], 'safe', f'r{n}')
            self.assertEqual(200, answer.status)

    def test_refused_work_was_not_run(self):
        for backend in self.backends:
            backend.mode = 'shed'
        answer = self.send(self.entries[0], 'unsafe', 'r1', b'x')
        self.assertEqual(503, answer.status)
        self.assertGreater(float(answer.headers['Retry-After']), 0)
        self.assertEqual(0, self.runs('r1'))

    def test_failure_at_one_host_warns_the_other(self):
        self.backends[0].mode = 'fail'
        for n in range(12):
            self.send(self.entries[0], 'unsafe', f'a{n}', b'x')
        before = sum(self.backends[0].runs.values())
        self.assertLessEqual(before, 3)
        for n in range(12):
            self.send(self.entries[1], 'unsafe', f'b{n}', b'x')
        self.assertLessEqual(sum(self.backends[0].runs.values()) - before, 1)

    def test_draining_server_gets_no_new_work(self):
        self.store.put('servers/i-1', self.backends[0].entry('draining'))
        time.sleep(1)
        for n in range(10):
            for at in self.entries:
                self.send(at, 'safe', f'{at["callers"]}-{n}')
        self.assertEqual(0, sum(self.backends[0].runs.values()))

    def test_address_that_another_server_took_over_runs_nothing(self):
        for backend in self.backends:
            backend.server_id += '-other'
        answer = self.send(self.entries[0], 'unsafe', 'r1', b'x')
        self.assertEqual(503, answer.status)
        self.assertEqual(0, self.runs('r1'))

    def test_address_that_was_taken_over_is_asked_once_by_all_hosts(self):
        for at in self.entries:
            # Hosts warn those that they have heard of.
            self.wait_until(lambda at=at: len(self.named_hosts(at)) == 2)
        replaced = self.backends[0]
        replaced.server_id += '-other'
        for at in self.entries:
            for n in range(10):
                answer = self.send(at, 'unsafe', f'{at["callers"]}-{n}', b'x')
                self.assertEqual(200, answer.status)
        # The first request that meets it warns the other host as well.
        self.assertLessEqual(replaced.requests, 1)

    def test_change_is_in_force_at_every_host_within_two_seconds(self):
        self.configure(2, ['safe', 'unsafe', 'upload'])
        time.sleep(1.8)
        for at in self.entries:
            answer = self.send(at, 'upload', f'u{at["callers"]}', b'x')
            self.assertEqual(200, answer.status)

    def test_large_change_is_in_force_at_every_host_within_two_seconds(self):
        # Two hosts read the store; what they tell the third is too large
        # for a datagram.
        self.entries.append(self.start('entry-3'))
        self.wait_until_ready(self.entries[-1])
        time.sleep(2)
        self.configure(2, [f'kind-{n}' for n in range(3_000)] + ['upload'])
        time.sleep(1.8)
        for at in self.entries:
            answer = self.send(at, 'upload', f'u{at["callers"]}', b'x')
            self.assertEqual(200, answer.status)

    def test_serving_goes_on_while_the_store_is_away(self):
        self.store.fault = store_standin.StoreFault.BUSY
        time.sleep(2)
        for at in self.entries:
            answer = self.send(at, 'safe', f'r{at["callers"]}')
            self.assertEqual(200, answer.status)

    def test_host_that_starts_while_the_store_is_away_learns_from_a_seed(
        self,
    ):
        self.store.fault = store_standin.StoreFault.BUSY
        # Longer than a view takes to count as stale.
        time.sleep(2)
        starting = self.start('entry-3', seeds=self.entries)
        self.wait_until_ready(starting)
        answer = self.send(starting, 'unsafe', 'r1', b'x')
        self.assertEqual(200, answer.status)
        self.store.fault = store_standin.StoreFault.NONE
        self.configure(2, ['safe', 'upload'])
        time.sleep(1.8)
        answer = self.send(starting, 'upload', 'r2', b'x')
        self.assertEqual(200, answer.status)

    def test_change_made_while_history_was_lost_is_found(self):
        self.configure(2, ['safe', 'upload'])
        self.store.compact()
        time.sleep(1.8)
        for at in self.entries:
            answer = self.send(at, 'upload', f'u{at["callers"]}', b'x')
            self.assertEqual(200, answer.status)

    def test_hosts_are_published_and_named_to_callers(self):
        hosts = f'{wire.ENTRY_HOSTS_PREFIX}entry-1'
        self.wait_until(lambda: hosts in self.store.existing_keys())
        callers = f'{HOST}:{self.entries[0]["callers"]}'
        self.assertIn(callers, self.named_hosts(self.entries[0]))

    def named_hosts(self, at):
        answer = urllib3.request(
            'GET',
            f'http://{HOST}:{at["directory"]}'
            f'{wire.RESOLVE_PATH}?name=shop.example&region=r&zone=a',
            timeout=2,
        )
        return answer.json()['addresses']

    def test_pipelined_lookups_are_answered_in_order_side_by_side(self):
        with socket.create_connection(
            (HOST, self.entries[0]['callers']), timeout=5
        ) as connected:
            started_s = time.monotonic()
            for n in range(4):
                connected.sendall(
                    (
                        f'GET /safe/{n} HTTP/1.1\r\nHost: shop.example\r\n'
                        f'{wire.REQUEST_ID}: p{n}\r\n'
                        f'{wire.DEADLINE_MS}: 3000\r\n\r\n'
                    ).encode()
                )
            bodies = []
            for _ in range(4):
                answer = http.client.HTTPResponse(connected)
                answer.fp = _Shared(connected)
                answer.begin()
                bodies.append(answer.read())
            took_s = time.monotonic() - started_s
        self.assertEqual(
            [f'answer to p{n}'.encode() for n in range(4)], bodies
        )
        # One behind the other they would take four times the latency.
        self.assertLess(took_s, 3 * LATENCY_S)

    def test_part_of_a_head_does_not_hold_up_answers(self):
        with socket.create_connection(
            (HOST, self.entries[0]['callers']), timeout=5
        ) as connected:
            head = (
                'GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n'
                f'{wire.DEADLINE_MS}: 3000\r\n{wire.REQUEST_ID}: '
            )
            started_s = time.monotonic()
            connected.sendall(f'{head}h0\r\n\r\n{head}h1\r\n'.encode())
            answer = http.client.HTTPResponse(connected)
            answer.fp = _Shared(connected)
            answer.begin()
            self.assertEqual(b'answer to h0', answer.read())
            self.assertLess(time.monotonic() - started_s, 4 * LATENCY_S)
            connected.sendall(b'\r\n')
            answer = http.client.HTTPResponse(connected)
            answer.fp = _Shared(connected)
            answer.begin()
            self.assertEqual(b'answer to h1', answer.read())

    def test_work_that_runs_once_reuses_connections_for_a_moment(self):
        self.store.remove('servers/i-2')
        time.sleep(1)
        for n in range(4):
            answer = self.send(self.entries[0], 'unsafe', f'c{n}', b'x')
            self.assertEqual(200, answer.status)
        self.assertEqual(1, len(self.backends[0].connections))

    def test_callers_are_held_to_the_operators_limits(self):
        at = self.entries[0]
        large = self.send(at, 'unsafe', 'large', b'x' * 1_000_001)
        self.assertEqual(413, large.status)
        self.assertEqual(0, self.runs('large'))
        with socket.create_connection(
            (HOST, at['callers']), timeout=5
        ) as large_head:
            head = 'GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nX: '
            large_head.sendall(head.encode() + b'x' * 20_000 + b'\r\n\r\n')
            self.assertIn(b' 413 ', large_head.recv(200))
        with socket.create_connection(
            (HOST, at['callers']), timeout=5
        ) as slow:
            slow.sendall(b'GET /safe/x HTTP/1.1\r\n')
            # The configuration gives a head one second.
            self.assertIn(b' 408 ', slow.recv(200))

    def test_body_may_pause_for_longer_than_a_head(self):
        with socket.create_connection(
            (HOST, self.entries[0]['callers']), timeout=5
        ) as connected:
            connected.sendall(
                (
                    'POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\n'
                    f'{wire.REQUEST_ID}: paused\r\nContent-Length: 2\r\n\r\na'
                ).encode()
            )
            time.sleep(1.3)
            connected.sendall(b'b')
            answer = http.client.HTTPResponse(connected)
            answer.fp = _Shared(connected)
            answer.begin()
            self.assertEqual(200, answer.status)

    def test_hangup_reloads_the_settings_and_cuts_nothing(self):
        stopping = self.entries[0]
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(
                self.send(stopping, 'unsafe', 'during', b'x').status
            )
        )
        caller.start()
        time.sleep(LATENCY_S / 2)
        stopping['process'].send_signal(signal.SIGHUP)
        caller.join()
        self.assertEqual([200], answers)
        self.wait_until(lambda: self.logged('settings reloaded'), 3)

    def test_changed_settings_are_taken_over_without_a_signal(self):
        path = self.entries[0]['settings']
        text = path.read_text()
        path.write_text(text.replace('"repeat_slack": 60.0', '"oops": 1'))
        self.wait_until(lambda: self.logged('settings rejected'), 3)
        self.assertIn('oops', self.log_text())
        path.write_text(text.replace('60.0', '80.0'))
        self.wait_until(lambda: self.logged('settings reloaded'), 3)
        answer = self.send(self.entries[0], 'safe', 'after')
        self.assertEqual(200, answer.status)

    def log_text(self):
        return pathlib.Path(self.entries[0]['log']).read_text()

    def logged(self, message):
        return message in self.log_text()

    def test_caller_that_left_frees_the_server(self):
        # The stand-in cannot be cancelled; the log tells what was done.
        connected = socket.create_connection(
            (HOST, self.entries[0]['callers']), timeout=5
        )
        connected.sendall(
            (
                f'GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n'
                f'{wire.REQUEST_ID}: gone\r\n\r\n'
            ).encode()
        )
        time.sleep(LATENCY_S / 3)
        connected.close()

        def noted():
            text = pathlib.Path(self.entries[0]['log']).read_text()
            return 'results.CallerLeft' in self.metrics() or (
                '"request_id": "gone"' in text
                and 'request ended' in text
                and '"status": 503' in text
            )

        self.wait_until(noted, timeout_s=3)

    def metrics(self):
        return urllib3.request(
            'GET', f'http://{HOST}:{self.entries[0]["metrics"]}/metrics'
        ).data.decode()

    def test_metrics_count_and_time_requests(self):
        self.send(self.entries[0], 'safe', 'r1')
        self.wait_until(lambda: 'route="safe"' in self.metrics(), 3)
        self.assertIn('results.Answered', self.metrics())

    def test_stop_ends_in_time_while_nobody_reads_the_log(self):
        # A log that cannot be written held the end of the process up.
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        stopping = self.start('entry-3', log_to=write_end)
        os.close(write_end)
        self.wait_until_ready(stopping)
        os.set_blocking(read_end, False)
        for n in range(400):
            self.send(stopping, 'no', f'unknown-{n}')
        stopping['process'].send_signal(signal.SIGTERM)
        self.assertEqual(0, stopping['process'].wait(GRACE_S))

    def test_planned_stop_cuts_no_request(self):
        answers = []
        stopping = self.entries[0]

        def call(n):
            answers.append(self.send(stopping, 'unsafe', f's{n}', b'x').status)

        callers = [threading.Thread(target=call, args=(n,)) for n in range(6)]
        for caller in callers:
            caller.start()
        time.sleep(LATENCY_S / 2)
        stopping['process'].send_signal(signal.SIGTERM)
        for caller in callers:
            caller.join()
        self.assertEqual([200] * 6, answers)
        self.assertEqual(503, self.get(stopping['readiness'], wire.READY_PATH))
        stopping['process'].wait(6)
        hosts = f'{wire.ENTRY_HOSTS_PREFIX}entry-1'
        self.assertNotIn(hosts, self.store.existing_keys())


class _Shared:
    """Read answers of one connection without reading ahead."""

    def __init__(self, connected):
        self._connected = connected

    def readline(self, limit=65536):
        line = b''
        while not line.endswith(b'\n') and len(line) < limit:
            byte = self._connected.recv(1)
            if not byte:
                break
            line += byte
        return line

    def read(self, size):
        data = b''
        while len(data) < size:
            received = self._connected.recv(size - len(data))
            if not received:
                break
            data += received
        return data

    def close(self):
        """Leave the connection open for the next answer."""

    def flush(self):
        """Do nothing; there is nothing to write."""
