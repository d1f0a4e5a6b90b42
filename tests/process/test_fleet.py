"""Fleet as real processes: serving, kills, outages and shutdown."""

import hashlib
import json
import pathlib
import signal
import threading
import time
from typing import Any
import unittest
import uuid

import urllib3

from devel import caller
from devel import fleet
from tests import support

UPLOAD_BYTES = 200 * 1024**2
CHUNK = bytes(range(256)) * 256
MAX_MEMORY_GROWTH_KIB = 32 * 1024
# With four servers, one that is in use gets about a quarter of these.
DRAIN_CHECK_REQUESTS = 400


class FleetCase(unittest.TestCase):
    """Test case whose tests share one fleet."""

    options = fleet.FleetOptions()
    document: dict[str, Any]
    fleet: fleet.Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.document = support.small_document(server_count=4, slots=6)
        cls.document['services'][0]['floor_slots'] = 12
        cls.fleet = fleet.Fleet(cls.document, cls.options)
        cls.addClassCleanup(cls.fleet.kill_all)
        cls.fleet.start()
        cls.fleet.apply_document(cls.document)
        cls.hosts = cls.fleet.hosts_of('production')
        for host in cls.hosts:
            cls.wait_for_directory(host)

    @classmethod
    def wait_for_directory(cls, host: fleet.Host) -> None:
        for kind in cls.document['work_kinds']:
            cls.fleet.wait_until(
                lambda name=kind['name']: cls.fleet.directory_resolves(
                    host, name
                ),
                f'directory of {host.name}',
            )

    def caller(self, tenant: str = 'grower') -> caller.Caller:
        return caller.Caller(
            tuple(host.directory for host in self.hosts), tenant
        )


class BackgroundLoad:
    """Threads that send requests until stopped and record the responses."""

    def __init__(self, directories: tuple[str, ...], threads: int = 4) -> None:
        self.responses: list[tuple[str, str, int, str | None]] = []
        self.errors: list[str] = []
        self._directories = directories
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self.run, args=(number,))
            for number in range(threads)
        ]

    def __enter__(self) -> 'BackgroundLoad':
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: Any) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def run(self, number: int) -> None:
        client = caller.Caller(self._directories, f'tenant-{number}')
        while not self._stopped.wait(0.01):
            for kind, method, path in (
                ('stock', 'GET', '/stock/1'),
                ('order', 'POST', '/orders'),
            ):
                self._send(client, kind, method, path)

    def _send(
        self, client: caller.Caller, kind: str, method: str, path: str
    ) -> None:
        request_id = uuid.uuid4().hex
        try:
            response = client.send(
                kind,
                method,
                path,
                b'{}' if kind == 'order' else None,
                request_id,
            )
        except (urllib3.exceptions.HTTPError, ConnectionError) as error:
            self.errors.append(f'{kind}: {error}')
            client.discard_addresses(kind)
            return
        self.responses.append(
            (
                kind,
                request_id,
                response.status,
                response.headers.get('Request-Outcome'),
            )
        )


