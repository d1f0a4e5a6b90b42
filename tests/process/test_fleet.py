"""The whole path through real processes, with processes killed."""

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
FLAT_MEMORY_KIB = 32 * 1024
# Of four servers, one that is used gets about a quarter of these.
LEFT_ALONE_REQUESTS = 400


class FleetCase(unittest.TestCase):
    """Share one fleet between the tests of a class."""

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


class Load:
    """Send lookups and orders until stopped and keep what came back."""

    def __init__(self, directories: tuple[str, ...], threads: int = 4) -> None:
        self.answers: list[tuple[str, str, int, str | None]] = []
        self.errors: list[str] = []
        self._directories = directories
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self.run, args=(number,))
            for number in range(threads)
        ]

    def __enter__(self) -> 'Load':
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: Any) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def run(self, number: int) -> None:
        calling = caller.Caller(self._directories, f'tenant-{number}')
        while not self._stop.wait(0.01):
            for kind, method, path in (
                ('stock', 'GET', '/stock/1'),
                ('order', 'POST', '/orders'),
            ):
                self._send(calling, kind, method, path)

    def _send(
        self, calling: caller.Caller, kind: str, method: str, path: str
    ) -> None:
        request_id = uuid.uuid4().hex
        try:
            answer = calling.send(
                kind,
                method,
                path,
                b'{}' if kind == 'order' else None,
                request_id,
            )
        except (urllib3.exceptions.HTTPError, ConnectionError) as error:
            self.errors.append(f'{kind}: {error}')
            calling.discard_addresses(kind)
            return
        self.answers.append(
            (
                kind,
                request_id,
                answer.status,
                answer.headers.get('Request-Outcome'),
            )
        )


class WholePathTest(FleetCase):
    def test_each_kind_of_work_is_served(self) -> None:
        calling = self.caller()
        for kind, method, path, body in (
            ('stock', 'GET', '/stock/1', None),
            ('order', 'POST', '/orders', b'{"trays": 3}'),
            ('photos', 'PUT', '/photos/1', b'x' * 3_000_000),
        ):
            with self.subTest(kind=kind):
                answer = calling.send(kind, method, path, body)
                self.assertEqual(200, answer.status, answer.data)

    def test_a_large_upload_arrives_whole_in_flat_memory(self) -> None:
        chunks = UPLOAD_BYTES // len(CHUNK)
        gateways = [
            self.fleet.processes[f'gateway-upload-{host.name}']
            for host in self.hosts
        ]
        before = [peak_memory_kib(gateway.pid) for gateway in gateways]
        answer = self.caller().send(
            'photos',
            'PUT',
            '/photos/large',
            (CHUNK for _ in range(chunks)),
            'large',
            UPLOAD_BYTES,
        )
        after = [peak_memory_kib(gateway.pid) for gateway in gateways]
        self.assertEqual(200, answer.status, answer.data)
        expected = hashlib.sha256(CHUNK * chunks).hexdigest()
        self.assertEqual(expected, json.loads(answer.data)['digest'])
        for grown in (a - b for a, b in zip(after, before, strict=True)):
            self.assertLess(grown, FLAT_MEMORY_KIB)

    def test_lookups_are_not_carried_by_an_upload_gateway(self) -> None:
        host = self.hosts[0]
        answer = self.fleet.http.request(
            'GET', f'http://{host.upload_gateway}/stock/1'
        )
        self.assertEqual(421, answer.status)
        self.assertEqual('not-run', answer.headers['Request-Outcome'])

    def test_a_leaving_server_is_left_alone_by_every_gateway(self) -> None:
        self.fleet.change_backend_behaviour('pantanir-1', draining=True)
        self.addCleanup(
            self.fleet.change_backend_behaviour, 'pantanir-1', draining=False
        )
        with Load(tuple(host.directory for host in self.hosts)) as load:
            self.fleet.wait_until(
                lambda: self._gets_nothing_while(load, 'pantanir-1'),
                'the server to be left alone',
            )
        self.assertEqual([], load.errors)

    def _gets_nothing_while(self, load: 'Load', server: str) -> bool:
        """Return whether a server got none of many requests."""
        answered = len(load.answers)
        before = self.fleet.backend_counts()[server]['received']
        while len(load.answers) < answered + LEFT_ALONE_REQUESTS:
            time.sleep(0.05)
        return self.fleet.backend_counts()[server]['received'] == before


