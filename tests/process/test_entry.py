"""Tests of entry host processes with stand-ins for store and servers."""

import collections
import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

import urllib3

from cardamomdeal.platform import wire
from devel import fleet
from devel import store_standin
from tests import entry_case

LOOPBACK = entry_case.LOOPBACK
STOP_GRACE_S = entry_case.STOP_GRACE_S
MAX_THREADS_AT_REST = 16
MIB = 1024**2
# Above this, the platform kills the process.
MEMORY_MB = 300
# Share of it that is not for bodies.
AT_REST_MB = 135


class EntryHostTest(entry_case.EntryHostCase):
    def test_response_is_complete_and_matches_the_request(self):
        response = self.send(self.hosts[0], 'safe', 'r1')
        self.assertEqual(200, response.status)
        self.assertEqual(b'answer to r1', response.data)
        self.assertIn(wire.SIGNATURE, response.headers)

    def test_request_body_arrives_complete(self):
        body = os.urandom(300_000)
        response = self.send(self.hosts[0], 'unsafe', 'r1', body)
        self.assertEqual(200, response.status)
        received = [backend.bodies.get('r1') for backend in self.backends]
        self.assertIn(body, received)

    def test_answer_that_breaks_off_in_its_head_is_no_success(self):
        # Its caller got a 200 with an empty or short body, framed as whole.
        breaking = entry_case.BreakingBackend('i-3')
        self.addCleanup(breaking.stop)
        self.store.put('servers/i-3', breaking.store_entry())
        self.put_configuration(2, ['faulty'])
        time.sleep(1.8)
        framings = {
            'Content-Length: 4': b'body',
            'Transfer-Encoding: chunked': b'4\r\nbody\r\n0\r\n\r\n',
            'Connection: close': b'',
        }
        for framing, body in framings.items():
            answer = (
                f'HTTP/1.1 200 OK\r\n{wire.SIGNATURE}: s\r\n{framing}\r\n\r\n'
            ).encode() + body
            for size in range(len(answer)):
                breaking.part = answer[:size]
                response = self.send(self.hosts[0], 'faulty', f'r{size}')
                with self.subTest(sent=breaking.part):
                    self.assertIn(response.status, (502, 503, 504))
        self.assertGreater(breaking.answered_count, 100)

    def test_path_without_a_route_gets_404(self):
        self.assertEqual(404, self.send(self.hosts[0], 'no', 'r').status)

    def test_unsafe_request_that_may_have_run_is_not_retried(self):
        for backend in self.backends:
            backend.mode = 'fail'
        response = self.send(self.hosts[0], 'unsafe', 'r1', b'x')
        self.assertEqual(500, response.status)
        self.assertEqual(1, self.run_count('r1'))

    def test_safe_request_is_retried_on_another_server(self):
        self.backends[0].mode = 'fail'
        for n in range(6):
            response = self.send(self.hosts[0], 'safe', f'r{n}')
            self.assertEqual(200, response.status)

    def test_request_shed_by_all_servers_does_not_run(self):
        for backend in self.backends:
            backend.mode = 'shed'
        response = self.send(self.hosts[0], 'unsafe', 'r1', b'x')
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers['Retry-After']), 0)
        self.assertEqual(0, self.run_count('r1'))

    def test_failures_at_one_host_are_shared_with_the_other(self):
        self.backends[0].mode = 'fail'
        for n in range(12):
            self.send(self.hosts[0], 'unsafe', f'a{n}', b'x')
        before = sum(self.backends[0].run_counts.values())
        self.assertLessEqual(before, 3)
        for n in range(12):
            self.send(self.hosts[1], 'unsafe', f'b{n}', b'x')
        self.assertLessEqual(
            sum(self.backends[0].run_counts.values()) - before, 1
        )

    def test_odd_entries_of_another_writer_are_ignored(self):
        self.store.put('servers/odd-1', b'[' * 100_000)
        odd = json.loads(self.backends[0].store_entry())
        odd['status']['cold_remaining'] = '9' * 400 + 's'
        self.store.put('servers/odd-2', json.dumps(odd).encode())
        odd['status']['cold_remaining'] = '0ms'
        odd['born'] = 10**30
        self.store.put('servers/odd-3', json.dumps(odd).encode())
        odd['born'] = 1
        odd['address'] = '127.0.0.1:99999'
        self.store.put('servers/odd-4', json.dumps(odd).encode())
        self.hosts.append(self.start_host('entry-3'))
        self.wait_until_ready(self.hosts[-1])
        self.put_configuration(2, ['safe', 'unsafe', 'added'])
        for host in self.hosts:
            self.wait_until(
                lambda host=host: (
                    self.send(host, 'added', f'r{host["callers"]}').status
                    == 200
                ),
                timeout_s=2,
            )
        self.assertEqual([None] * 3, [p.poll() for p in self.processes])

    def test_leaving_server_gets_no_requests_from_any_host(self):
        for host in self.hosts:
            self.wait_until(
                lambda host=host: len(self.resolved_addresses(host)) == 2
            )
        self.backends[0].mode = 'leave'
        n = 0
        while not self.backends[0].request_count:
            self.assertEqual(
                200, self.send(self.hosts[0], 'safe', f'a{n}').status
            )
            n += 1
        # The store still says that the server is ready, also once its entry
        # changes or lapses and returns.
        entry = json.loads(self.backends[0].store_entry())
        entry['status']['cold_remaining'] = '10ms'
        self.store.put('servers/i-1', json.dumps(entry).encode())
        time.sleep(0.5)
        self.store.remove('servers/i-1')
        time.sleep(0.5)
        self.store.put('servers/i-1', self.backends[0].store_entry())
        time.sleep(0.5)
        for host in self.hosts:
            for n in range(8):
                name = f'{host["callers"]}-{n}'
                self.assertEqual(200, self.send(host, 'safe', name).status)
        self.assertEqual(1, self.backends[0].request_count)

    def test_requests_are_refused_at_once_if_all_servers_are_leaving(self):
        for backend in self.backends:
            backend.mode = 'leave'
        statuses = []
        while 503 not in statuses and len(statuses) < 20:
            response = self.send(
                self.hosts[0], 'unsafe', f'r{len(statuses)}', b'x'
            )
            statuses.append(response.status)
        self.assertEqual([200, 200, 503], statuses)
        self.assertGreater(float(response.headers['Retry-After']), 0)

    def test_server_that_asks_for_a_pause_gets_no_requests_meanwhile(self):
        for backend in self.backends:
            backend.mode = 'pause'
        started_s = time.monotonic()
        self.send(self.hosts[0], 'unsafe', 'first', b'x')
        counts = [backend.request_count for backend in self.backends]
        self.assertEqual([1, 1], counts)
        for backend in self.backends:
            backend.mode = 'work'
        response = self.send(self.hosts[0], 'unsafe', 'refused', b'x')
        self.assertEqual(503, response.status)
        remaining_s = entry_case.PAUSE_S - (time.monotonic() - started_s)
        self.assertAlmostEqual(
            remaining_s, float(response.headers['Retry-After']), delta=0.4
        )
        self.assertEqual(
            counts, [backend.request_count for backend in self.backends]
        )
        time.sleep(float(response.headers['Retry-After']))
        response = self.send(self.hosts[0], 'unsafe', 'returned', b'x')
        self.assertEqual(200, response.status)

    def test_host_at_rest_has_few_threads(self):
        self.assertLessEqual(self.thread_count(self.hosts[0]), 20)
        for thread in self.start_callers(20):
            thread.join()
        # The test itself asks for the readiness once more.
        self.wait_until(
            lambda: self.thread_count(self.hosts[0]) <= MAX_THREADS_AT_REST
        )

    def test_silent_and_slow_callers_delay_no_other(self):
        port = self.hosts[0]['callers']
        connections = []
        for key in ('callers', 'readiness', 'directory'):
            for n in range(80):
                opened = socket.create_connection(
                    (LOOPBACK, self.hosts[0][key])
                )
                connections.append(opened)
                if key == 'callers' and n < 40:
                    opened.sendall(b'GET /safe/x HTTP/1.1\r\nHo')
        try:
            started_s = time.monotonic()
            for name in ('r1', 'r2', 'r3'):
                response = self.send({'callers': port}, 'safe', name)
                self.assertEqual(200, response.status)
            self.assertEqual(
                200,
                self.get_status(self.hosts[0]['readiness'], wire.READY_PATH),
            )
            self.assertTrue(self.resolved_addresses(self.hosts[0]))
            self.assertLess(time.monotonic() - started_s, 3)
        finally:
            for opened in connections:
                opened.close()

    def test_kept_connections_with_chunked_bodies_stay_idle(self):
        # The end of a chunked body was taken for the begin of a request, so
        # each connection kept a thread, then got 408, and others got 503.
        for backend in self.backends:
            backend.latency_s = 0.01
        kept = [self.connect(self.hosts[0]) for _ in range(80)]
        for n, opened in enumerate(kept):
            self.addCleanup(opened.close)
            self.write_chunked_order(opened, f'first-{n}')
            self.assertEqual(200, self.read_response(opened).status)
        # Longer than the configured header timeout.
        time.sleep(1.3)
        for n, opened in enumerate(kept):
            opened.setblocking(False)
            with self.assertRaises(BlockingIOError):
                opened.recv(1)
            opened.settimeout(5)
            self.write_chunked_order(opened, f'second-{n}')
            self.assertEqual(200, self.read_response(opened).status)

    def test_large_uploads_do_not_end_a_host_and_its_requests(self):
        # Three of 60 MiB took a host above its memory, since each was held
        # twice and nothing bounded their sum.
        self.put_configuration(2, ['unsafe', 'upload'], '4000ms', 64 * MIB)
        time.sleep(1.8)
        peak_mb = self.watch_memory(self.hosts[0])
        body = bytes(60 * MIB)
        statuses = []

        def upload(n):
            response = self.send(
                self.hosts[0], 'upload', f'upload-{n}', body, 20_000
            )
            statuses.append(response.status)
            ran = self.run_count(f'upload-{n}')
            self.assertEqual(response.status == 200, bool(ran))

        uploads = [
            threading.Thread(target=upload, args=(n,)) for n in range(4)
        ]
        for thread in uploads:
            thread.start()
        for n in range(10):
            response = self.send(self.hosts[0], 'unsafe', f'order-{n}', b'x')
            self.assertEqual(200, response.status)
        for thread in uploads:
            thread.join()
        self.assertEqual({200, 503}, set(statuses))
        self.assertLess(peak_mb(), MEMORY_MB)
        # What the uploads took is free again.
        response = self.send(self.hosts[0], 'upload', 'last', body, 20_000)
        self.assertEqual(200, response.status)
        self.assertLess(self.resident_mb(self.hosts[0], 'VmRSS'), AT_REST_MB)

    def test_answer_to_a_large_upload_finds_room_beside_others(self):
        # The upload's own size counted against its short answer, so it failed
        # once others had arrived, although the server had run it.
        self.put_configuration(2, ['upload'], '8000ms', 64 * MIB)
        time.sleep(1.8)
        for backend in self.backends:
            backend.latency_s = 2.0
        statuses = {}

        def upload(name, size_bytes):
            response = self.send(
                self.hosts[0], 'upload', str(name), bytes(size_bytes), 8_000
            )
            statuses[name] = response.status

        uploads = []
        for n, size_mib in enumerate((60, 40, 16, 12, 8, 4)):
            uploads.append(
                threading.Thread(target=upload, args=(n, size_mib * MIB))
            )
        for thread in uploads:
            thread.start()
            # The next one arrives while the server runs this one.
            time.sleep(0.25)
        for thread in uploads:
            thread.join()
        ran = [n for n in statuses if self.run_count(str(n))]
        self.assertEqual(
            {n: 200 if n in ran else 503 for n in statuses}, statuses
        )
        self.assertEqual(200, statuses[0])

    def test_endless_answers_do_not_end_a_host_and_its_requests(self):
        # Forty at once took a host above its memory: each was held up to 16
        # MiB several times, and nothing bounded their sum.
        peak_mb = self.watch_memory(self.hosts[0])
        endless = entry_case.EndlessBackend('i-3')
        self.addCleanup(endless.stop)
        self.store.put('servers/i-3', endless.store_entry())
        self.put_configuration(2, ['safe', 'unsafe', 'faulty'], '4000ms')
        time.sleep(1.8)
        floods = {
            'chunks': (
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
                b'10000\r\n' + bytes(0x10000) + b'\r\n',
            ),
            'header fields': (
                b'HTTP/1.1 200 OK\r\n',
                b'Name: ' + b'x' * 0x10000 + b'\r\n',
            ),
            'header line': (b'HTTP/1.1 200 OK\r\nName: ', b'x' * 0x10000),
            'no answer': (b'', b'x' * 0x10000),
        }
        for flood, (endless.start, endless.repeated) in floods.items():
            endless.sent_bytes = 0
            callers = self.start_callers(40, 'faulty')
            for n in range(10):
                response = self.send(
                    self.hosts[0], 'unsafe', f'{flood}-{n}', b'x'
                )
                self.assertEqual(200, response.status)
            for thread in callers:
                thread.join()
            self.assertGreater(endless.sent_bytes, 4 * MIB)
        self.assertLess(peak_mb(), MEMORY_MB)

    def test_ready_and_addresses_come_while_all_caller_threads_are_busy(self):
        for backend in self.backends:
            backend.latency_s = 1.5
        callers = self.start_callers(150)
        time.sleep(0.5)
        started_s = time.monotonic()
        self.assertEqual(
            200, self.get_status(self.hosts[0]['readiness'], wire.READY_PATH)
        )
        self.assertTrue(self.resolved_addresses(self.hosts[0]))
        self.assertLess(time.monotonic() - started_s, 1)
        for thread in callers:
            thread.join()

    def test_draining_server_gets_no_new_requests(self):
        self.store.put('servers/i-1', self.backends[0].store_entry('draining'))
        time.sleep(1)
        for n in range(10):
            for host in self.hosts:
                self.send(host, 'safe', f'{host["callers"]}-{n}')
        self.assertEqual(0, sum(self.backends[0].run_counts.values()))

    def test_address_reused_by_another_server_runs_nothing(self):
        for backend in self.backends:
            backend.server_id += '-other'
        response = self.send(self.hosts[0], 'unsafe', 'r1', b'x')
        self.assertEqual(503, response.status)
        self.assertEqual(0, self.run_count('r1'))

    def test_reused_address_gets_one_request_from_all_hosts(self):
        for host in self.hosts:
            # A host notifies only the hosts that it already knows.
            self.wait_until(
                lambda host=host: len(self.resolved_addresses(host)) == 2
            )
        replaced_backend = self.backends[0]
        replaced_backend.server_id += '-other'
        for host in self.hosts:
            for n in range(10):
                response = self.send(
                    host, 'unsafe', f'{host["callers"]}-{n}', b'x'
                )
                self.assertEqual(200, response.status)
        # The host that detects the replacement notifies the other one.
        self.assertLessEqual(replaced_backend.request_count, 1)

    def test_change_is_effective_at_every_host_within_2_s(self):
        self.put_configuration(2, ['safe', 'unsafe', 'upload'])
        time.sleep(1.8)
        for host in self.hosts:
            response = self.send(host, 'upload', f'u{host["callers"]}', b'x')
            self.assertEqual(200, response.status)

    def test_large_change_is_effective_at_every_host_within_2_s(self):
        # Two hosts read the store and send the change to the third, in a
        # message that is too large for a datagram.
        self.hosts.append(self.start_host('entry-3'))
        self.wait_until_ready(self.hosts[-1])
        time.sleep(2)
        self.put_configuration(
            2, [f'kind-{n}' for n in range(3_000)] + ['upload']
        )
        time.sleep(1.8)
        for host in self.hosts:
            response = self.send(host, 'upload', f'u{host["callers"]}', b'x')
            self.assertEqual(200, response.status)

    def test_requests_are_served_while_the_store_is_unavailable(self):
        self.store.fault = store_standin.StoreFault.BUSY
        time.sleep(2)
        for host in self.hosts:
            response = self.send(host, 'safe', f'r{host["callers"]}')
            self.assertEqual(200, response.status)

    def test_host_started_during_a_store_outage_syncs_from_a_seed(self):
        self.store.fault = store_standin.StoreFault.BUSY
        # Longer than the time after which a view of the store is stale.
        time.sleep(2)
        starting_host = self.start_host('entry-3', seeds=self.hosts)
        self.wait_until_ready(starting_host)
        response = self.send(starting_host, 'unsafe', 'r1', b'x')
        self.assertEqual(200, response.status)
        self.store.fault = store_standin.StoreFault.NONE
        self.put_configuration(2, ['safe', 'upload'])
        time.sleep(1.8)
        response = self.send(starting_host, 'upload', 'r2', b'x')
        self.assertEqual(200, response.status)

    def test_change_missing_from_the_store_history_is_found(self):
        self.put_configuration(2, ['safe', 'upload'])
        self.store.compact()
        time.sleep(1.8)
        for host in self.hosts:
            response = self.send(host, 'upload', f'u{host["callers"]}', b'x')
            self.assertEqual(200, response.status)

    def test_hosts_are_registered_and_resolved_for_callers(self):
        host_key = f'{wire.ENTRY_HOSTS_PREFIX}entry-1'
        self.wait_until(lambda: host_key in self.store.existing_keys())
        callers = f'{LOOPBACK}:{self.hosts[0]["callers"]}'
        self.assertIn(callers, self.resolved_addresses(self.hosts[0]))

    def test_pipelined_requests_run_concurrently_and_answer_in_order(self):
        with socket.create_connection(
            (LOOPBACK, self.hosts[0]['callers']), timeout=5
        ) as connection:
            started_s = time.monotonic()
            for n in range(4):
                connection.sendall(
                    (
                        f'GET /safe/{n} HTTP/1.1\r\nHost: shop.example\r\n'
                        f'{wire.REQUEST_ID}: p{n}\r\n'
                        f'{wire.DEADLINE_MS}: 3000\r\n\r\n'
                    ).encode()
                )
            bodies = []
            for _ in range(4):
                response = http.client.HTTPResponse(connection)
                response.fp = entry_case.UnbufferedReader(connection)
                response.begin()
                bodies.append(response.read())
            elapsed_s = time.monotonic() - started_s
        self.assertEqual(
            [f'answer to p{n}'.encode() for n in range(4)], bodies
        )
        # Requests run one after another take four times the latency.
        self.assertLess(elapsed_s, 3 * entry_case.BACKEND_LATENCY_S)

    def test_incomplete_head_does_not_delay_earlier_responses(self):
        with socket.create_connection(
            (LOOPBACK, self.hosts[0]['callers']), timeout=5
        ) as connection:
            head = (
                'GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n'
                f'{wire.DEADLINE_MS}: 3000\r\n{wire.REQUEST_ID}: '
            )
            started_s = time.monotonic()
            connection.sendall(f'{head}h0\r\n\r\n{head}h1\r\n'.encode())
            response = http.client.HTTPResponse(connection)
            response.fp = entry_case.UnbufferedReader(connection)
            response.begin()
            self.assertEqual(b'answer to h0', response.read())
            self.assertLess(
                time.monotonic() - started_s, 4 * entry_case.BACKEND_LATENCY_S
            )
            connection.sendall(b'\r\n')
            response = http.client.HTTPResponse(connection)
            response.fp = entry_case.UnbufferedReader(connection)
            response.begin()
            self.assertEqual(b'answer to h1', response.read())

    def test_unsafe_requests_reuse_a_recently_used_connection(self):
        self.store.remove('servers/i-2')
        time.sleep(1)
        for n in range(4):
            response = self.send(self.hosts[0], 'unsafe', f'c{n}', b'x')
            self.assertEqual(200, response.status)
        self.assertEqual(1, len(self.backends[0].client_ports))

    def test_configured_limits_are_enforced(self):
        host = self.hosts[0]
        large_response = self.send(host, 'unsafe', 'large', b'x' * 1_000_001)
        self.assertEqual(413, large_response.status)
        self.assertEqual(0, self.run_count('large'))
        with socket.create_connection(
            (LOOPBACK, host['callers']), timeout=5
        ) as large_head_connection:
            head = 'GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nX: '
            large_head_connection.sendall(
                head.encode() + b'x' * 20_000 + b'\r\n\r\n'
            )
            self.assertIn(b' 413 ', large_head_connection.recv(200))
        with socket.create_connection(
            (LOOPBACK, host['callers']), timeout=5
        ) as slow_connection:
            slow_connection.sendall(b'GET /safe/x HTTP/1.1\r\n')
            # The configured header timeout is one second.
            self.assertIn(b' 408 ', slow_connection.recv(200))

    def test_body_may_pause_for_longer_than_the_header_timeout(self):
        with socket.create_connection(
            (LOOPBACK, self.hosts[0]['callers']), timeout=5
        ) as connection:
            connection.sendall(
                (
                    'POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\n'
                    f'{wire.REQUEST_ID}: paused\r\nContent-Length: 2\r\n\r\na'
                ).encode()
            )
            time.sleep(1.3)
            connection.sendall(b'b')
            response = http.client.HTTPResponse(connection)
            response.fp = entry_case.UnbufferedReader(connection)
            response.begin()
            self.assertEqual(200, response.status)

    def test_sighup_reloads_settings_and_interrupts_no_request(self):
        host = self.hosts[0]
        statuses = []
        caller = threading.Thread(
            target=lambda: statuses.append(
                self.send(host, 'unsafe', 'during', b'x').status
            )
        )
        caller.start()
        time.sleep(entry_case.BACKEND_LATENCY_S / 2)
        host['process'].send_signal(signal.SIGHUP)
        caller.join()
        self.assertEqual([200], statuses)
        self.wait_until(lambda: self.logged('settings reloaded'), 3)

    def test_changed_settings_are_reloaded_without_a_signal(self):
        path = self.hosts[0]['settings']
        text = path.read_text()
        path.write_text(text.replace('"repeat_slack": 60.0', '"oops": 1'))
        self.wait_until(lambda: self.logged('settings rejected'), 3)
        self.assertIn('oops', self.log_text())
        path.write_text(text.replace('60.0', '80.0'))
        self.wait_until(lambda: self.logged('settings reloaded'), 3)
        response = self.send(self.hosts[0], 'safe', 'after')
        self.assertEqual(200, response.status)

    def test_request_ends_when_its_caller_disconnects(self):
        # The stand-in server cannot cancel a request, so the test checks
        # what the entry host counted or logged.
        connection = socket.create_connection(
            (LOOPBACK, self.hosts[0]['callers']), timeout=5
        )
        connection.sendall(
            (
                f'GET /safe/x HTTP/1.1\r\nHost: shop.example\r\n'
                f'{wire.REQUEST_ID}: gone\r\n\r\n'
            ).encode()
        )
        time.sleep(entry_case.BACKEND_LATENCY_S / 3)
        connection.close()

        def disconnect_recorded():
            text = pathlib.Path(self.hosts[0]['log']).read_text()
            return 'results.CallerLeft' in self.metrics() or (
                '"request_id": "gone"' in text
                and 'request ended' in text
                and '"status": 503' in text
            )

        self.wait_until(disconnect_recorded, timeout_s=3)

    def test_metrics_count_and_time_requests(self):
        self.send(self.hosts[0], 'safe', 'r1')
        self.wait_until(lambda: 'route="safe"' in self.metrics(), 3)
        self.assertIn('results.Answered', self.metrics())

    def test_blocked_log_output_does_not_delay_a_stop(self):
        # Nothing reads the pipe, so writes to the log block once it is full.
        # A blocked log write must not keep the process from exiting.
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        stopping_host = self.start_host('entry-3', log_output=write_end)
        os.close(write_end)
        self.wait_until_ready(stopping_host)
        os.set_blocking(read_end, False)
        for n in range(400):
            self.send(stopping_host, 'no', f'unknown-{n}')
        stopping_host['process'].send_signal(signal.SIGTERM)
        self.assertEqual(0, stopping_host['process'].wait(STOP_GRACE_S))

    def test_host_that_cannot_start_says_why_and_ends(self):
        # The threads of its actors kept such a process alive, so that it was
        # never started again, and what it had logged last was lost.
        for key in ('callers', 'metrics', 'peers'):
            with self.subTest(address=key):
                settings = json.loads(
                    self.hosts[0]['settings'].read_text().split('\n', 1)[1]
                )
                for free in {'callers', 'metrics', 'peers'} - {key}:
                    settings[free] = f'{LOOPBACK}:{fleet.free_port()}'
                for free in ('readiness', 'directory'):
                    settings[free] = f'{LOOPBACK}:{fleet.free_port()}'
                path = self.hosts[0]['settings'].with_name('second.jsonc')
                path.write_text(json.dumps(settings))
                ended = subprocess.run(
                    [sys.executable, '-m', 'cardamomdeal.entry.main', path],
                    capture_output=True,
                    text=True,
                    timeout=entry_case.START_TIMEOUT_S,
                )
                self.assertNotEqual(0, ended.returncode)
                self.assertIn(
                    f'cannot listen on {settings[key]}',
                    ended.stdout + ended.stderr,
                )

    def test_unexpected_exception_at_the_start_is_logged(self):
        program = (
            'from unittest import mock\n'
            'from cardamomdeal.entry import main, registrar\n'
            'registrar.Registrar.start = mock.Mock(side_effect=OSError(7))\n'
            'main.main()\n'
        )
        self.processes[0].kill()
        self.processes[0].wait()
        ended = subprocess.run(
            [sys.executable, '-c', program, self.hosts[0]['settings']],
            capture_output=True,
            text=True,
            timeout=entry_case.START_TIMEOUT_S,
        )
        self.assertEqual(1, ended.returncode)
        self.assertIn('OSError: 7', ended.stdout + ended.stderr)

    def test_graceful_stop_interrupts_no_request(self):
        statuses = []
        stopping_host = self.hosts[0]

        def call(n):
            statuses.append(
                self.send(stopping_host, 'unsafe', f's{n}', b'x').status
            )

        callers = [threading.Thread(target=call, args=(n,)) for n in range(6)]
        for caller in callers:
            caller.start()
        time.sleep(entry_case.BACKEND_LATENCY_S / 2)
        stopping_host['process'].send_signal(signal.SIGTERM)
        for caller in callers:
            caller.join()
        self.assertEqual([200] * 6, statuses)
        self.assertEqual(
            503, self.get_status(stopping_host['readiness'], wire.READY_PATH)
        )
        stopping_host['process'].wait(6)
        host_key = f'{wire.ENTRY_HOSTS_PREFIX}entry-1'
        self.assertNotIn(host_key, self.store.existing_keys())

    def test_requests_accepted_at_the_end_of_a_stop_get_answers(self):
        # The server stopped accepting up to half a second before it closed
        # its socket, and reset the connections that were opened meanwhile.
        stopping_host = self.hosts[0]
        for backend in self.backends:
            backend.latency_s = 0.01
        kept = [self.connect(stopping_host) for _ in range(40)]
        stopping_host['process'].send_signal(signal.SIGTERM)
        results = collections.Counter()
        is_closed = threading.Event()

        def call(name):
            n = 0
            while not is_closed.is_set():
                n += 1
                try:
                    opened = self.connect(stopping_host)
                except OSError:
                    is_closed.set()
                    return
                results[self.exchange(opened, f'{name}-{n}')] += 1

        def call_on_kept(n, opened):
            time.sleep(2.2 + n * 0.02)
            self.exchange(opened, f'kept-{n}')

        callers = [
            threading.Thread(target=call, args=(f'c{n}',)) for n in range(4)
        ]
        callers += [
            threading.Thread(target=call_on_kept, args=(n, opened))
            for n, opened in enumerate(kept)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.assertGreater(results['answered'], 100)
        self.assertEqual({'answered'}, set(results))

    def test_stopping_host_takes_no_request_that_it_cannot_finish(self):
        # A request taken more than half of the stop time after SIGTERM was
        # cut off; callers still came, as the store could not tell them.
        stopping_host = self.hosts[0]
        stopping_host['process'].send_signal(signal.SIGTERM)
        stopped_at_s = time.monotonic()
        last_taken_s = 0.0
        while time.monotonic() < stopped_at_s + 0.75 * STOP_GRACE_S:
            sent_s = time.monotonic() - stopped_at_s
            try:
                self.send(stopping_host, 'safe', f's{sent_s}')
            except urllib3.exceptions.HTTPError:
                continue
            last_taken_s = sent_s
        self.assertGreater(last_taken_s, 0.4 * STOP_GRACE_S)
        self.assertLessEqual(last_taken_s, 0.5 * STOP_GRACE_S)

    def test_stopping_host_cuts_no_request_sent_on_a_kept_connection(self):
        # For up to half a second after the host was to take no more requests,
        # the poll of its connections still passed on whatever woke it.
        self.put_configuration(2, ['unsafe'], timeout='4000ms')
        time.sleep(1.8)
        kept = [self.connect(host) for host in self.hosts]
        for n, opened in enumerate(kept):
            self.write_order(opened, f'first-{n}')
            self.assertEqual(200, self.read_response(opened).status)
        for host in self.hosts:
            host['process'].send_signal(signal.SIGTERM)
        time.sleep(0.5 * STOP_GRACE_S)
        for backend in self.backends:
            backend.latency_s = 0.43 * STOP_GRACE_S
        for n, opened in enumerate(kept):
            with contextlib.suppress(ConnectionError), opened:
                self.write_order(opened, f'late-{n}')
                self.assertEqual(503, self.read_response(opened).status)
        # A connection may end without an answer only if nothing has run.
        time.sleep(0.2)
        for n in range(len(kept)):
            self.assertEqual(0, self.run_count(f'late-{n}'))

    def test_stopping_host_answers_lookups_behind_a_slow_one(self):
        # The slow response closed the connection, and those behind it, which
        # the host had had for seconds, were thrown away.
        self.put_configuration(2, ['safe'], timeout='4000ms')
        time.sleep(1.8)
        for backend in self.backends:
            backend.latency_s = 0.6 * STOP_GRACE_S
        opened = self.connect(self.hosts[0])
        self.addCleanup(opened.close)
        self.write_lookup(opened, 'slow')
        self.wait_until(lambda: self.run_count('slow'))
        for backend in self.backends:
            backend.latency_s = 0.1
        self.write_lookup(opened, 'behind-1')
        self.write_lookup(opened, 'behind-2')
        self.wait_until(lambda: self.run_count('behind-2'))
        self.hosts[0]['process'].send_signal(signal.SIGTERM)
        responses = [self.read_response(opened) for _ in range(3)]
        self.assertEqual([200] * 3, [r.status for r in responses])
        self.assertEqual(b'answer to behind-2', responses[2].data)

    def test_stopping_host_refuses_a_lookup_behind_one_that_it_serves(self):
        # The thread that serves a connection passed on what arrived on it
        # until the process exited.
        self.put_configuration(2, ['safe'], timeout='4000ms')
        time.sleep(1.8)
        for backend in self.backends:
            backend.latency_s = 0.6 * STOP_GRACE_S
        opened = self.connect(self.hosts[0])
        self.addCleanup(opened.close)
        self.write_lookup(opened, 'before')
        time.sleep(0.2)
        self.hosts[0]['process'].send_signal(signal.SIGTERM)
        time.sleep(0.5 * STOP_GRACE_S)
        self.write_lookup(opened, 'behind')
        statuses = [self.read_response(opened).status for _ in range(2)]
        self.assertEqual([200, 503], statuses)
        self.assertEqual(0, self.run_count('behind'))
