"""Small deployment on loopback: entry hosts, a store, workers and clients.

The entry hosts are the project's own program, started as separate processes
with the command of the deploy file. The store is the project's stand-in, also
a process of its own. Workers and clients are tasks of this process.
"""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

LOOPBACK = '127.0.0.1'
ROOT = pathlib.Path(__file__).resolve().parents[1]
DEPS = ROOT / 'target' / 'deps'
HOSTNAME = 'shop.example'
ID = 'Cardamomdeal-Request-Id'
DEADLINE = 'Cardamomdeal-Deadline-Ms'
EXPECT = 'Cardamomdeal-Expect-Instance'
SIGNATURE = 'Cardamomdeal-Response-Signature'
COMMAND = ('python3', 'deploy/entry.py')
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


def free_ports(count):
    """Return free TCP ports, which are free for UDP as well."""
    ports, opened = [], []
    while len(ports) < count:
        tcp = socket.socket()
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened += [tcp, udp]
        tcp.bind((LOOPBACK, 0))
        try:
            udp.bind((LOOPBACK, tcp.getsockname()[1]))
        except OSError:
            continue
        ports.append(tcp.getsockname()[1])
    for sock in opened:
        sock.close()
    return ports


class Record:
    """Writes what happens to record.txt, with the time since the start."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._started = time.monotonic()

    def add(self, *words):
        at = time.monotonic() - self._started
        self._file.write(f'{at:9.3f} ' + ' '.join(map(str, words)) + '\n')

    def say(self, *words):
        self.add(*words)
        print(*words, flush=True)

    def close(self):
        self._file.close()


class Store:
    """The project's stand-in for the platform's store, as a process."""

    def __init__(self, folder):
        (self.port,) = free_ports(1)
        self._log = (folder / 'store.log').open('w')
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'devel.store_standin',
             f'{LOOPBACK}:{self.port}'],
            cwd=ROOT,
            env=environment({'PYTHONPATH': f'{DEPS}:{ROOT / "src"}:{ROOT}'}),
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def put(self, key, value):
        body = {'puts': [{'key': key, 'lease': 0,
                          'value': base64.b64encode(value).decode()}]}
        self._post('kv-txn', body)

    def _post(self, name, body):
        request = urllib.request.Request(
            f'http://{LOOPBACK}:{self.port}/cardamomdeal/{name}',
            json.dumps(body).encode(),
            {'Content-Type': 'application/json'},
        )
        deadline = time.monotonic() + 10
        while True:
            try:
                with urllib.request.urlopen(request, timeout=5) as answer:
                    return json.load(answer)
            except OSError as error:
                if time.monotonic() > deadline:
                    raise CannotRun(f'store: {error}') from error
                time.sleep(0.1)


def environment(more):
    """Return the variables that the platform passes on, and some more."""
    kept = {k: os.environ[k] for k in ('PATH', 'HOME', 'LANG')
            if k in os.environ}
    return {**kept, 'PYTHONDONTWRITEBYTECODE': '1', **more}


class Host:
    """One entry host: its settings and its process."""

    def __init__(self, name, folder, store_port, bounds, memory_mb):
        self.name = name
        (self.front, self.ready, self.directory, self.metrics,
         peers) = free_ports(5)
        settings = {
            'host': name, 'region': 'r', 'data_centre': 'a',
            'callers': f'{LOOPBACK}:{self.front}',
            'readiness': f'{LOOPBACK}:{self.ready}',
            'directory': f'{LOOPBACK}:{self.directory}',
            'metrics': f'{LOOPBACK}:{self.metrics}',
            'peers': f'{LOOPBACK}:{peers}', 'seeds': [],
            'store': f'{LOOPBACK}:{store_port}', 'link_mbps': 1000.0,
            'memory_mb': memory_mb, 'heartbeat': '1500ms', 'bounds': bounds,
        }
        self.settings = folder / f'{name}.jsonc'
        self.settings.write_text(json.dumps(settings))
        self._log = (folder / f'{name}.log').open('a')
        self.process = None

    def start(self):
        self.process = subprocess.Popen(
            COMMAND, cwd=ROOT, stdout=self._log, stderr=subprocess.STDOUT,
            env=environment({'PYTHONPATH': str(DEPS),
                             'CARDAMOMDEAL_BOOT': str(self.settings)}),
        )

    def send_signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                LOOPBACK, self.ready)
            writer.write(b'GET /cardamomdeal/ready HTTP/1.1\r\n'
                         b'Host: x\r\nConnection: close\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b' 200 ' in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=15):
        deadline = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > deadline or self.process.poll() is not None:
                raise CannotRun(f'{self.name} is not ready')
            await asyncio.sleep(0.1)


class Worker:
    """Sound backend server; runs `handle` for each request."""

    def __init__(self, number, service, record, work_s, answer_bytes,
                 slots=6):
        self.id = f'i-{number}'
        self.service, self.record, self.slots = service, record, slots
        self.work_s, self.answer_bytes = work_s, answer_bytes
        self.running = 0
        self.ran = []
        # Requests whose head has arrived.
        self.seen = []

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, LOOPBACK, 0, backlog=1000)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state='ready'):
        return json.dumps({
            'address': f'{LOOPBACK}:{self.port}', 'born': 1,
            'info': {'service': self.service, 'zone': 'a', 'version': 'v1',
                     'slots': self.slots},
            'status': {'state': state, 'seq': 1, 'cold_remaining': '0ms'},
        }).encode()

    async def _serve(self, reader, writer):
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def read_body(self, reader, size_bytes):
        await reader.readexactly(size_bytes)

    async def _serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        line, fields = head
        request_id = fields.get(ID.lower(), '')
        self.seen.append(request_id)
        await self.read_body(reader, int(fields.get('content-length', 0)))
        if fields.get(EXPECT.lower()) not in (None, self.id):
            writer.write(f'HTTP/1.1 421 Misdirected Request\r\n'
                         f'Cardamomdeal-Instance-Id: {self.id}\r\n'
                         f'Content-Length: 0\r\n\r\n'.encode())
            return True
        self.running += 1
        self.ran.append(request_id)
        self.record.add('run', request_id, self.id)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = b'x' * self.answer_bytes
        writer.write(
            f'HTTP/1.1 200 OK\r\n{ID}: {request_id}\r\n'
            f'{SIGNATURE}: signed-{self.id}\r\n'
            f'Cardamomdeal-Server-Load: {self.running},0,{self.slots}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'.encode() + body)
        await writer.drain()
        return True


async def read_head(reader):
    """Return the first line and the header fields, or None at the end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    line, *rows = data[:-4].decode('latin-1').split('\r\n')
    fields = {}
    for row in rows:
        name, _, value = row.partition(':')
        fields[name.strip().lower()] = value.strip()
    return line, fields


