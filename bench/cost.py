"""What a proxy adds to a request, and how much it carries."""

import dataclasses
import json
import time
from typing import Any

from bench import load
from bench import subjects
from devel import fleet

RATE_PER_S = 180.0
BLOCKS = 4
BLOCK_S = 4.0
CEILING_RATES_PER_S = (250.0, 350.0, 450.0)
CEILING_DURATION_S = 6.0
SERVED_SHARE = 0.99
THREADS = 16
SEED = 20261204


@dataclasses.dataclass(slots=True)
class Subject:
    """Hold what is measured and what was seen of it."""

    addresses: list[str]
    processes: list[str]
    outcomes: list[load.Outcome] = dataclasses.field(default_factory=list)
    cpu_s: float = 0.0


def measure() -> dict[str, Any]:
    """Measure added latency at the target's rate, and the ceiling."""
    document = fleet.with_free_addresses(
        fleet.load_document('examples/hrisey.jsonc')
    )
    options = fleet.FleetOptions(production_hosts=2, work_ms=5)
    with subjects.start_fleet(document, options) as running:
        chosen = _subjects(running)
        # The machine's speed changes from minute to minute, so that the
        # subjects take turns in short blocks.
        for block in range(BLOCKS):
            for subject in chosen.values():
                _run_block(running, subject, block)
        rows = {
            name: _row(running, subject) for name, subject in chosen.items()
        }
        for name in ('naive', 'gateway'):
            address = chosen[name].addresses[0]
            rows[name]['ceiling_per_s'] = _ceiling(address)
    for row in rows.values():
        for key in ('p50_ms', 'p99_ms'):
            added = row[key] - rows['no proxy'][key]
            row[f'added_{key}'] = round(added, 2)
    return rows


def _subjects(running: fleet.Fleet) -> dict[str, Subject]:
    naive = subjects.start_naive(running, 1)
    hosts = running.hosts_of('production')
    gateways = [host.short_gateway for host in hosts]
    names = [f'gateway-short-{host.name}' for host in hosts]
    direct = [
        server['address']
        for server in running.document['backend_servers']
        if server['service'] == 'lager'
    ]
    return {
        'no proxy': Subject(direct, []),
        'naive': Subject(naive, ['naive-0']),
        'gateway': Subject(gateways[:1], names[:1]),
        'two gateways': Subject(gateways, names),
    }


def _run_block(running: fleet.Fleet, subject: Subject, block: int) -> None:
    pids = [running.processes[name].pid for name in subject.processes]
    before = subjects.usage(pids)
    subject.outcomes += load.run(
        _calls(subject.addresses, RATE_PER_S, BLOCK_S, SEED + block), THREADS
    )
    subject.cpu_s += subjects.usage(pids).cpu_s - before.cpu_s


def _row(running: fleet.Fleet, subject: Subject) -> dict[str, Any]:
    latencies = [outcome.latency_ms for outcome in subject.outcomes]
    pids = [running.processes[name].pid for name in subject.processes]
    return {
        'requests': len(latencies),
        'failed': sum(item.status != 200 for item in subject.outcomes),
        'p50_ms': round(load.percentile(latencies, 0.5), 2),
        'p99_ms': round(load.percentile(latencies, 0.99), 2),
        'cpu_ms_per_request': round(subject.cpu_s * 1000 / len(latencies), 2),
        'memory_mib': subjects.usage(pids).memory_kib // 1024,
    }


def _ceiling(address: str) -> float:
    """Return the highest rate tried that is served to 99 in 100."""
    best = 0.0
    for rate in CEILING_RATES_PER_S:
        started_s = time.monotonic()
        outcomes = load.run(_calls([address], rate, CEILING_DURATION_S, SEED))
        took_s = time.monotonic() - started_s
        served = sum(outcome.status == 200 for outcome in outcomes)
        late = took_s > CEILING_DURATION_S * 1.2
        if late or served < SERVED_SHARE * len(outcomes):
            break
        best = rate
    return best


def _calls(
    addresses: list[str], rate: float, duration_s: float, seed: int
) -> list[load.Call]:
    return [
        load.Call(
            due_s, addresses[n % len(addresses)], 'GET', '/stock/1', None, 't'
        )
        for n, due_s in enumerate(
            load.arrivals(lambda _: rate, duration_s, seed)
        )
    ]


def main() -> None:
    """Print the measurement."""
    print(json.dumps(measure(), indent=2))


if __name__ == '__main__':
    main()
