"""Runs a fleet and its stand-ins as processes on loopback addresses."""

import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

from returns.pipeline import is_successful
import urllib3

from cardamomdeal.document import check
from cardamomdeal.document import model as document_model

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 60.0
POLL_S = 0.05
LOOPBACK = '127.0.0.1'
# Below the operating system's range of ephemeral ports.
FIRST_PORT = 10_000
END_PORT = 32_000

# Fleets that run at the same time start their search at different ports.
_ports = itertools.chain(
    range(FIRST_PORT + os.getpid() % 1000 * 20, END_PORT),
    range(FIRST_PORT, END_PORT),
)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetOptions:
    """Size, timing and extra settings of a fleet."""

    production_hosts: int = 2
    trial_hosts: int = 1
    work_ms: int = 5
    keep_for_ms: int = 1_000
    notice_ms: int = 1_500
    peer_timeout_ms: int = 2_000
    gossip_interval_ms: int = 200
    threads: int = 16
    gateway_settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    agent_settings: dict[str, Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Host:
    """Name, environment and listen addresses of an entry host."""

    name: str
    environment: str
    data_centre: str
    agent: str
    directory: str
    short_gateway: str
    upload_gateway: str


class Process:
    """Child process whose output goes to a log file."""

    def __init__(
        self, name: str, arguments: list[str], log_directory: pathlib.Path
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.log_path = log_directory / f'{name}.log'
        self._log_file = self.log_path.open('ab')
        self._popen = subprocess.Popen(
            arguments, stdout=self._log_file, stderr=subprocess.STDOUT
        )

    @property
    def pid(self) -> int:
        """Return the process ID."""
        return self._popen.pid

    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self._popen.poll() is None

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self._popen.kill()
        self._popen.wait()
        self._log_file.close()

    def send_signal(self, signal_number: int) -> None:
        """Send a signal to the process."""
        self._popen.send_signal(signal_number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process exits and return its exit code."""
        return self._popen.wait(timeout_s)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM and return the exit code.

        A process that does not exit in time is killed, and
        `subprocess.TimeoutExpired` is raised.
        """
        self.send_signal(signal.SIGTERM)
        try:
            return self.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise


class Fleet:
    """Processes of a fleet and of its stand-ins."""

    def __init__(
        self, document: dict[str, Any], options: FleetOptions
    ) -> None:
        self.document = document
        self.options = options
        self.http = urllib3.PoolManager(retries=False)
        self._temporary_directory = tempfile.TemporaryDirectory(
            prefix='fleet-'
        )
        self.working_path = pathlib.Path(self._temporary_directory.name)
        self.processes: dict[str, Process] = {}
        self.platform_address = free_address()
        self.admin_address = free_address()
        self.hosts = self._create_hosts()

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(self, *_: Any) -> None:
        self.kill_all()

    def hosts_of(self, environment: str) -> list[Host]:
        """Return the entry hosts of an environment."""
        return [host for host in self.hosts if host.environment == environment]

    def start(self) -> None:
        """Start all processes and wait for the administration API."""
        self.start_standins()
        for host in self.hosts:
            self.start_host(host)
        self.start_admin()
        self.wait_until(self.admin_is_ready, 'the administration API')

    def start_standins(self) -> None:
        """Start the stand-ins for the platform and the backend servers."""
        self.start_module(
            'platform', 'devel.store_standin', [self.platform_address]
        )
        servers = check_model(self.document).backend_servers
        self.start_module(
            'backends',
            'devel.backend_standin',
            [
                f'{server.address}/{server.slots}/{self.options.work_ms}'
                for server in servers
            ],
        )
        self.wait_until(
            lambda: is_listening(self.platform_address), 'the platform'
        )
        last_address = str(servers[-1].address)
        self.wait_until(
            lambda: is_listening(last_address), 'the backend servers'
        )

    def start_host(self, host: Host) -> None:
        """Start the processes of one entry host."""
        self.start_agent(host)
        self.start_directory(host)
        self.start_gateway(host, 'short')
        self.start_gateway(host, 'upload')

    def start_agent(self, host: Host) -> Process:
        """Start a host's agent."""
        seed_peers = [
            other.agent
            for other in self.hosts_of(host.environment)
            if other is not host
        ]
        return self.start_program(
            f'agent-{host.name}',
            'cardamomdeal-agent',
            {
                **self._location_settings(host),
                'name': host.name,
                'listen': host.agent,
                'platform': self.platform_address,
                'environment': host.environment,
                'seed_peers': seed_peers,
                'gossip_interval_ms': self.options.gossip_interval_ms,
                'peer_timeout_ms': self.options.peer_timeout_ms,
                **self.options.agent_settings,
            },
        )

    def start_directory(self, host: Host) -> Process:
        """Start a host's directory."""
        return self.start_program(
            f'directory-{host.name}',
            'cardamomdeal-directory',
            {
                **self._location_settings(host),
                'name': f'directory-{host.name}',
                'listen': host.directory,
                'agent': host.agent,
                'keep_for_ms': self.options.keep_for_ms,
                'query_interval_ms': 200,
            },
        )

    def start_gateway(self, host: Host, work_class: str) -> Process:
        """Start the gateway of a host for a work class."""
        listen = (
            host.short_gateway
            if work_class == 'short'
            else host.upload_gateway
        )
        return self.start_program(
            f'gateway-{work_class}-{host.name}',
            'cardamomdeal-gateway',
            {
                **self._location_settings(host),
                'name': f'gateway-{work_class}-{host.name}',
                'listen': listen,
                'agent': host.agent,
                'work_classes': [work_class],
                'threads': self.options.threads,
                'keep_for_ms': self.options.keep_for_ms,
                'notice_ms': self.options.notice_ms,
                'report_interval_ms': 200,
                **self.options.gateway_settings,
            },
        )

    def start_admin(self) -> Process:
        """Start the administration API."""
        agents = {
            environment: self.hosts_of(environment)[0].agent
            for environment in ('trial', 'production')
            if self.hosts_of(environment)
        }
        return self.start_program(
            'admin',
            'cardamomdeal-admin',
            {
                **self._location_settings(self.hosts[0]),
                'name': 'admin',
                'listen': self.admin_address,
                'agents': agents,
                'platform': self.platform_address,
            },
        )

    def start_program(
        self, name: str, program: str, settings: dict[str, Any]
    ) -> Process:
        """Write a settings file and start an installed program with it."""
        path = self.working_path / f'{name}.json'
        path.write_text(json.dumps(settings, indent=2))
        program_path = pathlib.Path(sys.executable).parent / program
        return self.start_process(name, [str(program_path), str(path)])

    def start_module(
        self, name: str, module: str, arguments: list[str]
    ) -> Process:
        """Start a Python module as a program."""
        return self.start_process(
            name, [sys.executable, '-m', module, *arguments]
        )

    def run_command(
        self, *arguments: str, check_exit: bool = True
    ) -> subprocess.CompletedProcess[str]:
        """Run the command-line tool of the operators until it exits."""
        program_path = pathlib.Path(sys.executable).parent / 'cardamomdeal'
        completed = subprocess.run(
            [
                str(program_path),
                '--api',
                f'http://{self.admin_address}',
                *arguments,
            ],
            capture_output=True,
            text=True,
            timeout=STOP_TIMEOUT_S,
        )
        if check_exit and completed.returncode:
            raise RuntimeError(
                f'command {arguments} failed: '
                f'{completed.stdout}{completed.stderr}'
            )
        return completed

    def write_document(
        self, document: dict[str, Any], name: str = 'document.json'
    ) -> str:
        """Write a document to a file and return its path."""
        path = self.working_path / name
        path.write_text(json.dumps(document))
        return str(path)

    def apply_document(self, document: dict[str, Any]) -> str:
        """Try and promote a document and return the printed output."""
        path = self.write_document(document)
        try_output = self.run_command('try', path).stdout
        return try_output + self.run_command('promote').stdout

    def control_platform(self, resource: str, body: Any) -> None:
        """Post to a control resource of the platform stand-in."""
        self.http.request(
            'POST',
            f'http://{self.platform_address}/control/{resource}',
            json=body,
        )

    def change_backend_behaviour(self, server: str, **behaviour: Any) -> None:
        """Change the behaviour of a backend server stand-in."""
        self.http.request(
            'POST',
            f'http://{self.backend_address(server)}/-/behaviour',
            json=behaviour,
        )

    def backend_counts(self) -> dict[str, dict[str, Any]]:
        """Return the request counts of each backend server."""
        return {
            server['name']: self.http.request(
                'GET', f'http://{server["address"]}/-/counts'
            ).json()
            for server in self.document['backend_servers']
        }

    def execution_counts(self) -> dict[str, int]:
        """Return the number of executions of each request ID."""
        totals: dict[str, int] = {}
        for counts in self.backend_counts().values():
            for request_id, count in counts['executed'].items():
                totals[request_id] = totals.get(request_id, 0) + count
        return totals

    def backend_address(self, server: str) -> str:
        """Return the address of a backend server."""
        return next(
            item['address']
            for item in self.document['backend_servers']
            if item['name'] == server
        )

    def directory_resolves(self, host: Host, work_kind: str) -> bool:
        """Return whether a host's directory returns gateway addresses."""
        try:
            response = self.http.request(
                'GET',
                f'http://{host.directory}/addresses?work_kind={work_kind}',
                timeout=2.0,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def wait_until(
        self,
        condition: Any,
        description: str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> None:
        """Poll until a condition holds, or raise TimeoutError."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if condition():
                return
            time.sleep(POLL_S)
        raise TimeoutError(
            f'timed out after {timeout_s} s waiting for {description}'
        )

    def stop_all(self) -> dict[str, int]:
        """Stop the fleet gracefully, the stand-ins last.

        Returns the exit code of each process, keyed by its name.
        """
        exit_codes: dict[str, int] = {}
        # The empty prefix matches all remaining processes: the stand-ins.
        for prefix in ('gateway', 'directory', 'admin', 'agent', ''):
            group = [
                process
                for name, process in self.processes.items()
                if name.startswith(prefix)
            ]
            for process in group:
                process.send_signal(signal.SIGTERM)
            for process in group:
                exit_codes[process.name] = process.wait()
                del self.processes[process.name]
        return exit_codes

    def kill_all(self) -> None:
        """Kill all processes and remove their files."""
        for process in self.processes.values():
            process.kill()
        self.processes.clear()
        self._temporary_directory.cleanup()

    def start_process(self, name: str, arguments: list[str]) -> Process:
        """Start a process and register it under a name."""
        process = Process(name, arguments, self.working_path)
        self.processes[name] = process
        return process

    def _create_hosts(self) -> list[Host]:
        data_centres = self.document['data_centres']
        hosts = []
        for environment, count in (
            ('production', self.options.production_hosts),
            ('trial', self.options.trial_hosts),
        ):
            for index in range(count):
                hosts.append(
                    Host(
                        f'{environment}-{index + 1}',
                        environment,
                        data_centres[index % len(data_centres)],
                        *(free_address() for _ in range(4)),
                    )
                )
        return hosts

    def _location_settings(self, host: Host) -> dict[str, str]:
        return {
            'host': host.name,
            'region': self.document['region'],
            'data_centre': host.data_centre,
        }

    def admin_is_ready(self) -> bool:
        """Return whether the administration API responds."""
        try:
            response = self.http.request(
                'GET',
                f'http://{self.admin_address}/environments/trial',
                timeout=2.0,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200


def free_address() -> str:
    """Return a loopback address that nothing listens on."""
    for port in _ports:
        with socket.socket() as probe:
            # Without SO_REUSEADDR, a port cannot be bound while connections of
            # an earlier fleet on it are in TIME_WAIT.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return f'{LOOPBACK}:{port}'
    raise RuntimeError('no free port on loopback')


def is_listening(address: str) -> bool:
    """Return whether an address accepts connections."""
    host, port = address.split(':')
    with socket.socket() as probe:
        probe.settimeout(1.0)
        return probe.connect_ex((host, int(port))) == 0


def free_port() -> int:
    """Return a loopback port that nothing listens on."""
    return int(free_address().rpartition(':')[2])


def load_document(path: str) -> dict[str, Any]:
    """Read a document from a file."""
    text = pathlib.Path(path).read_text(encoding='utf-8')
    return check.parse_text(text).unwrap()


def check_model(document: dict[str, Any]) -> document_model.Document:
    """Return the validated model of a document."""
    checked = check.check_document(document)
    if not is_successful(checked):
        raise ValueError(
            '; '.join(str(problem) for problem in checked.failure())
        )
    return checked.unwrap()


def with_free_addresses(document: dict[str, Any]) -> dict[str, Any]:
    """Return a copy of a document with servers on free addresses."""
    copied = json.loads(json.dumps(document))
    for server in copied['backend_servers']:
        server['address'] = free_address()
    return copied