class RequestTest(FleetCase):
    def test_requests_of_each_kind_are_served(self) -> None:
        client = self.caller()
        for kind, method, path, body in (
            ('stock', 'GET', '/stock/1', None),
            ('order', 'POST', '/orders', b'{"trays": 3}'),
            ('photos', 'PUT', '/photos/1', b'x' * 3_000_000),
        ):
            with self.subTest(kind=kind):
                response = client.send(kind, method, path, body)
                self.assertEqual(200, response.status, response.data)

    def test_large_upload_is_complete_and_memory_stays_bounded(self) -> None:
        chunk_count = UPLOAD_BYTES // len(CHUNK)
        gateways = [
            self.fleet.processes[f'gateway-upload-{host.name}']
            for host in self.hosts
        ]
        before = [peak_memory_kib(gateway.pid) for gateway in gateways]
        response = self.caller().send(
            'photos',
            'PUT',
            '/photos/large',
            (CHUNK for _ in range(chunk_count)),
            'large',
            UPLOAD_BYTES,
        )
        after = [peak_memory_kib(gateway.pid) for gateway in gateways]
        self.assertEqual(200, response.status, response.data)
        expected = hashlib.sha256(CHUNK * chunk_count).hexdigest()
        self.assertEqual(expected, json.loads(response.data)['digest'])
        for growth in (a - b for a, b in zip(after, before, strict=True)):
            self.assertLess(growth, MAX_MEMORY_GROWTH_KIB)

    def test_upload_gateway_rejects_short_work(self) -> None:
        host = self.hosts[0]
        response = self.fleet.http.request(
            'GET', f'http://{host.upload_gateway}/stock/1'
        )
        self.assertEqual(421, response.status)
        self.assertEqual('not-run', response.headers['Request-Outcome'])

    def test_no_request_goes_to_a_draining_server(self) -> None:
        self.fleet.change_backend_behaviour('pantanir-1', draining=True)
        self.addCleanup(
            self.fleet.change_backend_behaviour, 'pantanir-1', draining=False
        )
        with BackgroundLoad(
            tuple(host.directory for host in self.hosts)
        ) as load:
            self.fleet.wait_until(
                lambda: self._receives_no_requests(load, 'pantanir-1'),
                'the draining server to receive no requests',
            )
        self.assertEqual([], load.errors)

    def _receives_no_requests(
        self, load: 'BackgroundLoad', server: str
    ) -> bool:
        """Return whether a server gets none of the next requests."""
        initial_count = len(load.responses)
        received_before = self.fleet.backend_counts()[server]['received']
        while len(load.responses) < initial_count + DRAIN_CHECK_REQUESTS:
            time.sleep(0.05)
        return (
            self.fleet.backend_counts()[server]['received'] == received_before
        )


class KilledProcessTest(FleetCase):
    def test_orders_run_at_most_once_when_processes_are_killed(
        self,
    ) -> None:
        host = self.hosts[0]
        killed_names = [
            f'agent-{host.name}',
            f'directory-{host.name}',
            f'gateway-short-{host.name}',
            'admin',
        ]
        with BackgroundLoad(
            tuple(item.directory for item in self.hosts)
        ) as load:
            for name in killed_names:
                with self.subTest(killed=name):
                    self._kill_and_restart(name)
        executions = self.fleet.execution_counts()
        for kind, request_id, status, outcome in load.responses:
            run_count = executions.get(request_id, 0)
            if kind == 'order':
                self.assertLessEqual(run_count, 1)
            if status == 200:
                self.assertGreaterEqual(run_count, 1)
            if outcome == 'not-run':
                self.assertEqual(0, run_count)
        repeated = [
            request_id
            for request_id, run_count in executions.items()
            if run_count > 1
        ]
        orders = {
            request_id
            for kind, request_id, _, _ in load.responses
            if kind == 'order'
        }
        self.assertEqual(set(), orders & set(repeated))
        served = sum(status == 200 for _, _, status, _ in load.responses)
        self.assertGreater(served, len(load.responses) * 0.9)

    def _kill_and_restart(self, name: str) -> None:
        process = self.fleet.processes[name]
        process.kill()
        time.sleep(1.0)
        if name == 'admin':
            self.fleet.start_admin()
        elif name.startswith('agent'):
            self.fleet.start_agent(self.hosts[0])
        elif name.startswith('directory'):
            settings = json.loads(
                (self.fleet.working_path / f'{name}.json').read_text()
            )
            self.fleet.start_program(name, 'cardamomdeal-directory', settings)
        else:
            self.fleet.start_gateway(self.hosts[0], 'short')
        time.sleep(1.0)


