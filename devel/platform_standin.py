"""Small stand-in for the platform's key-value service and host list."""

import collections
import dataclasses
import json
import sys
import threading
from typing import Any

from cheroot import wsgi
import pykka

from cardamomdeal.internal import address
from cardamomdeal.internal import http_json
from cardamomdeal.internal import process
from cardamomdeal.internal import serving

THREADS = 64
MAX_VALUE_BYTES = 1024**2
ANSWER_LOST_WAIT_S = 10.0


@dataclasses.dataclass(slots=True)
class Faults:
    """Say how the stand-in misbehaves."""

    outage: bool = False
    slow_ms: int = 0
    # The write takes effect, the caller never hears of it.
    lose_write_answers: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Get:
    """Read a key."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write a key if its revision is the expected one."""

    key: str
    value: str
    expected_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Watch:
    """Set `reply` once the key is newer than a revision."""

    key: str
    after_revision: int
    reply: pykka.Future[Any]


@dataclasses.dataclass(frozen=True, slots=True)
class SetHosts:
    """Replace the host list."""

    hosts: list[dict[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class GetHosts:
    """Read the host list."""


@dataclasses.dataclass(frozen=True, slots=True)
class SetFaults:
    """Change how the stand-in misbehaves."""

    changed: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class GetFaults:
    """Ask how to misbehave on the next call of a kind."""

    kind: str
    write: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GetCounts:
    """Ask how many calls of each kind came."""


class Store(pykka.ThreadingActor):
    """Own the keys, the watches, the host list and the faults."""

    def __init__(self) -> None:
        super().__init__()
        self._keys: dict[str, dict[str, Any]] = {}
        self._watches: dict[str, list[Watch]] = {}
        self._hosts: list[dict[str, str]] = []
        self._faults = Faults()
        self._counts: collections.Counter[str] = collections.Counter()
        self._revision = 0

    def on_receive(self, message: Any) -> Any:
        """Handle one message."""
        match message:
            case Get(key):
                return self._keys.get(key)
            case Put():
                return self._put(message)
            case Watch():
                return self._watch(message)
            case SetHosts(hosts):
                self._hosts = hosts
            case GetHosts():
                return self._hosts
            case SetFaults(changed):
                self._faults = dataclasses.replace(self._faults, **changed)
            case GetFaults(kind, write):
                return self._next_faults(kind, write)
            case GetCounts():
                return dict(self._counts)
        return None

    def _put(self, put: Put) -> dict[str, Any] | None:
        known = self._keys.get(put.key, {'revision': 0})
        if known['revision'] != put.expected_revision:
            return None
        self._revision += 1
        state = {'value': put.value, 'revision': self._revision}
        self._keys[put.key] = state
        for watch in self._watches.pop(put.key, []):
            watch.reply.set(state)
        return state

    def _watch(self, watch: Watch) -> None:
        known = self._keys.get(watch.key)
        if known and known['revision'] > watch.after_revision:
            watch.reply.set(known)
            return
        self._watches.setdefault(watch.key, []).append(watch)

    def _next_faults(self, kind: str, write: bool) -> Faults:
        self._counts[kind] += 1
        faults = dataclasses.replace(self._faults)
        if write and self._faults.lose_write_answers:
            self._faults.lose_write_answers -= 1
        return faults


class Application:
    """Serve the platform's interface over HTTP."""

    def __init__(self, store: pykka.ActorRef[Any]) -> None:
        self._store = store
        self._pause = threading.Event()

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: http_json.StartResponse,
    ) -> list[bytes]:
        """Serve one request."""
        request = http_json.read(environ)
        reply = self._control(request) or self._faulty(request)
        return http_json.send(reply, start_response)

    def _control(
        self, request: http_json.JsonRequest
    ) -> http_json.JsonReply | None:
        match (request.method, request.path):
            case ('POST', '/control/faults'):
                self._store.ask(SetFaults(json.loads(request.body)))
                return http_json.JsonReply(200, {})
            case ('POST', '/control/hosts'):
                self._store.ask(SetHosts(json.loads(request.body)))
                return http_json.JsonReply(200, {})
            case ('GET', '/control/counts'):
                return http_json.JsonReply(200, self._store.ask(GetCounts()))
        return None

    def _faulty(self, request: http_json.JsonRequest) -> http_json.JsonReply:
        write = request.method == 'PUT'
        kind = 'write' if write else request.path.split('/')[1]
        faults: Faults = self._store.ask(GetFaults(kind, write))
        if faults.outage:
            return http_json.JsonReply(503, {'error': 'outage'})
        self._pause.wait(faults.slow_ms / 1000)
        reply = self._serve(request)
        if write and faults.lose_write_answers:
            self._pause.wait(ANSWER_LOST_WAIT_S)
            return http_json.JsonReply(503, {'error': 'answer lost'})
        return reply

    def _serve(self, request: http_json.JsonRequest) -> http_json.JsonReply:
        _, area, key = (request.path + '/').split('/', 2)
        key = key.rstrip('/')
        match (request.method, area):
            case ('GET', 'kv'):
                return _found(self._store.ask(Get(key)))
            case ('PUT', 'kv'):
                return self._put(key, json.loads(request.body))
            case ('GET', 'watch'):
                return self._watch(key, request.query)
            case ('GET', 'hosts'):
                return http_json.JsonReply(
                    200, {'hosts': self._store.ask(GetHosts())}
                )
        return http_json.JsonReply(404, {'error': 'no such path'})

    def _put(self, key: str, body: dict[str, Any]) -> http_json.JsonReply:
        if len(body['value'].encode()) > MAX_VALUE_BYTES:
            return http_json.JsonReply(413, {'error': 'value too large'})
        state = self._store.ask(
            Put(key, body['value'], body['expected_revision'])
        )
        if state is None:
            return http_json.JsonReply(409, {'error': 'revision conflict'})
        return http_json.JsonReply(200, state)

    def _watch(self, key: str, query: dict[str, str]) -> http_json.JsonReply:
        reply = pykka.ThreadingFuture()
        self._store.tell(Watch(key, int(query['after_revision']), reply))
        try:
            state = reply.get(timeout=int(query['wait_ms']) / 1000)
        except pykka.Timeout:
            return http_json.JsonReply(204, None)
        return http_json.JsonReply(200, state)


def _found(state: dict[str, Any] | None) -> http_json.JsonReply:
    if state is None:
        return http_json.JsonReply(404, {'error': 'no such key'})
    return http_json.JsonReply(200, state)


def start_server(listen: address.Address) -> serving.ServerTask:
    """Start the stand-in in this process."""
    server = wsgi.Server(
        (listen.host, listen.port),
        Application(Store.start()),
        numthreads=THREADS,
        max=THREADS,
    )
    task = serving.ServerTask(server)
    task.start()
    return task


def main() -> None:
    """Run the stand-in on the address given."""
    stop = process.stop_event()
    task = start_server(address.parse_address(sys.argv[1]))
    stop.wait()
    task.finish()
    pykka.ActorRegistry.stop_all()


if __name__ == '__main__':
    main()