def configuration(version, routes, services, max_connections=2925):
    """Return a configuration; a route is (name, kind, service, timeout)."""
    return json.dumps({
        'version': version,
        'routes': {
            'columns': ['name', 'hostname', 'prefix', 'kind', 'timeout',
                        'target_latency', 'priority', 'service', 'attempts'],
            'rows': [[f'r-{name}', HOSTNAME, f'/{name}/', kind, timeout,
                      '2000ms', 1, service, 2]
                     for name, kind, service, timeout in routes],
        },
        'services': {
            'columns': ['name', 'health_path', 'max_connections',
                        'protocol', 'tls'],
            'rows': [[name, '/healthz', max_connections, 'h1', False]
                     for name in services],
        },
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 67108864,
                   'header_timeout': '3000ms', 'idle_timeout': '15000ms'},
    }).encode()


class Deployment:
    """Hosts, store and workers; ends every process that it started."""

    def __init__(self, folder, bounds, memory_mb):
        self.record = Record(folder)
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self._bounds, self._memory_mb = bounds, memory_mb
        self.hosts, self.workers = [], []
        if not DEPS.is_dir():
            raise CannotRun('target/deps is missing: build first')
        self.store = Store(self._folder)

    async def start(self, host_count, workers, config, store_ports=()):
        self.workers = workers
        for worker in workers:
            await worker.start()
            self.store.put(f'servers/{worker.id}', worker.entry())
        self.store.put('op/config', config)
        for number in range(host_count):
            # A host may reach the store by way of a proxy.
            port = dict(store_ports).get(number, self.store.port)
            host = Host(f'entry-{number + 1}', self._folder, port,
                        self._bounds, self._memory_mb)
            host.start()
            self.hosts.append(host)
        for host in self.hosts:
            await host.wait_ready()
        # The hosts hear of each other, and calm ones are in touch.
        await asyncio.sleep(3.5)
        self.record.say('deployment of', host_count, 'hosts and',
                        len(workers), 'workers is ready')

    def stop(self):
        for process in [host.process for host in self.hosts] + [
                self.store.process]:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                process.wait()
        if os.environ.get('KEEP_LOGS'):
            print(f'logs are in {self._folder}')
        else:
            shutil.rmtree(self._folder, ignore_errors=True)
        self.record.close()


def main(case, folder, bounds, memory_mb):
    """Play a case and exit with its verdict."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    # A shell may have been told to ignore it, and processes inherit that.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    deployment = None
    try:
        deployment = Deployment(folder, bounds, memory_mb)
        verdict = asyncio.run(case(deployment, trouble))
    except CannotRun as error:
        print(f'cannot run: {error}')
        verdict = NOT_RUN
    finally:
        if deployment is not None:
            deployment.stop()
    sys.exit(verdict)