class PlatformOutageTest(FleetCase):
    def test_requests_are_served_during_a_platform_outage(self) -> None:
        self.fleet.control_platform('faults', {'outage': True})
        self.addCleanup(
            self.fleet.control_platform, 'faults', {'outage': False}
        )
        with BackgroundLoad(
            tuple(host.directory for host in self.hosts)
        ) as load:
            time.sleep(3.0)
        self.assertEqual([], load.errors)
        self.assertEqual({200}, {response[2] for response in load.responses})

    def test_change_during_a_platform_outage_is_not_written(
        self,
    ) -> None:
        self.fleet.control_platform('faults', {'outage': True})
        self.addCleanup(
            self.fleet.control_platform, 'faults', {'outage': False}
        )
        path = self.fleet.write_document(self.document)
        completed = self.fleet.run_command('try', path, check_exit=False)
        self.assertEqual(1, completed.returncode)
        self.assertIn('the store is away', completed.stderr)
        self.assertIn('no change was made', completed.stderr)

    def test_promoted_change_reaches_all_gateways_during_an_outage(
        self,
    ) -> None:
        changed_document = json.loads(json.dumps(self.document))
        changed_document['work_kinds'][0]['deadline_ms'] = 900
        self.fleet.run_command(
            'try', self.fleet.write_document(changed_document)
        )
        accepted = self.fleet.run_command('promote', '--no-wait')
        self.fleet.control_platform('faults', {'outage': True})
        self.addCleanup(
            self.fleet.control_platform, 'faults', {'outage': False}
        )
        version = int(accepted.stdout.split()[-1])
        self.fleet.wait_until(
            lambda: self._gateway_versions() == {version},
            'the change on every gateway',
        )

    def _gateway_versions(self) -> set[int]:
        status = json.loads(self.fleet.run_command('status').stdout)
        return {
            gateway['version']
            for host in status['hosts']
            for gateway in host['gateways']
        }


class JoiningHostTest(FleetCase):
    options = fleet.FleetOptions(production_hosts=3)

    def test_host_joining_during_an_outage_waits_for_a_majority(
        self,
    ) -> None:
        stale_host, joining_host, current_host = self.hosts
        self._signal_agent(stale_host, signal.SIGSTOP)
        changed_document = json.loads(json.dumps(self.document))
        changed_document['work_kinds'][0]['deadline_ms'] = 800
        self.fleet.run_command(
            'try', self.fleet.write_document(changed_document)
        )
        self.fleet.run_command('promote', '--no-wait')
        time.sleep(3.0)
        self.fleet.control_platform('faults', {'outage': True})
        self.addCleanup(
            self.fleet.control_platform, 'faults', {'outage': False}
        )
        self.fleet.processes[f'agent-{joining_host.name}'].kill()
        self.fleet.processes[f'gateway-short-{joining_host.name}'].kill()
        self._signal_agent(current_host, signal.SIGSTOP)
        self._signal_agent(stale_host, signal.SIGCONT)
        self.fleet.start_agent(joining_host)
        self.fleet.start_gateway(joining_host, 'short')
        time.sleep(4.0)
        # The only reachable peer may have a stale document, so the host must
        # not serve before it has reached a majority.
        response = self.fleet.http.request(
            'GET', f'http://{joining_host.short_gateway}/stock/1'
        )
        self.assertEqual(503, response.status)
        self.assertEqual('not-run', response.headers['Request-Outcome'])
        self._signal_agent(current_host, signal.SIGCONT)
        self.fleet.wait_until(
            lambda: self._serves(joining_host), 'the joining host to serve'
        )

    def _serves(self, host: fleet.Host) -> bool:
        response = self.fleet.http.request(
            'GET', f'http://{host.short_gateway}/stock/1'
        )
        return response.status == 200

    def _signal_agent(self, host: fleet.Host, signal_number: int) -> None:
        self.fleet.processes[f'agent-{host.name}'].send_signal(signal_number)


