"""Stand-in for a backend server, with configurable faults."""

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
SHUTDOWN_POLL_S = 0.05


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Settings of the stand-in; the fields are keys of /-/behaviour."""

    slots: int = 3
    work_ms: int = 5
    answer_bytes: int = 0
    draining: bool = False
    starting: bool = False
    fault: str = ''
    # Share of the accepted requests that the fault applies to, 0 to 1.
    fault_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AcquireSlot:
    """Message that reserves an execution slot for a request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGranted:
    """Reply that a slot is reserved, with the behaviour to apply."""

    behaviour: Behaviour
    used_slots: int
    inject_fault: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRefused:
    """Reply that the request must not run, with the reason."""

    reason: str
    behaviour: Behaviour
    used_slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordExecution:
    """Message that records the execution of a request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlot:
    """Message that releases a reserved slot."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeBehaviour:
    """Message that changes the given fields of the behaviour."""

    changes: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class GetReceived:
    """Query for the number of received requests."""


@dataclasses.dataclass(frozen=True, slots=True)
class GetCounts:
    """Query for request counts, executions by request id, and used slots."""


class Worker(pykka.ThreadingActor):
    """Actor that owns the slots, the behaviour and the request counts."""

    def __init__(self, slots: int, work_ms: int) -> None:
        super().__init__()
        self._behaviour = Behaviour(slots=slots, work_ms=work_ms)
        self._used_slots = 0
        self._received_count = 0
        self._fault_credit = 0.0
        self._execution_counts: collections.Counter[str] = (
            collections.Counter()
        )

    def on_receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case AcquireSlot():
                return self._acquire_slot()
            case RecordExecution(request_id):
                self._execution_counts[request_id] += 1
            case ReleaseSlot():
                self._used_slots -= 1
            case ChangeBehaviour(changes):
                self._behaviour = dataclasses.replace(
                    self._behaviour, **changes
                )
            case GetReceived():
                return {'received': self._received_count}
            case GetCounts():
                return {
                    'received': self._received_count,
                    'executed': dict(self._execution_counts),
                    'used_slots': self._used_slots,
                }
        return None

    def _acquire_slot(self) -> SlotGranted | RequestRefused:
        behaviour = self._behaviour
        self._received_count += 1
        for applies, reason in (
            (behaviour.draining, 'draining'),
            (behaviour.starting, 'starting'),
            (self._used_slots >= behaviour.slots, 'shed'),
        ):
            if applies:
                return RequestRefused(reason, behaviour, self._used_slots)
        self._used_slots += 1
        return SlotGranted(
            behaviour, self._used_slots, self._decide_fault_injection()
        )

    def _decide_fault_injection(self) -> bool:
        if not self._behaviour.fault:
            return False
        self._fault_credit += self._behaviour.fault_share
        if self._fault_credit < 1:
            return False
        self._fault_credit -= 1
        return True


