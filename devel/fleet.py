"""Runs a small fleet with its stand-ins as processes on loopback."""

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
# Below the range that the system takes for outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 32_000

_ports = itertools.chain(
    range(FIRST_PORT + os.getpid() % 1000 * 20, LAST_PORT),
    range(FIRST_PORT, LAST_PORT),
)


@dataclasses.dataclass(frozen=True, slots=True)
class FleetOptions:
    """Say how large a fleet is and how fast it reacts."""

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
    """Hold the addresses of one entry host."""

    name: str
    environment: str
    data_centre: str
    agent: str
    directory: str
    short_gateway: str
    upload_gateway: str


class Process:
    """Hold one process that was started here."""

    def __init__(
        self, name: str, arguments: list[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.log = directory / f'{name}.log'
        self._log_file = self.log.open('ab')
        self._popen = subprocess.Popen(
            arguments, stdout=self._log_file, stderr=subprocess.STDOUT
        )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def running(self) -> bool:
        """Return whether the process runs."""
        return self._popen.poll() is None

    def kill(self) -> None:
        """End the process at once."""
        self._popen.kill()
        self._popen.wait()
        self._log_file.close()

    def send_signal(self, number: int) -> None:
        """Send a signal."""
        self._popen.send_signal(number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code."""
        return self._popen.wait(timeout_s)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Ask the process to stop and return its exit code."""
        self.send_signal(signal.SIGTERM)
        try:
            return self.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise


class Fleet:
    """Own the processes of a fleet and of its stand-ins."""

    def __init__(
        self, document: dict[str, Any], options: FleetOptions
    ) -> None:
        self.document = document
        self.options = options
        self.http = urllib3.PoolManager(retries=False)
        self._temporary = tempfile.TemporaryDirectory(prefix='fleet-')
        self.directory = pathlib.Path(self._temporary.name)
        self.processes: dict[str, Process] = {}
        self.platform = free_address()
        self.admin = free_address()
        self.hosts = self._plan_hosts()

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(self, *_: Any) -> None:
        self.kill_all()

    def hosts_of(self, environment: str) -> list[Host]:
        """Return the entry hosts of an environment."""
        return [h for h in self.hosts if h.environment == environment]

    def start(self) -> None:
        """Start everything and put the document in force."""
        self.start_standins()
        for host in self.hosts:
            self.start_host(host)
        self.start_admin()
        self.wait_until(self.admin_answers, 'the administration API')

    def start_standins(self) -> None:
        """Start the platform and the backend servers."""
        self.run_module('platform', 'devel.store_standin', [self.platform])
        servers = check_model(self.document).backend_servers
        self.run_module(
            'backends',
            'devel.backend_standin',
            [
                f'{server.address}/{server.slots}/{self.options.work_ms}'
                for server in servers
            ],
        )
        self.wait_until(lambda: listens(self.platform), 'the platform')
        last = str(servers[-1].address)
        self.wait_until(lambda: listens(last), 'the backend servers')

    def start_host(self, host: Host) -> None:
        """Start the processes of one entry host."""
        self.start_agent(host)
        self.start_directory(host)
        self.start_gateway(host, 'short')
        self.start_gateway(host, 'upload')

    def start_agent(self, host: Host) -> Process:
        """Start a host's agent."""
        seeds = [
            other.agent
            for other in self.hosts_of(host.environment)
            if other is not host
        ]
        return self.run_binary(
            f'agent-{host.name}',
            'cardamomdeal-agent',
            {
                **self._place(host),
                'name': host.name,
                'listen': host.agent,
                'platform': self.platform,
                'environment': host.environment,
                'seed_peers': seeds,
                'gossip_interval_ms': self.options.gossip_interval_ms,
                'peer_timeout_ms': self.options.peer_timeout_ms,
                **self.options.agent_settings,
            },
        )

    def start_directory(self, host: Host) -> Process:
        """Start a host's directory."""
        return self.run_binary(
            f'directory-{host.name}',
            'cardamomdeal-directory',
            {
                **self._place(host),
                'name': f'directory-{host.name}',
                'listen': host.directory,
                'agent': host.agent,
                'keep_for_ms': self.options.keep_for_ms,
                'query_interval_ms': 200,
            },
        )

    def start_gateway(self, host: Host, work_class: str) -> Process:
        """Start the gateway of a host for one class of work."""
        listen = (
            host.short_gateway
            if work_class == 'short'
            else host.upload_gateway
        )
        return self.run_binary(
            f'gateway-{work_class}-{host.name}',
            'cardamomdeal-gateway',
            {
                **self._place(host),
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
        return self.run_binary(
            'admin',
            'cardamomdeal-admin',
            {
                **self._place(self.hosts[0]),
                'name': 'admin',
                'listen': self.admin,
                'agents': agents,
                'platform': self.platform,
            },
        )

    def run_binary(
        self, name: str, binary: str, settings: dict[str, Any]
    ) -> Process:
        """Start one of the project's programs."""
        path = self.directory / f'{name}.json'
        path.write_text(json.dumps(settings, indent=2))
        program = pathlib.Path(sys.executable).parent / binary
        return self.run(name, [str(program), str(path)])

    def run_module(
        self, name: str, module: str, arguments: list[str]
    ) -> Process:
        """Start a stand-in."""
        return self.run(name, [sys.executable, '-m', module, *arguments])

    def command(
        self, *arguments: str, check_exit: bool = True
    ) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line."""
        program = pathlib.Path(sys.executable).parent / 'cardamomdeal'
        done = subprocess.run(
            [str(program), '--api', f'http://{self.admin}', *arguments],
            capture_output=True,
            text=True,
            timeout=STOP_TIMEOUT_S,
        )
        if check_exit and done.returncode:
            raise RuntimeError(f'{arguments}: {done.stdout}{done.stderr}')
        return done

    def write_document(
        self, document: dict[str, Any], name: str = 'document.json'
    ) -> str:
        """Write a document to a file and return its path."""
        path = self.directory / name
        path.write_text(json.dumps(document))
        return str(path)

    def put_in_force(self, document: dict[str, Any]) -> str:
        """Try a document, promote it, and return what was printed."""
        path = self.write_document(document)
        tried = self.command('try', path).stdout
        return tried + self.command('promote').stdout

    def platform_control(self, what: str, body: Any) -> None:
        """Change the faults or the host list of the platform."""
        self.http.request(
            'POST', f'http://{self.platform}/control/{what}', json=body
        )

    def backend_control(self, server: str, **behaviour: Any) -> None:
        """Change the behaviour of a backend server."""
        self.http.request(
            'POST',
            f'http://{self.backend_address(server)}/-/behaviour',
            json=behaviour,
        )

    def backend_counts(self) -> dict[str, dict[str, Any]]:
        """Return what each backend server received and ran."""
        return {
            server['name']: self.http.request(
                'GET', f'http://{server["address"]}/-/counts'
            ).json()
            for server in self.document['backend_servers']
        }

    def executions(self) -> dict[str, int]:
        """Return how often each request id was run."""
        total: dict[str, int] = {}
        for counts in self.backend_counts().values():
            for request_id, count in counts['executed'].items():
                total[request_id] = total.get(request_id, 0) + count
        return total

    def backend_address(self, server: str) -> str:
        """Return the address of a backend server."""
        return next(
            item['address']
            for item in self.document['backend_servers']
            if item['name'] == server
        )

    def directory_answers(self, host: Host, work_kind: str) -> bool:
        """Return whether a host's directory knows a gateway."""
        try:
            answer = self.http.request(
                'GET',
                f'http://{host.directory}/addresses?work_kind={work_kind}',
                timeout=2.0,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def wait_until(
        self, condition: Any, what: str, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until a condition holds."""
        ends_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_s:
            if condition():
                return
            time.sleep(POLL_S)
        raise TimeoutError(f'{what}: not within {timeout_s} s')

    def stop_all(self) -> dict[str, int]:
        """Stop the fleet gracefully, the stand-ins last."""
        codes: dict[str, int] = {}
        for prefix in ('gateway', 'directory', 'admin', 'agent', ''):
            group = [
                process
                for name, process in self.processes.items()
                if name.startswith(prefix)
            ]
            for process in group:
                process.send_signal(signal.SIGTERM)
            for process in group:
                codes[process.name] = process.wait()
                del self.processes[process.name]
        return codes

    def kill_all(self) -> None:
        """End every process at once."""
        for process in self.processes.values():
            process.kill()
        self.processes.clear()
        self._temporary.cleanup()

    def run(self, name: str, arguments: list[str]) -> Process:
        """Start a process under a name."""
        process = Process(name, arguments, self.directory)
        self.processes[name] = process
        return process

    def _plan_hosts(self) -> list[Host]:
        centres = self.document['data_centres']
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
                        centres[index % len(centres)],
                        *(free_address() for _ in range(4)),
                    )
                )
        return hosts

    def _place(self, host: Host) -> dict[str, str]:
        return {
            'host': host.name,
            'region': self.document['region'],
            'data_centre': host.data_centre,
        }

    def admin_answers(self) -> bool:
        """Return whether the administration API is up."""
        try:
            answer = self.http.request(
                'GET', f'http://{self.admin}/environments/trial', timeout=2.0
            )
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200


def free_address() -> str:
    """Return a loopback address that nothing listens on."""
    for port in _ports:
        with socket.socket() as probe:
            # Without this a port counts as taken while connections of an
            # earlier fleet linger on it.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return f'{LOOPBACK}:{port}'
    raise RuntimeError('no free port is left')


def listens(address: str) -> bool:
    """Return whether something accepts connections on an address."""
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
    """Return the model of a document that is known to be valid."""
    checked = check.check_document(document)
    if not is_successful(checked):
        raise ValueError(
            '; '.join(str(problem) for problem in checked.failure())
        )
    return checked.unwrap()


def on_free_ports(document: dict[str, Any]) -> dict[str, Any]:
    """Return a copy of a document with free loopback addresses."""
    copied = json.loads(json.dumps(document))
    for server in copied['backend_servers']:
        server['address'] = free_address()
    return copied
