"""Latency and CPU time that a proxy adds, and the highest rate it serves."""

import dataclasses
import json
import time
from typing import Any

from bench import load
from bench import subjects
from devel import fleet

RATE_PER_S = 180.0
BLOCK_COUNT = 4
BLOCK_DURATION_S = 4.0
TRIED_RATES_PER_S = (250.0, 350.0, 450.0)
TRY_DURATION_S = 6.0
MIN_SERVED_SHARE = 0.99
THREADS = 16
SEED = 20261204


@dataclasses.dataclass(slots=True)
class Subject:
    """Addresses and processes under measurement, and the results so far."""

    addresses: list[str]
    processes: list[str]
    outcomes: list[load.Outcome] = dataclasses.field(default_factory=list)
    cpu_s: float = 0.0


def measure() -> dict[str, Any]:
    """Measure the added latency at RATE_PER_S, and the maximum rates."""
    document = fleet.with_free_addresses(
        fleet.load_document('examples/hrisey.jsonc')
    )
    options = fleet.FleetOptions(production_hosts=2, work_ms=5)
    with subjects.start_fleet(document, options) as running_fleet:
        measured = _start_subjects(running_fleet)
        # The subjects are measured alternately in short blocks, because the
        # speed of the machine varies from minute to minute.
        for block in range(BLOCK_COUNT):
            for subject in measured.values():
                _run_block(running_fleet, subject, block)
        rows = {
            name: _summarize(running_fleet, subject)
            for name, subject in measured.items()
        }
        for name in ('naive', 'gateway'):
            address = measured[name].addresses[0]
            rows[name]['ceiling_per_s'] = _find_max_rate(address)
    for row in rows.values():
        for key in ('p50_ms', 'p99_ms'):
            added = row[key] - rows['no proxy'][key]
            row[f'added_{key}'] = round(added, 2)
    return rows


def _start_subjects(running_fleet: fleet.Fleet) -> dict[str, Subject]:
    naive_proxies = subjects.start_naive_proxies(running_fleet, 1)
    hosts = running_fleet.hosts_of('production')
    gateways = [host.short_gateway for host in hosts]
    gateway_processes = [f'gateway-short-{host.name}' for host in hosts]
    server_addresses = [
        server['address']
        for server in running_fleet.document['backend_servers']
        if server['service'] == 'lager'
    ]
    return {
        'no proxy': Subject(server_addresses, []),
        'naive': Subject(naive_proxies, ['naive-0']),
        'gateway': Subject(gateways[:1], gateway_processes[:1]),
        'two gateways': Subject(gateways, gateway_processes),
    }


def _run_block(
    running_fleet: fleet.Fleet, subject: Subject, block: int
) -> None:
    pids = [running_fleet.processes[name].pid for name in subject.processes]
    usage_before = subjects.read_usage(pids)
    subject.outcomes += load.run(
        _schedule_requests(
            subject.addresses, RATE_PER_S, BLOCK_DURATION_S, SEED + block
        ),
        THREADS,
    )
    subject.cpu_s += subjects.read_usage(pids).cpu_s - usage_before.cpu_s


def _summarize(running_fleet: fleet.Fleet, subject: Subject) -> dict[str, Any]:
    latencies = [outcome.latency_ms for outcome in subject.outcomes]
    pids = [running_fleet.processes[name].pid for name in subject.processes]
    return {
        'requests': len(latencies),
        'failed': sum(outcome.status != 200 for outcome in subject.outcomes),
        'p50_ms': round(load.percentile(latencies, 0.5), 2),
        'p99_ms': round(load.percentile(latencies, 0.99), 2),
        'cpu_ms_per_request': round(subject.cpu_s * 1000 / len(latencies), 2),
        'memory_mib': subjects.read_usage(pids).memory_kib // 1024,
    }


def _find_max_rate(address: str) -> float:
    """Return the highest rate tried with 99 % served and no backlog."""
    max_rate_per_s = 0.0
    for rate_per_s in TRIED_RATES_PER_S:
        started_s = time.monotonic()
        outcomes = load.run(
            _schedule_requests([address], rate_per_s, TRY_DURATION_S, SEED)
        )
        elapsed_s = time.monotonic() - started_s
        served = sum(outcome.status == 200 for outcome in outcomes)
        has_backlog = elapsed_s > TRY_DURATION_S * 1.2
        if has_backlog or served < MIN_SERVED_SHARE * len(outcomes):
            break
        max_rate_per_s = rate_per_s
    return max_rate_per_s


def _schedule_requests(
    addresses: list[str], rate_per_s: float, duration_s: float, seed: int
) -> list[load.ScheduledRequest]:
    return [
        load.ScheduledRequest(
            due_s,
            addresses[index % len(addresses)],
            'GET',
            '/stock/1',
            None,
            't',
        )
        for index, due_s in enumerate(
            load.poisson_arrivals(lambda _: rate_per_s, duration_s, seed)
        )
    ]


def main() -> None:
    """Print the results as JSON."""
    print(json.dumps(measure(), indent=2))


if __name__ == '__main__':
    main()
