"""Time until changes and drains take effect on every gateway."""

import json
import threading
import time
from typing import Any

from bench import load
from bench import subjects
from devel import fleet

HOST_COUNT = 6
CHANGE_COUNT = 5
RATE_PER_S = 120.0
DRAIN_DURATION_S = 12.0
WARM_UP_S = 2.0
POLL_INTERVAL_S = 0.05
SEED = 20261204
DRAINED_SERVERS = ('lager-4', 'lager-5')


def measure() -> dict[str, Any]:
    """Measure changes, and drains with the store up and with it down."""
    document = fleet.with_free_addresses(
        fleet.load_document('examples/hrisey.jsonc')
    )
    options = fleet.FleetOptions(
        production_hosts=HOST_COUNT,
        gossip_interval_ms=1_000,
        peer_timeout_ms=5_000,
    )
    with subjects.start_fleet(document, options) as running_fleet:
        return {
            'change_in_force_s': [
                _measure_change(running_fleet, number)
                for number in range(CHANGE_COUNT)
            ],
            'last_work_after_drain_s': {
                'store up': _measure_drain(
                    running_fleet, DRAINED_SERVERS[0], outage=False
                ),
                'store down': _measure_drain(
                    running_fleet, DRAINED_SERVERS[1], outage=True
                ),
            },
        }


def _measure_change(running_fleet: fleet.Fleet, number: int) -> float:
    """Return the seconds from acceptance until every gateway has a change."""
    changed = json.loads(json.dumps(running_fleet.document))
    changed['work_kinds'][0]['deadline_ms'] = 1_000 + number
    running_fleet.run_command('try', running_fleet.write_document(changed))
    accepted = running_fleet.run_command('promote', '--no-wait').stdout
    accepted_s = time.monotonic()
    version = int(accepted.split()[-1])
    running_fleet.wait_until(
        lambda: _read_gateway_versions(running_fleet) == {version},
        'the change',
    )
    return round(time.monotonic() - accepted_s, 2)


def _read_gateway_versions(running_fleet: fleet.Fleet) -> set[int]:
    return {
        gateway['version']
        for host in subjects.read_status(running_fleet)['hosts']
        for gateway in host['gateways']
    }


def _measure_drain(
    running_fleet: fleet.Fleet, server: str, outage: bool
) -> float:
    """Return the seconds from a drain until the server's last request."""
    running_fleet.control_platform('faults', {'outage': outage})
    addresses = [
        host.short_gateway for host in running_fleet.hosts_of('production')
    ]
    requests = [
        load.ScheduledRequest(
            due_s,
            addresses[index % len(addresses)],
            'GET',
            '/stock/1',
            None,
            't',
        )
        for index, due_s in enumerate(
            load.poisson_arrivals(
                lambda _: RATE_PER_S, WARM_UP_S + DRAIN_DURATION_S, SEED
            )
        )
    ]
    sender = threading.Thread(target=load.run, args=(requests, 16))
    sender.start()
    time.sleep(WARM_UP_S)
    running_fleet.change_backend_behaviour(server, draining=True)
    drained_s = time.monotonic()
    last_request_s, received_count = (
        0.0,
        _read_received_count(running_fleet, server),
    )
    while sender.is_alive():
        time.sleep(POLL_INTERVAL_S)
        new_count = _read_received_count(running_fleet, server)
        if new_count != received_count:
            last_request_s, received_count = (
                time.monotonic() - drained_s,
                new_count,
            )
    running_fleet.change_backend_behaviour(server, draining=False)
    running_fleet.control_platform('faults', {'outage': False})
    return round(last_request_s, 2)


def _read_received_count(running_fleet: fleet.Fleet, server: str) -> int:
    address = running_fleet.backend_address(server)
    response = running_fleet.http.request(
        'GET', f'http://{address}/-/received'
    )
    return response.json()['received']


def main() -> None:
    """Print the results as JSON."""
    print(json.dumps(measure(), indent=2))


if __name__ == '__main__':
    main()
