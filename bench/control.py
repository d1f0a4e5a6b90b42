"""What agents cost as hosts, backend servers and services grow."""

import dataclasses
import json
import time
from typing import Any

from bench import subjects
from devel import fleet

SETTLE_S = 8.0
WINDOW_S = 10.0
BASE_HOSTS = 4
BASE_SERVERS = 38
BASE_SERVICES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Name one size to be measured."""

    hosts: int
    servers: int
    services: int


SIZES = (
    Size(BASE_HOSTS, BASE_SERVERS, BASE_SERVICES),
    Size(12, BASE_SERVERS, BASE_SERVICES),
    Size(24, BASE_SERVERS, BASE_SERVICES),
    Size(BASE_HOSTS, 380, BASE_SERVICES),
    Size(BASE_HOSTS, 1520, BASE_SERVICES),
    Size(BASE_HOSTS, 380, 12),
    Size(BASE_HOSTS, 380, 36),
)


def measure() -> list[dict[str, Any]]:
    """Measure one agent's share at each size."""
    return [_measure_size(size) for size in SIZES]


def _measure_size(size: Size) -> dict[str, Any]:
    document = _document(size)
    options = fleet.FleetOptions(
        production_hosts=size.hosts,
        gossip_interval_ms=1_000,
        peer_timeout_ms=5_000,
    )
    with fleet.Fleet(document, options) as running:
        running.start_module(
            'platform', 'devel.store_standin', [running.platform_address]
        )
        running.wait_until(
            lambda: fleet.is_listening(running.platform_address),
            'the platform',
        )
        for host in running.hosts:
            running.start_agent(host)
        running.start_admin()
        running.wait_until(running.admin_is_ready, 'the admin API')
        running.apply_document(document)
        time.sleep(SETTLE_S)
        return _measure_window(running, size)


def _measure_window(running: fleet.Fleet, size: Size) -> dict[str, Any]:
    pids = [
        running.processes[f'agent-{host.name}'].pid
        for host in running.hosts_of('production')
    ]
    before, counters_before = subjects.usage(pids), _counters(running)
    calls_before = _store_calls(running)
    time.sleep(WINDOW_S)
    after, counters_after = subjects.usage(pids), _counters(running)
    calls = _store_calls(running) - calls_before

    def per_second(name: str) -> float:
        grown = counters_after.get(name, 0) - counters_before.get(name, 0)
        return round(grown / WINDOW_S, 1)

    return {
        **dataclasses.asdict(size),
        'cpu_percent_of_core': round(
            (after.cpu_s - before.cpu_s) / WINDOW_S / len(pids) * 100, 2
        ),
        'memory_mib': round(after.memory_kib / 1024 / len(pids), 1),
        'sent_bytes_per_s': per_second('sent_bytes'),
        'received_bytes_per_s': per_second('received_bytes'),
        'sent_messages_per_s': per_second('sent_messages'),
        'fleet_store_calls_per_s': round(calls / WINDOW_S, 1),
    }


def _counters(running: fleet.Fleet) -> dict[str, int]:
    return subjects.read_status(running)['counters']


def _store_calls(running: fleet.Fleet) -> int:
    answer = running.http.request(
        'GET', f'http://{running.platform_address}/control/counts'
    )
    return sum(answer.json().values())


def _document(size: Size) -> dict[str, Any]:
    names = [f'service-{number}' for number in range(size.services)]
    return {
        'name': 'grown',
        'region': 'nordur',
        'data_centres': ['nordur-a', 'nordur-b', 'nordur-c'],
        'services': [{'name': name, 'floor_slots': 1} for name in names],
        'backend_servers': [
            {
                'name': f'server-{number}',
                'service': names[number % size.services],
                'data_centre': f'nordur-{"abc"[number % 3]}',
                'address': f'127.1.{number // 250}.{number % 250 + 1}:9000',
                'slots': 3,
                'max_connections': 400,
            }
            for number in range(size.servers)
        ],
        'work_kinds': [
            {
                'name': f'kind-{name}',
                'service': name,
                'methods': ['GET'],
                'path_prefix': f'/{name}',
                'idempotent': True,
                'work_class': 'short',
                'deadline_ms': 1_000,
            }
            for name in names
        ],
    }


def main() -> None:
    """Print the measurement."""
    for row in measure():
        print(json.dumps(row))


if __name__ == '__main__':
    main()
