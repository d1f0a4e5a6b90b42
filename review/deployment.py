"""Small deployment on loopback: entry hosts, a store and backend servers.

The entry hosts are started with the command of the deploy file. The store
is the project's own stand-in; servers and callers are the ones below.
"""

import itertools
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / 'target/deps'), str(ROOT / 'src')]

from devel import store_standin  # noqa: E402

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOSTNAME = 'shop.example'
START_TIMEOUT_S = 20
# Bounds of both deployments in the users' pages.
DRAIN_S = 2.0
GRACE_S = 6.0
BOUNDS = {
    'drain': '2000ms',
    'stop_grace': '6s',
    'max_keep_for': '5s',
    'repeat_ratio': 0.2,
    'repeat_window': '10s',
    'repeat_slack': 58.0,
    'capacity_floor': 0.7,
}
# Limits in the example of the configuration on the wire.
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 67108864,
    'header_timeout': '3000ms',
    'idle_timeout': '15000ms',
}
HEARTBEAT_S = 1.5


class Record:
    """Writes what happened to record.txt, with the time since the start."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._lock = threading.Lock()
        self.started_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self.started_s

    def __call__(self, text):
        with self._lock:
            self._file.write(f'{self.now_s():9.3f} {text}\n')
            self._file.flush()


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Server:
    """Sound backend server: answers whole, and runs each request it gets.

    The query of the path states the work in milliseconds: `?work=200`.
    """

    _numbers = itertools.count(1)

    def __init__(self, server_id, service, record, slots=64):
        self.server_id = server_id
        self.service = service
        self.slots = slots
        self.ip = f'127.20.0.{next(self._numbers)}'
        self.record = record
        self.running = 0
        # Request id, time of arrival, time of the end or None.
        self.runs = {}
        self.arrivals = []
        self.is_down = False
        self._connections = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server((self.ip, 0), backlog=256)
        self.port = self._listener.getsockname()[1]
        self.seq = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, state='ready'):
        self.seq += 1
        return json.dumps(
            {
                'address': f'{self.ip}:{self.port}',
                'born': 1_700_000_000_000,
                'info': {
                    'service': self.service,
                    'zone': 'a',
                    'version': 'v1',
                    'slots': self.slots,
                },
                'status': {
                    'state': state,
                    'cold_remaining': '0ms',
                    'seq': self.seq,
                },
            }
        ).encode()

    def exit(self):
        """End as a process does: all connections are closed."""
        with self._lock:
            self.is_down = True
            connections = list(self._connections)
        self.record(f'server {self.server_id} exits')
        self._listener.close()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        stream = connection.makefile('rb')
        try:
            while self._serve_one(connection, stream):
                pass
        except OSError:
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()

    def _serve_one(self, connection, stream):
        head = read_head(stream)
        if head is None:
            return False
        first_line, headers = head
        method, target, _ = first_line.split(' ')
        request_id = headers.get('cardamomdeal-request-id', '')
        body = stream.read(int(headers.get('content-length', 0)))
        path, _, query = target.partition('?')
        if path == '/healthz':
            return self._send(connection, 200, '', b'')
        if headers.get('cardamomdeal-expect-instance') != self.server_id:
            return self._send(connection, 421, request_id, b'')
        work_s = int(query.partition('work=')[2] or 100) / 1000
        with self._lock:
            if self.is_down:
                return False
            self.arrivals.append((request_id, self.record.now_s()))
            self.running += 1
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.record(
            f'server {self.server_id} runs {request_id} ({method} {target}, '
            f'{len(body)} bytes, work {work_s} s)'
        )
        time.sleep(work_s)
        with self._lock:
            self.running -= 1
        if self.is_down:
            return False
        self.record(f'server {self.server_id} has run {request_id}')
        return self._send(
            connection, 200, request_id, f'done {request_id}\n'.encode()
        )

    def _send(self, connection, status, request_id, body):
        lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
        if request_id:
            lines.append(f'Cardamomdeal-Request-Id: {request_id}')
        if status == 421:
            lines.append('Cardamomdeal-Not-Executed: 1')
            lines.append(f'Cardamomdeal-Instance-Id: {self.server_id}')
        else:
            lines.append(f'Cardamomdeal-Response-Signature: {self.server_id}')
            lines.append(
                f'Cardamomdeal-Server-Load: {self.running},0,{self.slots}'
            )
        lines += ['Keep-Alive: timeout=10', '', '']
        connection.sendall('\r\n'.join(lines).encode() + body)
        return True


class StorePath:
    """Network path from one host to the store, which can be cut silently."""

    def __init__(self, ip, store_address):
        self._store_address = store_address
        self.is_cut = False
        self._listener = socket.create_server((ip, 0), backlog=64)
        self.address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._connect, args=(near,), daemon=True
            ).start()

    def _connect(self, near):
        while self.is_cut:
            time.sleep(0.05)
        far = socket.create_connection(self._store_address)
        for source, target in ((near, far), (far, near)):
            threading.Thread(
                target=self._copy, args=(source, target), daemon=True
            ).start()

    def _copy(self, source, target):
        try:
            while data := source.recv(65536):
                # Bytes sent during a cut are lost with their connection.
                if self.is_cut:
                    return
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            pass


class Host:
    """Entry host: a process, started with the command of the deploy file."""

    def __init__(self, name, number, folder, store_address):
        self.name = name
        self.ip = f'127.10.0.{number}'
        self.ports = {
            key: free_port(self.ip)
            for key in ('callers', 'readiness', 'directory', 'metrics')
        }
        self.ports['peers'] = free_port(self.ip, socket.SOCK_DGRAM)
        settings = {
            key: f'{self.ip}:{port}' for key, port in self.ports.items()
        }
        settings |= {
            'host': name,
            'region': 'r',
            'data_centre': 'a',
            'seeds': [],
            'store': f'{store_address[0]}:{store_address[1]}',
            'link_mbps': 1000.0,
            'bounds': BOUNDS,
        }
        self.settings_path = pathlib.Path(folder) / f'{name}.jsonc'
        self.settings_path.write_text(json.dumps(settings))
        self.log_path = pathlib.Path(folder) / f'{name}.log'
        self.process = None

    @property
    def callers(self):
        return (self.ip, self.ports['callers'])

    def start(self):
        environment = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        environment['CARDAMOMDEAL_BOOT'] = str(self.settings_path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with self.log_path.open('a') as log:
            self.process = subprocess.Popen(
                ['python3', 'deploy/entry.py'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def is_ready(self):
        try:
            with socket.create_connection(
                (self.ip, self.ports['readiness']), 1
            ) as connection:
                connection.settimeout(1)
                connection.sendall(
                    b'GET /cardamomdeal/ready HTTP/1.1\r\n'
                    b'Host: ready\r\nConnection: close\r\n\r\n'
                )
                return b' 200 ' in connection.recv(64)
        except OSError:
            return False

    def resolve(self):
        """Return the addresses for callers and the ttl."""
        with socket.create_connection(
            (self.ip, self.ports['directory']), 1
        ) as connection:
            connection.settimeout(1)
            connection.sendall(
                f'GET /cardamomdeal/resolve?name={HOSTNAME}&region=r&zone=a '
                'HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n'
                .encode()
            )
            data = b''
            while piece := connection.recv(65536):
                data += piece
        return json.loads(data.partition(b'\r\n\r\n')[2])


class Deployment:
    """Store, servers and hosts; ends all that it started."""

    def __init__(self, folder, host_names, has_store_paths=False):
        self.record = Record(folder)
        self.folder = tempfile.TemporaryDirectory(prefix='review-')
        self.store_address = ('127.0.0.1', free_port('127.0.0.1'))
        self.store = store_standin.StoreStandin(*self.store_address)
        self.servers = []
        self.absent = set()
        self.paths = {}
        self.hosts = []
        for number, name in enumerate(host_names, 1):
            address = self.store_address
            if has_store_paths:
                self.paths[name] = StorePath(
                    f'127.10.0.{number}', self.store_address
                )
                address = self.paths[name].address
            self.hosts.append(Host(name, number, self.folder.name, address))
        self._is_ended = threading.Event()

    def put_configuration(self, version, routes):
        """Write a configuration: rows of prefix, kind, timeout, service."""
        columns = ['prefix', 'kind', 'timeout', 'service']
        columns += ['name', 'hostname', 'target_latency', 'priority']
        columns += ['attempts']
        rows = [
            [*route, f'r{number}', HOSTNAME, '2000ms', 1, 2]
            for number, route in enumerate(routes)
        ]
        services = sorted({route[3] for route in routes})
        value = {
            'version': version,
            'routes': {'columns': columns, 'rows': rows},
            'services': {
                'columns': ['name', 'health_path', 'max_connections'],
                'rows': [[name, '/healthz', 330] for name in services],
            },
            'limits': LIMITS,
        }
        self.store.put('op/config', json.dumps(value).encode())

    def add_server(self, server_id, service):
        server = Server(server_id, service, self.record)
        self.servers.append(server)
        self.store.put(f'servers/{server_id}', server.entry())
        return server

    def remove_server(self, server):
        """Remove a server's entry; return when the store has done so."""
        self.absent.add(server.server_id)
        self.store.remove(f'servers/{server.server_id}')
        now_s = self.record.now_s()
        self.record(f'store: the entry of {server.server_id} is removed')
        return now_s

    def start(self):
        for host in self.hosts:
            host.start()
        self.wait_until(lambda: all(host.is_ready() for host in self.hosts))
        self.wait_until(
            lambda: all(
                len(host.resolve()['addresses']) == len(self.hosts)
                for host in self.hosts
            )
        )
        threading.Thread(target=self._send_heartbeats, daemon=True).start()
        self.record('all hosts are ready')

    def _send_heartbeats(self):
        while not self._is_ended.wait(HEARTBEAT_S):
            for server in self.servers:
                if server.server_id not in self.absent:
                    self.store.put(
                        f'servers/{server.server_id}', server.entry()
                    )

    def wait_until(self, condition):
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            try:
                if condition():
                    return
            except OSError:
                pass
            time.sleep(0.1)
        raise TimeoutError('the deployment did not start')

    def end(self):
        self._is_ended.set()
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
            if host.process is not None:
                host.process.wait()
        logs = os.environ.get('KEEP_LOGS')
        if logs:
            for host in self.hosts:
                (pathlib.Path(logs) / host.log_path.name).write_bytes(
                    host.log_path.read_bytes()
                )
        self.folder.cleanup()


