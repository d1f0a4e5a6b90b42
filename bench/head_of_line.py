"""How long lookups wait behind uploads on a service that mixes both."""

import json
import threading
import time
from typing import Any

import urllib3

from bench import load
from bench import subjects
from devel import fleet

UPLOADERS = 24
UPLOAD_CHUNKS = 40
CHUNK = b'x' * 64 * 1024
CHUNK_INTERVAL_S = 0.1
RATE_PER_S = 20.0
DURATION_S = 15.0
SEED = 20261204


def measure() -> dict[str, Any]:
    """Measure lookups beside uploads, ours and the naive proxy's."""
    document = _document()
    options = fleet.FleetOptions(production_hosts=1, work_ms=5)
    with subjects.start_fleet(document, options) as running:
        (naive,) = subjects.start_naive(running, 1)
        host = running.hosts_of('production')[0]
        return {
            'fleet': _run(running, host.short_gateway, host.upload_gateway),
            'naive': _run(running, naive, naive),
        }


def _document() -> dict[str, Any]:
    document = fleet.with_free_addresses(
        fleet.load_document('examples/puden.jsonc')
    )
    mixed = [
        server
        for server in document['backend_servers']
        if server['service'] == 'vaerksted'
    ]
    # Two servers, so that uploads could fill the service.
    document['backend_servers'] = mixed[:2]
    document['services'] = [{'name': 'vaerksted', 'floor_slots': 6}]
    document['work_kinds'] = [
        kind
        for kind in document['work_kinds']
        if kind['service'] == 'vaerksted'
    ]
    return document


def _run(
    running: fleet.Fleet, lookup_address: str, upload_address: str
) -> dict[str, Any]:
    statuses: list[int] = []
    stop = threading.Event()
    uploaders = [
        threading.Thread(
            target=_upload_until,
            args=(running, upload_address, statuses, stop),
        )
        for _ in range(UPLOADERS)
    ]
    for uploader in uploaders:
        uploader.start()
    time.sleep(1.0)
    outcomes = load.run(
        [
            load.Call(due_s, lookup_address, 'GET', '/bookings/1', None, 't')
            for due_s in load.arrivals(lambda _: RATE_PER_S, DURATION_S, SEED)
        ],
        16,
    )
    stop.set()
    for uploader in uploaders:
        uploader.join()
    latencies = [o.latency_ms for o in outcomes if o.status == 200]
    return {
        'lookups': len(outcomes),
        'lookups_failed': sum(o.status != 200 for o in outcomes),
        'p50_ms': round(load.percentile(latencies, 0.5), 1),
        'p99_ms': round(load.percentile(latencies, 0.99), 1),
        'uploads_done': statuses.count(200),
        'uploads_refused': sum(status != 200 for status in statuses),
    }


def _upload_until(
    running: fleet.Fleet,
    address: str,
    statuses: list[int],
    stop: threading.Event,
) -> None:
    while not stop.is_set():
        try:
            answer = running.http.request(
                'PUT',
                f'http://{address}/files/1',
                body=_slow_chunks(),
                headers={'Content-Length': str(UPLOAD_CHUNKS * len(CHUNK))},
                timeout=60.0,
            )
            statuses.append(answer.status)
        except urllib3.exceptions.HTTPError:
            # Refused before the body was sent, the connection closed.
            statuses.append(0)
        stop.wait(0.5)


def _slow_chunks():
    for _ in range(UPLOAD_CHUNKS):
        time.sleep(CHUNK_INTERVAL_S)
        yield CHUNK


def main() -> None:
    """Print the measurement."""
    print(json.dumps(measure(), indent=2))


if __name__ == '__main__':
    main()