class KilledProcessTest(FleetCase):
    def test_orders_run_at_most_once_while_each_process_is_killed(
        self,
    ) -> None:
        host = self.hosts[0]
        victims = [
            f'agent-{host.name}',
            f'directory-{host.name}',
            f'gateway-short-{host.name}',
            'admin',
        ]
        with Load(tuple(item.directory for item in self.hosts)) as load:
            for name in victims:
                with self.subTest(killed=name):
                    self._kill_and_restart(name)
        executions = self.fleet.execution_counts()
        for kind, request_id, status, outcome in load.answers:
            ran = executions.get(request_id, 0)
            if kind == 'order':
                self.assertLessEqual(ran, 1)
            if status == 200:
                self.assertGreaterEqual(ran, 1)
            if outcome == 'not-run':
                self.assertEqual(0, ran)
        doubled = [key for key, ran in executions.items() if ran > 1]
        orders = {r for kind, r, _, _ in load.answers if kind == 'order'}
        self.assertEqual(set(), orders & set(doubled))
        served = sum(status == 200 for _, _, status, _ in load.answers)
        self.assertGreater(served, len(load.answers) * 0.9)

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
    def test_callers_are_served_while_the_platform_is_down(self) -> None:
        self.fleet.control_platform('faults', {'outage': True})
        self.addCleanup(
            self.fleet.control_platform, 'faults', {'outage': False}
        )
        with Load(tuple(host.directory for host in self.hosts)) as load:
            time.sleep(3.0)
        self.assertEqual([], load.errors)
        self.assertEqual({200}, {answer[2] for answer in load.answers})

    def test_a_change_while_the_platform_is_down_is_not_written(
        self,
    ) -> None:
        self.fleet.control_platform('faults', {'outage': True})
        self.addCleanup(
            self.fleet.control_platform, 'faults', {'outage': False}
        )
        path = self.fleet.write_document(self.document)
        done = self.fleet.run_command('try', path, check_exit=False)
        self.assertEqual(1, done.returncode)
        self.assertIn('the store is away', done.stderr)
        self.assertIn('no change was made', done.stderr)

    def test_an_accepted_change_spreads_when_the_platform_goes_down(
        self,
    ) -> None:
        changed = json.loads(json.dumps(self.document))
        changed['work_kinds'][0]['deadline_ms'] = 900
        self.fleet.run_command('try', self.fleet.write_document(changed))
        accepted = self.fleet.run_command('promote', '--no-wait')
        self.fleet.control_platform('faults', {'outage': True})
        self.addCleanup(
            self.fleet.control_platform, 'faults', {'outage': False}
        )
        version = int(accepted.stdout.split()[-1])
        self.fleet.wait_until(
            lambda: self._versions() == {version},
            'the change on every gateway',
        )

    def _versions(self) -> set[int]:
        status = json.loads(self.fleet.run_command('status').stdout)
        return {
            gateway['version']
            for host in status['hosts']
            for gateway in host['gateways']
        }


class JoiningHostTest(FleetCase):
    options = fleet.FleetOptions(production_hosts=3)

    def test_a_host_that_joins_with_the_store_down_waits_for_a_majority(
        self,
    ) -> None:
        stale, fresh, other = self.hosts
        self._stop(stale, signal.SIGSTOP)
        changed = json.loads(json.dumps(self.document))
        changed['work_kinds'][0]['deadline_ms'] = 800
        self.fleet.run_command('try', self.fleet.write_document(changed))
        self.fleet.run_command('promote', '--no-wait')
        time.sleep(3.0)
        self.fleet.control_platform('faults', {'outage': True})
        self.addCleanup(
            self.fleet.control_platform, 'faults', {'outage': False}
        )
        self.fleet.processes[f'agent-{fresh.name}'].kill()
        self.fleet.processes[f'gateway-short-{fresh.name}'].kill()
        self._stop(other, signal.SIGSTOP)
        self._stop(stale, signal.SIGCONT)
        self.fleet.start_agent(fresh)
        self.fleet.start_gateway(fresh, 'short')
        time.sleep(4.0)
        # Its one live peer may be the stale one, so it does not serve yet.
        answer = self.fleet.http.request(
            'GET', f'http://{fresh.short_gateway}/stock/1'
        )
        self.assertEqual(503, answer.status)
        self.assertEqual('not-run', answer.headers['Request-Outcome'])
        self._stop(other, signal.SIGCONT)
        self.fleet.wait_until(
            lambda: self._serves(fresh), 'the fresh host to serve'
        )

    def _serves(self, host: fleet.Host) -> bool:
        answer = self.fleet.http.request(
            'GET', f'http://{host.short_gateway}/stock/1'
        )
        return answer.status == 200

    def _stop(self, host: fleet.Host, number: int) -> None:
        self.fleet.processes[f'agent-{host.name}'].send_signal(number)