class Handler(http_server.BaseHTTPRequestHandler):
    """Handler of the requests on one connection."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    worker: pykka.ActorRef[Any]
    pause = threading.Event()

    def log_message(self, *_: Any) -> None:
        """Suppress the access log."""

    def _dispatch(self) -> None:
        if self.path.startswith('/-/'):
            self._serve_control()
            return
        match self.worker.ask(AcquireSlot(self._request_id)):
            case RequestRefused() as refused:
                self._send_refusal(refused)
            case SlotGranted() as granted:
                try:
                    self._execute(granted)
                finally:
                    self.worker.tell(ReleaseSlot())

    do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = do_HEAD = _dispatch

    @property
    def _request_id(self) -> str:
        return self.headers.get('Request-Id', '')

    def _serve_control(self) -> None:
        match self.path:
            case '/-/behaviour':
                self.worker.ask(
                    ChangeBehaviour(json.loads(self._read_body()[2]))
                )
                self._send_json({})
            case '/-/received':
                self._send_json(self.worker.ask(GetReceived()))
            case '/-/counts':
                self._send_json(self.worker.ask(GetCounts()))
            case _:
                # The health endpoint reports a healthy server even while it
                # is faulty, draining or starting.
                self._send_json({'state': 'serving'})

    def _send_refusal(self, refused: RequestRefused) -> None:
        self.close_connection = True
        self.send_response(503)
        self.send_header('Backend-Refusal', refused.reason)
        self._send_load_headers(refused.used_slots, refused.behaviour)
        self.send_header('Content-Length', '0')
        self.send_header('Connection', 'close')
        self.end_headers()

    def _execute(self, granted: SlotGranted) -> None:
        behaviour = granted.behaviour
        fault = behaviour.fault if granted.inject_fault else ''
        if fault == 'reset_before_run':
            self._reset_connection()
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
        self.worker.ask(RecordExecution(self._request_id))
        body = self._response_body(behaviour, size, digest)
        self._respond(fault, body, granted)

    def _response_body(
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

    def _respond(self, fault: str, body: bytes, granted: SlotGranted) -> None:
        match fault:
            case 'reset_after_run':
                self._reset_connection()
            case 'silent':
                self.pause.wait(30)
                self.close_connection = True
            case 'error':
                self._send_response(500, b'{}', granted)
            case 'half':
                self._send_response(
                    200, body, granted, bytes_to_send=len(body) // 2
                )
                self.close_connection = True
            case 'half_chunked':
                self._send_chunked(body, granted, complete=False)
            case 'doubled':
                self._send_response(200, body, granted, extra_bytes=body)
            case 'wrong_length':
                self._send_response(
                    200, body, granted, content_length=len(body) + 7
                )
                self.close_connection = True
            case 'no_length':
                self._send_until_close(body, granted)
            case 'crossed':
                self._send_response(200, body, granted, request_id='other')
            case 'chunked':
                self._send_chunked(body, granted, complete=True)
            case _:
                self._send_response(200, body, granted)

    def _send_response(
        self,
        status: int,
        body: bytes,
        granted: SlotGranted,
        bytes_to_send: int | None = None,
        content_length: int | None = None,
        extra_bytes: bytes = b'',
        request_id: str | None = None,
    ) -> None:
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Request-Id', request_id or self._request_id)
        self.send_header('Content-Length', str(content_length or len(body)))
        self._send_load_headers(granted.used_slots, granted.behaviour)
        self.end_headers()
        if self.command != 'HEAD':
            self.wfile.write(body[:bytes_to_send] + extra_bytes)

    def _send_chunked(
        self, body: bytes, granted: SlotGranted, complete: bool
    ) -> None:
        self.send_response(200)
        self.send_header('Transfer-Encoding', 'chunked')
        self._send_load_headers(granted.used_slots, granted.behaviour)
        self.end_headers()
        for offset in range(0, len(body), CHUNK_BYTES):
            chunk = body[offset : offset + CHUNK_BYTES]
            self.wfile.write(f'{len(chunk):x}\r\n'.encode())
            self.wfile.write(chunk + b'\r\n')
        if complete:
            self.wfile.write(b'0\r\n\r\n')
        else:
            self.close_connection = True

    def _send_until_close(self, body: bytes, granted: SlotGranted) -> None:
        self.close_connection = True
        self.send_response(200)
        self.send_header('Connection', 'close')
        self.end_headers()
        self.wfile.write(body)

    def _send_load_headers(
        self, used_slots: int, behaviour: Behaviour
    ) -> None:
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
        first_bytes = b''
        size = 0
        for chunk in self._read_body_chunks():
            if chunk is None:
                return -1, '', b''
            if size < CHUNK_BYTES:
                first_bytes += chunk
            size += len(chunk)
            digest.update(chunk)
        return size, digest.hexdigest(), first_bytes

    def _read_body_chunks(self) -> Any:
        if 'chunked' in self.headers.get('Transfer-Encoding', ''):
            yield from self._decode_chunked_body()
            return
        remaining_bytes = int(self.headers.get('Content-Length') or 0)
        while remaining_bytes:
            chunk = self.rfile.read(min(remaining_bytes, CHUNK_BYTES))
            if not chunk:
                yield None
                return
            remaining_bytes -= len(chunk)
            yield chunk

    def _decode_chunked_body(self) -> Any:
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

    def _reset_connection(self) -> None:
        self.close_connection = True
        self.connection.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            b'\x01\x00\x00\x00\x00\x00\x00\x00',
        )
        self.connection.close()


class Server(http_server.ThreadingHTTPServer):
    """HTTP server of one stand-in."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, *_: Any) -> None:
        """Suppress errors of connections that the client closed."""


def start_server(
    listen: address.Address, slots: int, work_ms: int
) -> tuple[Server, pykka.ActorRef[Any]]:
    """Start a stand-in in this process; return its server and its actor."""
    worker = Worker.start(slots, work_ms)
    handler = type('BoundHandler', (Handler,), {'worker': worker})
    server = Server((listen.host, listen.port), handler)
    threading.Thread(
        target=server.serve_forever, args=(SHUTDOWN_POLL_S,), daemon=True
    ).start()
    return server, worker


def main() -> None:
    """Run a stand-in for each argument, each IP:PORT/SLOTS/WORK_MS."""
    stop = process.stop_event()
    servers = []
    for argument in sys.argv[1:]:
        listen, slots, work_ms = argument.split('/')
        servers.append(
            start_server(
                address.parse_address(listen), int(slots), int(work_ms)
            )
        )
    stop.wait()
    for server, _ in servers:
        server.shutdown()
    pykka.ActorRegistry.stop_all()


if __name__ == '__main__':
    main()
