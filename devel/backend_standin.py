"""Small stand-in for a backend server, with faults on demand."""

import collections
import dataclasses
import hashlib
from http import server as http_server
import json
import socket
import sys
import threading
from typing import Any

import pykka

from cardamomdeal.internal import address
from cardamomdeal.internal import process

CHUNK_BYTES = 64 * 1024
POLL_S = 0.05


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Say how the stand-in behaves."""

    slots: int = 3
    work_ms: int = 5
    answer_bytes: int = 0
    draining: bool = False
    starting: bool = False
    fault: str = ''
    # Share of the requests that the fault hits.
    fault_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Begin:
    """Ask for a slot."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """Grant a slot and say how to behave."""

    behaviour: Behaviour
    used_slots: int
    faulty: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Refuse to run the request."""

    reason: str
    behaviour: Behaviour
    used_slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Executed:
    """Count that a request's work was done."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """Give the slot back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Change the behaviour."""

    changed: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class GetReceived:
    """Ask how many requests came."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetCounts:
    """Ask how often each request was run."""


class Worker(pykka.ThreadingActor):
    """Own the slots and the counts of what was run."""

    def __init__(self, slots: int, work_ms: int) -> None:
        super().__init__()
        self._behaviour = Behaviour(slots=slots, work_ms=work_ms)
        self._used = 0
        self._received = 0
        self._faulty_credit = 0.0
        self._executed: collections.Counter[str] = collections.Counter()

    def on_receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case Begin():
                return self._begin()
            case Executed(request_id):
                self._executed[request_id] += 1
            case End():
                self._used -= 1
            case Change(changed):
                self._behaviour = dataclasses.replace(
                    self._behaviour, **changed
                )
            case GetReceived():
                return {'received': self._received}
            case GetCounts():
                return {
                    'received': self._received,
                    'executed': dict(self._executed),
                    'used_slots': self._used,
                }
        return None

    def _begin(self) -> Granted | Refused:
        behaviour = self._behaviour
        self._received += 1
        for refused, reason in (
            (behaviour.draining, 'draining'),
            (behaviour.starting, 'starting'),
            (self._used >= behaviour.slots, 'shed'),
        ):
            if refused:
                return Refused(reason, behaviour, self._used)
        self._used += 1
        return Granted(behaviour, self._used, self._next_is_faulty())

    def _next_is_faulty(self) -> bool:
        if not self._behaviour.fault:
            return False
        self._faulty_credit += self._behaviour.fault_share
        if self._faulty_credit < 1:
            return False
        self._faulty_credit -= 1
        return True