class GracefulStopTest(FleetCase):
    options = fleet.FleetOptions(keep_for_ms=1_000, notice_ms=6_000)

    def test_no_request_is_cut_while_every_gateway_is_replaced(self) -> None:
        upload_result: list[int] = []
        address = self.caller().address('photos')
        slow = threading.Thread(
            target=self._upload_slowly, args=(address, upload_result)
        )
        with Load(tuple(host.directory for host in self.hosts)) as load:
            slow.start()
            time.sleep(0.5)
            for host in self.hosts:
                for work_class in ('short', 'upload'):
                    name = f'gateway-{work_class}-{host.name}'
                    code = self.fleet.processes[name].stop()
                    self.assertEqual(0, code, name)
                    self.fleet.start_gateway(host, work_class)
                    self.fleet.wait_until(
                        lambda h=host, w=work_class: self._is_ready(h, w),
                        f'{name} to be ready',
                    )
        slow.join()
        self.assertEqual([200], upload_result)
        self.assertEqual([], load.errors)
        self.assertEqual({200}, {answer[2] for answer in load.answers})

    def _upload_slowly(self, address: str, result: list[int]) -> None:
        def chunks():
            for _ in range(120):
                time.sleep(0.1)
                yield CHUNK

        answer = self.fleet.http.request(
            'PUT',
            f'http://{address}/photos/slow',
            body=chunks(),
            headers={'Content-Length': str(120 * len(CHUNK))},
            timeout=60.0,
        )
        result.append(answer.status)

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

    def test_a_host_that_is_drained_and_stopped_cuts_nothing(self) -> None:
        leaving = self.hosts[1]
        directories = tuple(host.directory for host in reversed(self.hosts))
        with Load(directories) as load:
            time.sleep(0.5)
            self.fleet.run_command('drain', leaving.name)
            for work_class in ('short', 'upload'):
                name = f'gateway-{work_class}-{leaving.name}'
                self.assertEqual(0, self.fleet.processes[name].wait(), name)
            for kind in ('directory', 'agent'):
                name = f'{kind}-{leaving.name}'
                self.assertEqual(0, self.fleet.processes[name].stop(), name)
            time.sleep(1.0)
        self.assertEqual([], load.errors)
        self.assertEqual({200}, {answer[2] for answer in load.answers})

    def test_a_host_that_is_not_there_cannot_be_drained(self) -> None:
        done = self.fleet.run_command('drain', 'nowhere', check_exit=False)
        self.assertEqual(1, done.returncode)
        self.assertIn('nowhere', done.stderr)


class BadStartTest(unittest.TestCase):
    def test_bad_settings_name_the_field_and_exit_with_2(self) -> None:
        document = support.small_document()
        with fleet.Fleet(document, fleet.FleetOptions()) as starting:
            host = starting.hosts[0]
            good = {
                'name': 'gateway-1',
                'host': 'entry-1',
                'region': 'nordur',
                'data_centre': 'nordur-a',
                'listen': host.short_gateway,
                'agent': host.agent,
            }
            for name, changed, expected in (
                ('address', {'listen': 'example.org:80'}, 'listen'),
                ('port', {'listen': '127.0.0.1:99999'}, 'listen'),
                ('threads', {'threads': 0}, 'threads'),
                ('extra', {'thread': 4}, 'thread'),
                (
                    'taken',
                    {'listen': starting.platform_address},
                    'cannot listen',
                ),
            ):
                with self.subTest(name):
                    if name == 'taken':
                        starting.start_standins()
                    process = starting.start_program(
                        f'bad-{name}',
                        'cardamomdeal-gateway',
                        {**good, **changed},
                    )
                    self.assertEqual(2, process.wait())
                    self.assertIn(expected, process.log_path.read_text())

    def test_a_missing_settings_file_is_named(self) -> None:
        document = support.small_document()
        with fleet.Fleet(document, fleet.FleetOptions()) as starting:
            program = 'cardamomdeal-agent'
            process = starting.start_program('missing', program, {})
            process.kill()
            pathlib.Path(starting.working_path / 'missing.json').unlink()
            again = starting.start_process('again', process.arguments)
            self.assertEqual(2, again.wait())
            self.assertIn('missing.json', again.log_path.read_text())


def peak_memory_kib(pid: int) -> int:
    """Return the highest resident memory of a process so far."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1])
    raise ValueError(f'no VmHWM for process {pid}')
