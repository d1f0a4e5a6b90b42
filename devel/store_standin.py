"""Stand-in for the platform's key-value store, with configurable faults."""

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
from cardamomdeal.platform import wire

THREADS = 64
MAX_VALUE_BYTES = 1024**2
CONTROL_PATH = '/control/'
SOCKET_ENVIRON_KEY = 'standin.socket'
ERROR_TEXTS = {404: 'not found', 410: 'history gone', 412: 'changed'}


class StoreFault(enum.Enum):
    """Fault that the store injects into every call."""

    NONE = 'none'
    BUSY = 'busy'
    TOO_MANY = 'too many'
    # Calls are executed, but the connection closes before the response.
    RESPONSES_LOST = 'answers lost'


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredValue:
    data: str
    revision: int
    lease: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """Content of the store at one moment, to restore it from."""

    revision: int
    values: dict[str, _StoredValue]
    events: tuple[dict[str, Any], ...]
    leases: dict[int, tuple[float, float]]


class _SocketGateway(wsgi.Gateway_10):
    """WSGI gateway that passes the client's socket to the application."""

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        environ[SOCKET_ENVIRON_KEY] = self.req.conn.socket
        return environ


class StoreStandin:
    """In-memory key-value store with the HTTP API of the platform's store."""

    def __init__(self, host: str, port: int) -> None:
        self.fault = StoreFault.NONE
        self.slow_ms = 0
        # Number of coming writes that are executed without a response.
        self.write_responses_to_lose = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self._changed = threading.Condition()
        self._era = 1
        self._revision = 1
        self._values: dict[str, _StoredValue] = {}
        self._events: list[dict[str, Any]] = []
        self._compacted_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._server = wsgi.Server(
            (host, port), self._application, numthreads=THREADS, max=THREADS
        )
        self._server.gateway = _SocketGateway
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop the HTTP server."""
        self._server.stop()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key, as an operator or a server would."""
        with self._changed:
            return self._put(key, base64.b64encode(value).decode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key."""
        with self._changed:
            self._remove(key)

    def existing_keys(self) -> tuple[str, ...]:
        """Return the keys that exist and whose lease has not expired."""
        with self._changed:
            self._expire_leases()
            return tuple(self._values)

    def compact(self) -> None:
        """Drop past events; watches from an earlier revision then get 410."""
        with self._changed:
            self._events.clear()
            self._compacted_revision = self._revision

    def copy(self) -> StoreCopy:
        """Return a copy of the content."""
        with self._changed:
            return StoreCopy(
                self._revision,
                dict(self._values),
                tuple(self._events),
                dict(self._leases),
            )

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; revisions after it are given out again."""
        with self._changed:
            self._era += 1
            self._revision = copy.revision
            self._values = dict(copy.values)
            self._events = list(copy.events)
            self._leases = dict(copy.leases)
            self._changed.notify_all()

    def _application(
        self, environ: dict[str, Any], start_response: Any
    ) -> list[bytes]:
        request = http_json.read_request(environ)
        if request.path.startswith(CONTROL_PATH):
            reply = self._control(request)
            return http_json.send_response(reply, start_response)

        def start_with_era(status: str, headers: list[tuple[str, str]]) -> Any:
            era = (wire.STORE_ERA, str(self._era))
            return start_response(status, [*headers, era])

        name = request.path.removeprefix('/cardamomdeal/').partition('/')[0]
        self.calls[name] += 1
        time.sleep(self.slow_ms / 1_000)
        if name == 'kv-txn' and self.write_responses_to_lose:
            self.write_responses_to_lose -= 1
            return self._execute_without_response(environ, request)
        match self.fault:
            case StoreFault.BUSY:
                reply = http_json.JsonResponse(503, {'error': 'busy'})
            case StoreFault.TOO_MANY:
                reply = http_json.JsonResponse(429, {'error': 'too many'})
            case StoreFault.RESPONSES_LOST:
                return self._execute_without_response(environ, request)
            case StoreFault.NONE:
                reply = self._execute(request)
        return http_json.send_response(reply, start_with_era)

    def _execute_without_response(
        self, environ: dict[str, Any], request: http_json.JsonRequest
    ) -> list[bytes]:
        self._execute(request)
        # The server would respond to the exception with a 500 if the socket
        # were still open.
        environ[SOCKET_ENVIRON_KEY].shutdown(socket.SHUT_RDWR)
        raise ConnectionError('response dropped on purpose')

    def _control(
        self, request: http_json.JsonRequest
    ) -> http_json.JsonResponse:
        """Handle a control request for faults, hosts or counts."""
        body = json.loads(request.body) if request.body else {}
        match request.path.removeprefix(CONTROL_PATH):
            case 'faults':
                if 'outage' in body:
                    outage = body['outage']
                    self.fault = StoreFault.BUSY if outage else StoreFault.NONE
                self.slow_ms = body.get('slow_ms', self.slow_ms)
                self.write_responses_to_lose = body.get(
                    'lose_write_answers', 0
                )
            case 'hosts':
                self._replace_listed_hosts(body)
            case 'counts':
                return http_json.JsonResponse(200, dict(self.calls))
        return http_json.JsonResponse(200, {})

    def _replace_listed_hosts(self, hosts: list[dict[str, str]]) -> None:
        for key in self.existing_keys():
            if key.startswith(key_value.LISTED_HOSTS_PREFIX):
                self.remove(key)
        for host in hosts:
            key = key_value.LISTED_HOSTS_PREFIX + host['name']
            self.put(key, json.dumps(host).encode())

    def _execute(
        self, request: http_json.JsonRequest
    ) -> http_json.JsonResponse:
        name, _, argument = request.path.removeprefix(
            '/cardamomdeal/'
        ).partition('/')
        parameters = json.loads(request.body) if request.body else {}
        operations: dict[str, Callable[[], tuple[int, dict[str, Any]]]] = {
            'kv-key': lambda: self._get(request.query['key']),
            'kv-range': lambda: self._range(request.query.get('prefix', '')),
            'kv-watch': lambda: self._watch(
                request.query.get('prefix', ''),
                int(request.query['after']),
                int(request.query['wait_ms']) / 1_000,
            ),
            'kv-txn': lambda: self._transact(parameters),
            'kv-lease': lambda: self._grant_lease(parameters),
            'kv-keep': lambda: self._renew_lease(int(argument)),
            'kv-lease-end': lambda: self._revoke_lease(int(argument)),
        }
        with self._changed:
            self._expire_leases()
            status, body = operations[name]()
        return http_json.JsonResponse(
            status, body or {'error': ERROR_TEXTS.get(status, '')}
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
        deadline_s = time.monotonic() + wait_s
        while True:
            if not self._compacted_revision <= after <= self._revision:
                return 410, {}
            events = [
                event
                for event in self._events
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            remaining_s = deadline_s - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self._revision,
                }
            self._changed.wait(remaining_s)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for condition in body.get('expected_revision', []):
            value = self._values.get(condition['key'])
            if (value.revision if value else 0) != condition['revision']:
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

    def _grant_lease(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        ttl_s = float(body['ttl_time'].removesuffix('ms')) / 1_000
        lease = self._revision * 1_000 + len(self._leases) + 1
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {'lease': lease, 'ttl_time': body['ttl_time']}

    def _renew_lease(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self._leases:
            return 404, {}
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return 200, {'ttl_time': f'{round(ttl_s * 1_000)}ms'}

    def _revoke_lease(self, lease: int) -> tuple[int, dict[str, Any]]:
        if self._leases.pop(lease, None) is None:
            return 404, {}
        self._remove_leased_keys(lease)
        return 200, {'lease': lease}

    def _expire_leases(self) -> None:
        now_s = time.monotonic()
        for lease, (_, expires_at_s) in list(self._leases.items()):
            if expires_at_s <= now_s:
                del self._leases[lease]
                self._remove_leased_keys(lease)

    def _remove_leased_keys(self, lease: int) -> None:
        for key, value in list(self._values.items()):
            if value.lease == lease:
                self._remove(key)

    def _put(self, key: str, data: str, lease: int) -> int:
        self._revision += 1
        value = _StoredValue(data, self._revision, lease)
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
    def _item(key: str, value: _StoredValue) -> dict[str, Any]:
        return {
            'key': key,
            'value': value.data,
            'revision': value.revision,
            'created': value.revision,
            'lease': value.lease,
        }


def main() -> None:
    """Run the stand-in on the address given as IP:PORT."""
    stop = process.stop_event()
    listen = address.parse_address(sys.argv[1])
    standin = StoreStandin(listen.host, listen.port)
    stop.wait()
    standin.stop()


if __name__ == '__main__':
    main()
