"""Stand-in for the platform's store, with the ways it misbehaves."""

import base64
import collections
from collections.abc import Callable
import dataclasses
import enum
import json
import socket
import sys
import threading
import time
from typing import Any

from cheroot import wsgi

from cardamomdeal.internal import address
from cardamomdeal.internal import http_json
from cardamomdeal.internal import process
from cardamomdeal.platform import key_value

THREADS = 64
MAX_VALUE_BYTES = 1024**2
CONTROL_PATH = '/control/'
ENVIRON_SOCKET = 'standin.socket'
STATUSES = {404: 'not found', 410: 'history gone', 412: 'changed'}


class Trouble(enum.Enum):
    """Say how the store misbehaves."""

    NONE = 'none'
    BUSY = 'busy'
    TOO_MANY = 'too many'
    # Calls are carried out and their answers lost.
    ANSWERS_LOST = 'answers lost'


@dataclasses.dataclass(frozen=True, slots=True)
class _Value:
    data: str
    revision: int
    lease: int


class _Gateway(wsgi.Gateway_10):
    """Hand the caller's socket to the application."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[ENVIRON_SOCKET] = self.req.conn.socket
        return environ


class StoreStandin:
    """Keep keys in memory and answer as the platform's store does."""

    def __init__(self, host: str, port: int) -> None:
        self.trouble = Trouble.NONE
        self.slow_ms = 0
        # So many writes take effect and their answers are lost.
        self.lose_write_answers = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self._changed = threading.Condition()
        self._revision = 1
        self._values: dict[str, _Value] = {}
        self._events: list[dict[str, Any]] = []
        self._first_event_after = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._server = wsgi.Server(
            (host, port), self._application, numthreads=THREADS, max=THREADS
        )
        self._server.gateway = _Gateway
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop answering."""
        self._server.stop()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as an operator or a server would."""
        with self._changed:
            return self._put(key, base64.b64encode(value).decode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key."""
        with self._changed:
            self._remove(key)

    def present_keys(self) -> tuple[str, ...]:
        """Return the keys that are there."""
        with self._changed:
            self._expire_leases()
            return tuple(self._values)

    def drop_history(self) -> None:
        """Forget what changed so far; watches from then are refused."""
        with self._changed:
            self._events.clear()
            self._first_event_after = self._revision

    def _application(
        self, environ: dict[str, Any], start_response: Any
    ) -> list[bytes]:
        request = http_json.read_request(environ)
        if request.path.startswith(CONTROL_PATH):
            reply = self._control(request)
            return http_json.send_response(reply, start_response)
        name = request.path.removeprefix('/cardamomdeal/').partition('/')[0]
        self.calls[name] += 1
        time.sleep(self.slow_ms / 1_000)
        if name == 'kv-txn' and self.lose_write_answers:
            self.lose_write_answers -= 1
            return self._lose_answer(environ, request)
        match self.trouble:
            case Trouble.BUSY:
                reply = http_json.JsonResponse(503, {'error': 'busy'})
            case Trouble.TOO_MANY:
                reply = http_json.JsonResponse(429, {'error': 'too many'})
            case Trouble.ANSWERS_LOST:
                return self._lose_answer(environ, request)
            case Trouble.NONE:
                reply = self._serve(request)
        return http_json.send_response(reply, start_response)

    def _lose_answer(
        self, environ: dict[str, Any], request: http_json.JsonRequest
    ) -> list[bytes]:
        self._serve(request)
        # Without this, the server would answer the exception with a 500.
        environ[ENVIRON_SOCKET].shutdown(socket.SHUT_RDWR)
        raise ConnectionError('the answer is lost')

    def _control(
        self, request: http_json.JsonRequest
    ) -> http_json.JsonResponse:
        """Change how the stand-in behaves, as tests ask it to."""
        body = json.loads(request.body) if request.body else {}
        match request.path.removeprefix(CONTROL_PATH):
            case 'faults':
                if 'outage' in body:
                    outage = body['outage']
                    self.trouble = Trouble.BUSY if outage else Trouble.NONE
                self.slow_ms = body.get('slow_ms', self.slow_ms)
                self.lose_write_answers = body.get('lose_write_answers', 0)
            case 'hosts':
                self._list_hosts(body)
            case 'counts':
                return http_json.JsonResponse(200, dict(self.calls))
        return http_json.JsonResponse(200, {})

    def _list_hosts(self, hosts: list[dict[str, str]]) -> None:
        for key in self.present_keys():
            if key.startswith(key_value.LISTED_HOSTS_PREFIX):
                self.remove(key)
        for host in hosts:
            key = key_value.LISTED_HOSTS_PREFIX + host['name']
            self.put(key, json.dumps(host).encode())

    def _serve(self, request: http_json.JsonRequest) -> http_json.JsonResponse:
        name, _, argument = request.path.removeprefix(
            '/cardamomdeal/'
        ).partition('/')
        body = json.loads(request.body) if request.body else {}
        calls: dict[str, Callable[[], tuple[int, dict[str, Any]]]] = {
            'kv-key': lambda: self._get(request.query['key']),
            'kv-range': lambda: self._range(request.query.get('prefix', '')),
            'kv-watch': lambda: self._watch(
                request.query.get('prefix', ''),
                int(request.query['after']),
                int(request.query['wait_ms']) / 1_000,
            ),
            'kv-txn': lambda: self._transact(body),
            'kv-lease': lambda: self._grant(body),
            'kv-keep': lambda: self._keep(int(argument)),
            'kv-lease-end': lambda: self._end(int(argument)),
        }
        with self._changed:
            self._expire_leases()
            status, answer = calls[name]()
        return http_json.JsonResponse(
            status, answer or {'error': STATUSES.get(status, '')}
        )

    def _get(self, key: str) -> tuple[int, dict[str, Any]]:
        value = self._values.get(key)
        if value is None:
            return 404, {}
        return 200, self._item(key, value) | {'store_revision': self._revision}

    def _range(self, prefix: str) -> tuple[int, dict[str, Any]]:
        items = [
            self._item(key, value)
            for key, value in sorted(self._values.items())
            if key.startswith(prefix)
        ]
        return 200, {
            'items': items,
            'has_more': False,
            'store_revision': self._revision,
        }

    def _watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, dict[str, Any]]:
        ends_at_s = time.monotonic() + wait_s
        while True:
            if after < self._first_event_after:
                return 410, {}
            events = [
                event
                for event in self._events
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left_s = ends_at_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self._revision,
                }
            self._changed.wait(left_s)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body.get('expected_revision', []):
            value = self._values.get(row['key'])
            if (value.revision if value else 0) != row['revision']:
                return 412, {'items': []}
        for put in body.get('puts', []):
            if len(base64.b64decode(put['value'])) > MAX_VALUE_BYTES:
                return 413, {}
            if put.get('lease') and put['lease'] not in self._leases:
                return 404, {}
            self._put(put['key'], put['value'], put.get('lease', 0))
        for key in body.get('deletes', []):
            self._remove(key)
        return 200, {'revision': self._revision}

    def _grant(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        duration_s = float(body['ttl_time'].removesuffix('ms')) / 1_000
        lease = self._revision * 1_000 + len(self._leases) + 1
        self._leases[lease] = (duration_s, time.monotonic() + duration_s)
        return 200, {'lease': lease, 'ttl_time': body['ttl_time']}

    def _keep(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self._leases:
            return 404, {}
        duration_s, _ = self._leases[lease]
        self._leases[lease] = (duration_s, time.monotonic() + duration_s)
        return 200, {'ttl_time': f'{round(duration_s * 1_000)}ms'}

    def _end(self, lease: int) -> tuple[int, dict[str, Any]]:
        if self._leases.pop(lease, None) is None:
            return 404, {}
        self._remove_keys_of(lease)
        return 200, {'lease': lease}

    def _expire_leases(self) -> None:
        now_s = time.monotonic()
        for lease, (_, ends_at_s) in list(self._leases.items()):
            if ends_at_s <= now_s:
                del self._leases[lease]
                self._remove_keys_of(lease)

    def _remove_keys_of(self, lease: int) -> None:
        for key, value in list(self._values.items()):
            if value.lease == lease:
                self._remove(key)

    def _put(self, key: str, data: str, lease: int) -> int:
        self._revision += 1
        value = _Value(data, self._revision, lease)
        self._values[key] = value
        self._events.append(self._item(key, value))
        self._changed.notify_all()
        return self._revision

    def _remove(self, key: str) -> None:
        if self._values.pop(key, None) is None:
            return
        self._revision += 1
        self._events.append(
            {'key': key, 'revision': self._revision, 'removed': True}
        )
        self._changed.notify_all()

    @staticmethod
    def _item(key: str, value: _Value) -> dict[str, Any]:
        return {
            'key': key,
            'value': value.data,
            'revision': value.revision,
            'created': value.revision,
            'lease': value.lease,
        }


def main() -> None:
    """Run the stand-in on the address given."""
    stop = process.stop_event()
    at = address.parse_address(sys.argv[1])
    standin = StoreStandin(at.host, at.port)
    stop.wait()
    standin.stop()


if __name__ == '__main__':
    main()
