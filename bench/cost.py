"""What a proxy adds to a request, and how much it carries."""

import json
import time
from typing import Any

from bench import load
from bench import subjects
from devel import fleet

RATE_PER_S = 180.0
DURATION_S = 15.0
CEILING_RATES_PER_S = (250.0, 350.0, 450.0)
CEILING_DURATION_S = 6.0
SERVED_SHARE = 0.99
SEED = 20261204


def measure() -> dict[str, Any]:
    """Measure added latency at the target's rate, and the ceiling."""
    document = fleet.on_free_ports(
        fleet.load_document('examples/hrisey.jsonc')
    )
    options = fleet.FleetOptions(production_hosts=1, work_ms=5)
    with subjects.start_fleet(document, options) as running:
        (naive,) = subjects.start_naive(running, 1)
        gateway = running.hosts_of('production')[0].short_gateway
        direct = [
            server['address']
            for server in document['backend_servers']
            if server['service'] == 'lager'
        ]
        gateway_name = f'gateway-short-{running.hosts[0].name}'
        rows = {
            'no proxy': _row(running, direct, None),
            'naive': _row(running, [naive], 'naive-0'),
            'gateway': _row(running, [gateway], gateway_name),
        }
        for name, address in (('naive', naive), ('gateway', gateway)):
            rows[name]['ceiling_per_s'] = _ceiling(address)
            for key in ('p50_ms', 'p99_ms'):
                rows[name][f'added_{key}'] = round(
                    rows[name][key] - rows['no proxy'][key], 2
                )
    return rows


def _row(
    running: fleet.Fleet, addresses: list[str], process: str | None
) -> dict[str, Any]:
    pids = [running.processes[process].pid] if process else []
    before = subjects.usage(pids)
    outcomes = load.run(_calls(addresses, RATE_PER_S, DURATION_S))
    after = subjects.usage(pids)
    latencies = [outcome.latency_ms for outcome in outcomes]
    return {
        'requests': len(outcomes),
        'failed': sum(outcome.status != 200 for outcome in outcomes),
        'p50_ms': round(load.percentile(latencies, 0.5), 2),
        'p99_ms': round(load.percentile(latencies, 0.99), 2),
        'cpu_ms_per_request': round(
            (after.cpu_s - before.cpu_s) * 1000 / len(outcomes), 2
        ),
        'memory_mib': after.memory_kib // 1024,
    }


def _ceiling(address: str) -> float:
    """Return the highest rate tried that is served to 99 in 100."""
    best = 0.0
    for rate in CEILING_RATES_PER_S:
        started_s = time.monotonic()
        outcomes = load.run(_calls([address], rate, CEILING_DURATION_S))
        took_s = time.monotonic() - started_s
        served = sum(outcome.status == 200 for outcome in outcomes)
        late = took_s > CEILING_DURATION_S * 1.2
        if late or served < SERVED_SHARE * len(outcomes):
            break
        best = rate
    return best


def _calls(
    addresses: list[str], rate: float, duration_s: float
) -> list[load.Call]:
    return [
        load.Call(
            due_s, addresses[n % len(addresses)], 'GET', '/stock/1', None, 't'
        )
        for n, due_s in enumerate(
            load.arrivals(lambda _: rate, duration_s, SEED)
        )
    ]


def main() -> None:
    """Print the measurement."""
    print(json.dumps(measure(), indent=2))


if __name__ == '__main__':
    main()