class Handler(http_server.BaseHTTPRequestHandler):
    """Serve one connection."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    worker: pykka.ActorRef[Any]
    pause = threading.Event()

    def log_message(self, *_: Any) -> None:
        """Log nothing."""

    def _dispatch(self) -> None:
        if self.path.startswith('/-/'):
            self._serve_control()
            return
        match self.worker.ask(Begin(self._request_id)):
            case Refused() as refused:
                self._refuse(refused)
            case Granted() as granted:
                try:
                    self._work(granted)
                finally:
                    self.worker.tell(End())

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = do_HEAD = _dispatch

    @property
    def _request_id(self) -> str:
        return self.headers.get('Request-Id', '')

    def _serve_control(self) -> None:
        match self.path:
            case '/-/behaviour':
                self.worker.ask(Change(json.loads(self._read_body()[2])))
                self._send_json({})
            case '/-/received':
                self._send_json(self.worker.ask(GetReceived()))
            case '/-/counts':
                self._send_json(self.worker.ask(GetCounts()))
            case _:
                # The health endpoint says well whatever the truth is.
                self._send_json({'state': 'serving'})

    def _refuse(self, refused: Refused) -> None:
        self.close_connection = True
        self.send_response(503)
        self.send_header('Backend-Refusal', refused.reason)
        self._send_load(refused.used_slots, refused.behaviour)
        self.send_header('Content-Length', '0')
        self.send_header('Connection', 'close')
        self.end_headers()

    def _work(self, granted: Granted) -> None:
        behaviour = granted.behaviour
        fault = behaviour.fault if granted.faulty else ''
        if fault == 'reset_before_run':
            self._reset()
            return
        try:
            size, digest, _ = self._read_body()
        except OSError:
            self.close_connection = True
            return
        if size < 0:
            self.close_connection = True
            return
        if fault == 'slow':
            self.pause.wait(behaviour.work_ms * 20 / 1000)
        self.pause.wait(behaviour.work_ms / 1000)
        self.worker.ask(Executed(self._request_id))
        body = self._answer_body(behaviour, size, digest)
        self._answer(fault, body, granted)

    def _answer_body(
        self, behaviour: Behaviour, size: int, digest: str
    ) -> bytes:
        if behaviour.answer_bytes:
            return b'x' * behaviour.answer_bytes
        return json.dumps(
            {
                'request_id': self._request_id,
                'path': self.path,
                'bytes': size,
                'digest': digest,
            }
        ).encode()

    def _answer(self, fault: str, body: bytes, granted: Granted) -> None:
        match fault:
            case 'reset_after_run':
                self._reset()
            case 'silent':
                self.pause.wait(30)
                self.close_connection = True
            case 'error':
                self._send_answer(500, b'{}', granted)
            case 'half':
                self._send_answer(200, body, granted, sent=len(body) // 2)
                self.close_connection = True
            case 'half_chunked':
                self._send_chunked(body, granted, whole=False)
            case 'doubled':
                self._send_answer(200, body, granted, surplus=body)
            case 'wrong_length':
                self._send_answer(200, body, granted, stated=len(body) + 7)
                self.close_connection = True
            case 'no_length':
                self._send_until_close(body, granted)
            case 'crossed':
                self._send_answer(200, body, granted, request_id='other')
            case 'chunked':
                self._send_chunked(body, granted, whole=True)
            case _:
                self._send_answer(200, body, granted)

    def _send_answer(
        self,
        status: int,
        body: bytes,
        granted: Granted,
        sent: int | None = None,
        stated: int | None = None,
        surplus: bytes = b'',
        request_id: str | None = None,
    ) -> None:
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Request-Id', request_id or self._request_id)
        self.send_header('Content-Length', str(stated or len(body)))
        self._send_load(granted.used_slots, granted.behaviour)
        self.end_headers()
        if self.command != 'HEAD':
            self.wfile.write(body[:sent] + surplus)

    def _send_chunked(
        self, body: bytes, granted: Granted, whole: bool
    ) -> None:
        self.send_response(200)
        self.send_header('Transfer-Encoding', 'chunked')
        self._send_load(granted.used_slots, granted.behaviour)
        self.end_headers()
        for start in range(0, len(body), CHUNK_BYTES):
            chunk = body[start : start + CHUNK_BYTES]
            self.wfile.write(f'{len(chunk):x}\r\n'.encode())
            self.wfile.write(chunk + b'\r\n')
        if whole:
            self.wfile.write(b'0\r\n\r\n')
        else:
            self.close_connection = True

    def _send_until_close(self, body: bytes, granted: Granted) -> None:
        self.close_connection = True
        self.send_response(200)
        self.send_header('Connection', 'close')
        self.end_headers()
        self.wfile.write(body)

    def _send_load(self, used_slots: int, behaviour: Behaviour) -> None:
        self.send_header('Backend-Load', f'{used_slots}/{behaviour.slots}')
        if behaviour.draining:
            self.send_header('Backend-State', 'draining')

    def _send_json(self, value: Any) -> None:
        body = json.dumps(value).encode()
        self.send_response(200)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _read_body(self) -> tuple[int, str, bytes]:
        digest = hashlib.sha256()
        start = b''
        size = 0
        for chunk in self._body_chunks():
            if chunk is None:
                return -1, '', b''
            if size < CHUNK_BYTES:
                start += chunk
            size += len(chunk)
            digest.update(chunk)
        return size, digest.hexdigest(), start

    def _body_chunks(self) -> Any:
        if 'chunked' in self.headers.get('Transfer-Encoding', ''):
            yield from self._chunked_body()
            return
        left = int(self.headers.get('Content-Length') or 0)
        while left:
            chunk = self.rfile.read(min(left, CHUNK_BYTES))
            if not chunk:
                yield None
                return
            left -= len(chunk)
            yield chunk

    def _chunked_body(self) -> Any:
        while True:
            line = self.rfile.readline()
            if not line:
                yield None
                return
            size = int(line, 16)
            if not size:
                self.rfile.readline()
                return
            yield self.rfile.read(size)
            self.rfile.readline()

    def _reset(self) -> None:
        self.close_connection = True
        self.connection.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            b'\x01\x00\x00\x00\x00\x00\x00\x00',
        )
        self.connection.close()


class Server(http_server.ThreadingHTTPServer):
    """Accept connections of the stand-in."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, *_: Any) -> None:
        """Say nothing of connections that the other end broke."""


def start_server(
    listen: address.Address, slots: int, work_ms: int
) -> tuple[Server, pykka.ActorRef[Any]]:
    """Start a stand-in in this process."""
    worker = Worker.start(slots, work_ms)
    handler = type('BoundHandler', (Handler,), {'worker': worker})
    server = Server((listen.host, listen.port), handler)
    threading.Thread(
        target=server.serve_forever, args=(POLL_S,), daemon=True
    ).start()
    return server, worker


def main() -> None:
    """Run stand-ins on the addresses given, each IP:PORT/SLOTS/WORK_MS."""
    stop = process.stop_event()
    running = []
    for argument in sys.argv[1:]:
        listen, slots, work_ms = argument.split('/')
        running.append(
            start_server(
                address.parse_address(listen), int(slots), int(work_ms)
            )
        )
    stop.wait()
    for server, _ in running:
        server.shutdown()
    pykka.ActorRegistry.stop_all()


if __name__ == '__main__':
    main()
