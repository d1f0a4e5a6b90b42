"""How fast changes and drains reach every gateway."""

import json
import threading
import time
from typing import Any

from bench import load
from bench import subjects
from devel import fleet

HOSTS = 6
CHANGES = 5
RATE_PER_S = 120.0
LEAVING_S = 12.0
WARM_UP_S = 2.0
POLL_S = 0.05
SEED = 20261204
LEAVING_SERVERS = ('lager-4', 'lager-5')


def measure() -> dict[str, Any]:
    """Measure changes and drains, with the store up and down."""
    document = fleet.with_free_addresses(
        fleet.load_document('examples/hrisey.jsonc')
    )
    options = fleet.FleetOptions(
        production_hosts=HOSTS,
        gossip_interval_ms=1_000,
        peer_timeout_ms=5_000,
    )
    with subjects.start_fleet(document, options) as running:
        return {
            'change_in_force_s': [
                _change(running, number) for number in range(CHANGES)
            ],
            'last_work_after_drain_s': {
                'store up': _drain(running, LEAVING_SERVERS[0], outage=False),
                'store down': _drain(running, LEAVING_SERVERS[1], outage=True),
            },
        }


def _change(running: fleet.Fleet, number: int) -> float:
    """Return how long an accepted change takes to every gateway."""
    changed = json.loads(json.dumps(running.document))
    changed['work_kinds'][0]['deadline_ms'] = 1_000 + number
    running.run_command('try', running.write_document(changed))
    accepted = running.run_command('promote', '--no-wait').stdout
    accepted_s = time.monotonic()
    version = int(accepted.split()[-1])
    running.wait_until(lambda: _versions(running) == {version}, 'the change')
    return round(time.monotonic() - accepted_s, 2)


def _versions(running: fleet.Fleet) -> set[int]:
    return {
        gateway['version']
        for host in subjects.read_status(running)['hosts']
        for gateway in host['gateways']
    }


def _drain(running: fleet.Fleet, server: str, outage: bool) -> float:
    """Return when the last work came to a server that drains."""
    running.control_platform('faults', {'outage': outage})
    addresses = [h.short_gateway for h in running.hosts_of('production')]
    calls = [
        load.Call(
            due_s, addresses[n % len(addresses)], 'GET', '/stock/1', None, 't'
        )
        for n, due_s in enumerate(
            load.arrivals(lambda _: RATE_PER_S, WARM_UP_S + LEAVING_S, SEED)
        )
    ]
    sender = threading.Thread(target=load.run, args=(calls, 16))
    sender.start()
    time.sleep(WARM_UP_S)
    running.change_backend_behaviour(server, draining=True)
    began_s = time.monotonic()
    last_s, received = 0.0, _received(running, server)
    while sender.is_alive():
        time.sleep(POLL_S)
        now = _received(running, server)
        if now != received:
            last_s, received = time.monotonic() - began_s, now
    running.change_backend_behaviour(server, draining=False)
    running.control_platform('faults', {'outage': False})
    return round(last_s, 2)


def _received(running: fleet.Fleet, server: str) -> int:
    address = running.backend_address(server)
    answer = running.http.request('GET', f'http://{address}/-/received')
    return answer.json()['received']


def main() -> None:
    """Print the measurement."""
    print(json.dumps(measure(), indent=2))


if __name__ == '__main__':
    main()