def read_head(stream):
    """Return the first line and the headers; None at the end."""
    first_line = stream.readline().decode('latin-1').strip()
    if not first_line:
        return None
    headers = {}
    while True:
        line = stream.readline().decode('latin-1').strip()
        if not line:
            return first_line, headers
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()


class Caller:
    """Caller with one connection, kept open for many requests."""

    def __init__(self, address, record, name):
        self.record = record
        self.name = name
        self.socket = socket.create_connection(address, 1)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.socket.makefile('rb')
        self.must_close = False

    def send(
        self, method, path, request_id, body=None, chunked=False,
        deadline_ms=8000,
    ):
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOSTNAME}',
            f'Cardamomdeal-Request-Id: {request_id}',
            f'Cardamomdeal-Deadline-Ms: {deadline_ms}',
        ]
        data = b''
        if chunked:
            lines.append('Transfer-Encoding: chunked')
            data = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        elif body is not None:
            lines.append(f'Content-Length: {len(body)}')
            data = body
        head = '\r\n'.join([*lines, '', '']).encode()
        self.record(
            f'caller {self.name} sends {request_id} ({method} {path}, '
            f'{"chunked" if chunked else "with a length"})'
        )
        self.socket.sendall(head + data)

    def receive(self, request_id, timeout_s=10):
        """Return the status and body, or None if there is no whole answer."""
        self.socket.settimeout(timeout_s)
        try:
            head = read_head(self.stream)
            if head is not None:
                first_line, headers = head
                length = int(headers.get('content-length', 0))
                body = self.stream.read(length)
                if len(body) == length:
                    status = int(first_line.split(' ')[1])
                    self.must_close = headers.get('connection') == 'close'
                    self.record(
                        f'caller {self.name} gets {status} to {request_id}'
                        + (', Connection: close' if self.must_close else '')
                    )
                    return status, headers, body
        except OSError as error:
            self.record(f'caller {self.name}: {error!r}')
        self.record(f'caller {self.name}: no answer to {request_id}, closed')
        return None

    def is_closed(self):
        """Return whether the host has closed the connection."""
        self.socket.settimeout(0)
        try:
            return self.socket.recv(1, socket.MSG_PEEK) == b''
        except BlockingIOError:
            return False
        except OSError:
            return True

    def close(self):
        self.stream.close()
        self.socket.close()


def run(main):
    """Run a case; exit with 2 if it could not run."""
    try:
        code = main()
    except Exception as error:
        print(f'could not run: {error!r}', file=sys.stderr)
        code = COULD_NOT_RUN
    sys.stdout.flush()
    os._exit(code)