class GracefulStopTest(FleetCase):
    options = fleet.FleetOptions(keep_for_ms=1_000, notice_ms=6_000)

    def test_no_request_fails_while_gateways_are_replaced(self) -> None:
        upload_statuses: list[int] = []
        address = self.caller().address('photos')
        upload_thread = threading.Thread(
            target=self._upload_slowly, args=(address, upload_statuses)
        )
        with BackgroundLoad(
            tuple(host.directory for host in self.hosts)
        ) as load:
            upload_thread.start()
            time.sleep(0.5)
            for host in self.hosts:
                for work_class in ('short', 'upload'):
                    name = f'gateway-{work_class}-{host.name}'
                    exit_code = self.fleet.processes[name].stop()
                    self.assertEqual(0, exit_code, name)
                    self.fleet.start_gateway(host, work_class)
                    self.fleet.wait_until(
                        lambda h=host, w=work_class: self._is_ready(h, w),
                        f'{name} to be ready',
                    )
        upload_thread.join()
        self.assertEqual([200], upload_statuses)
        self.assertEqual([], load.errors)
        self.assertEqual({200}, {response[2] for response in load.responses})

    def _upload_slowly(self, address: str, statuses: list[int]) -> None:
        def chunks():
            for _ in range(120):
                time.sleep(0.1)
                yield CHUNK

        response = self.fleet.http.request(
            'PUT',
            f'http://{address}/photos/slow',
            body=chunks(),
            headers={'Content-Length': str(120 * len(CHUNK))},
            timeout=60.0,
        )
        statuses.append(response.status)

    def _is_ready(self, host: fleet.Host, work_class: str) -> bool:
        status = json.loads(self.fleet.run_command('status').stdout)
        return any(
            gateway['name'] == f'gateway-{work_class}-{host.name}'
            and not gateway['stopping']
            and gateway['version'] > 0
            for item in status['hosts']
            for gateway in item['gateways']
        )


class DrainedHostTest(FleetCase):
    options = fleet.FleetOptions(keep_for_ms=1_000, notice_ms=6_000)

    def test_no_request_fails_while_a_host_is_drained_and_stopped(
        self,
    ) -> None:
        drained_host = self.hosts[1]
        directories = tuple(host.directory for host in reversed(self.hosts))
        with BackgroundLoad(directories) as load:
            time.sleep(0.5)
            self.fleet.run_command('drain', drained_host.name)
            for work_class in ('short', 'upload'):
                name = f'gateway-{work_class}-{drained_host.name}'
                self.assertEqual(0, self.fleet.processes[name].wait(), name)
            for kind in ('directory', 'agent'):
                name = f'{kind}-{drained_host.name}'
                self.assertEqual(0, self.fleet.processes[name].stop(), name)
            time.sleep(1.0)
        self.assertEqual([], load.errors)
        self.assertEqual({200}, {response[2] for response in load.responses})

    def test_unknown_host_cannot_be_drained(self) -> None:
        completed = self.fleet.run_command(
            'drain', 'nowhere', check_exit=False
        )
        self.assertEqual(1, completed.returncode)
        self.assertIn('nowhere', completed.stderr)


class InvalidSettingsTest(unittest.TestCase):
    def test_invalid_field_is_reported_and_the_exit_code_is_2(self) -> None:
        document = support.small_document()
        with fleet.Fleet(document, fleet.FleetOptions()) as test_fleet:
            host = test_fleet.hosts[0]
            valid_settings = {
                'name': 'gateway-1',
                'host': 'entry-1',
                'region': 'nordur',
                'data_centre': 'nordur-a',
                'listen': host.short_gateway,
                'agent': host.agent,
            }
            for name, changes, expected_text in (
                ('address', {'listen': 'example.org:80'}, 'listen'),
                ('port', {'listen': '127.0.0.1:99999'}, 'listen'),
                ('threads', {'threads': 0}, 'threads'),
                ('extra', {'thread': 4}, 'thread'),
                (
                    'taken',
                    {'listen': test_fleet.platform_address},
                    'cannot listen',
                ),
            ):
                with self.subTest(name):
                    if name == 'taken':
                        test_fleet.start_standins()
                    process = test_fleet.start_program(
                        f'bad-{name}',
                        'cardamomdeal-gateway',
                        {**valid_settings, **changes},
                    )
                    self.assertEqual(2, process.wait())
                    self.assertIn(expected_text, process.log_path.read_text())

    def test_missing_settings_file_is_reported(self) -> None:
        document = support.small_document()
        with fleet.Fleet(document, fleet.FleetOptions()) as test_fleet:
            program = 'cardamomdeal-agent'
            process = test_fleet.start_program('missing', program, {})
            process.kill()
            pathlib.Path(test_fleet.working_path / 'missing.json').unlink()
            restarted = test_fleet.start_process('again', process.arguments)
            self.assertEqual(2, restarted.wait())
            self.assertIn('missing.json', restarted.log_path.read_text())


def peak_memory_kib(pid: int) -> int:
    """Return the peak resident memory of a process."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1])
    raise ValueError(f'no VmHWM for process {pid}')
