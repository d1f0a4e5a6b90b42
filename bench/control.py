"""Resource use of agents as hosts, backend servers and services increase."""

import dataclasses
import json
import time
from typing import Any

from bench import subjects
from devel import fleet

WARM_UP_S = 8.0
MEASUREMENT_S = 10.0
BASE_HOSTS = 4
BASE_SERVERS = 38
BASE_SERVICES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Number of hosts, backend servers and services of a measured fleet."""

    hosts: int
    servers: int
    services: int


SIZES = (
    FleetSize(BASE_HOSTS, BASE_SERVERS, BASE_SERVICES),
    FleetSize(12, BASE_SERVERS, BASE_SERVICES),
    FleetSize(24, BASE_SERVERS, BASE_SERVICES),
    FleetSize(BASE_HOSTS, 380, BASE_SERVICES),
    FleetSize(BASE_HOSTS, 1520, BASE_SERVICES),
    FleetSize(BASE_HOSTS, 380, 12),
    FleetSize(BASE_HOSTS, 380, 36),
)


def measure() -> list[dict[str, Any]]:
    """Measure the mean resource use of an agent at each fleet size."""
    return [_measure_size(size) for size in SIZES]


def _measure_size(size: FleetSize) -> dict[str, Any]:
    document = _build_document(size)
    options = fleet.FleetOptions(
        production_hosts=size.hosts,
        gossip_interval_ms=1_000,
        peer_timeout_ms=5_000,
    )
    with fleet.Fleet(document, options) as running_fleet:
        running_fleet.start_module(
            'platform', 'devel.store_standin', [running_fleet.platform_address]
        )
        running_fleet.wait_until(
            lambda: fleet.is_listening(running_fleet.platform_address),
            'the platform',
        )
        for host in running_fleet.hosts:
            running_fleet.start_agent(host)
        running_fleet.start_admin()
        running_fleet.wait_until(running_fleet.admin_is_ready, 'the admin API')
        running_fleet.apply_document(document)
        time.sleep(WARM_UP_S)
        return _measure_resource_use(running_fleet, size)


def _measure_resource_use(
    running_fleet: fleet.Fleet, size: FleetSize
) -> dict[str, Any]:
    pids = [
        running_fleet.processes[f'agent-{host.name}'].pid
        for host in running_fleet.hosts_of('production')
    ]
    usage_before, counters_before = (
        subjects.read_usage(pids),
        _read_counters(running_fleet),
    )
    calls_before = _read_store_call_count(running_fleet)
    time.sleep(MEASUREMENT_S)
    usage_after, counters_after = (
        subjects.read_usage(pids),
        _read_counters(running_fleet),
    )
    calls = _read_store_call_count(running_fleet) - calls_before

    def per_second(name: str) -> float:
        increase = counters_after.get(name, 0) - counters_before.get(name, 0)
        return round(increase / MEASUREMENT_S, 1)

    return {
        **dataclasses.asdict(size),
        'cpu_percent_of_core': round(
            (usage_after.cpu_s - usage_before.cpu_s)
            / MEASUREMENT_S
            / len(pids)
            * 100,
            2,
        ),
        'memory_mib': round(usage_after.memory_kib / 1024 / len(pids), 1),
        'sent_bytes_per_s': per_second('sent_bytes'),
        'received_bytes_per_s': per_second('received_bytes'),
        'sent_messages_per_s': per_second('sent_messages'),
        'fleet_store_calls_per_s': round(calls / MEASUREMENT_S, 1),
    }


def _read_counters(running_fleet: fleet.Fleet) -> dict[str, int]:
    return subjects.read_status(running_fleet)['counters']


def _read_store_call_count(running_fleet: fleet.Fleet) -> int:
    response = running_fleet.http.request(
        'GET', f'http://{running_fleet.platform_address}/control/counts'
    )
    return sum(response.json().values())


def _build_document(size: FleetSize) -> dict[str, Any]:
    service_names = [f'service-{number}' for number in range(size.services)]
    return {
        'name': 'grown',
        'region': 'nordur',
        'data_centres': ['nordur-a', 'nordur-b', 'nordur-c'],
        'services': [
            {'name': name, 'floor_slots': 1} for name in service_names
        ],
        'backend_servers': [
            {
                'name': f'server-{number}',
                'service': service_names[number % size.services],
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
            for name in service_names
        ],
    }


def main() -> None:
    """Print one line of JSON for each fleet size."""
    for row in measure():
        print(json.dumps(row))


if __name__ == '__main__':
    main()
