"""Latency of lookups while uploads run on the same service."""

import json
import threading
import time
from typing import Any

import urllib3

from bench import load
from bench import subjects
from devel import fleet

UPLOADER_COUNT = 24
CHUNKS_PER_UPLOAD = 40
CHUNK = b'x' * 64 * 1024
CHUNK_INTERVAL_S = 0.1
RATE_PER_S = 20.0
DURATION_S = 15.0
SEED = 20261204


def measure() -> dict[str, Any]:
    """Measure lookups during uploads, with gateways and the naive proxy."""
    document = _build_document()
    options = fleet.FleetOptions(production_hosts=1, work_ms=5)
    with subjects.start_fleet(document, options) as running_fleet:
        (naive_proxy,) = subjects.start_naive_proxies(running_fleet, 1)
        host = running_fleet.hosts_of('production')[0]
        return {
            'fleet': _measure_lookups(
                running_fleet, host.short_gateway, host.upload_gateway
            ),
            'naive': _measure_lookups(running_fleet, naive_proxy, naive_proxy),
        }


def _build_document() -> dict[str, Any]:
    document = fleet.with_free_addresses(
        fleet.load_document('examples/puden.jsonc')
    )
    service_servers = [
        server
        for server in document['backend_servers']
        if server['service'] == 'vaerksted'
    ]
    # Only two servers, so that the uploads can occupy all their slots.
    document['backend_servers'] = service_servers[:2]
    document['services'] = [{'name': 'vaerksted', 'floor_slots': 6}]
    document['work_kinds'] = [
        kind
        for kind in document['work_kinds']
        if kind['service'] == 'vaerksted'
    ]
    return document


def _measure_lookups(
    running_fleet: fleet.Fleet, lookup_address: str, upload_address: str
) -> dict[str, Any]:
    statuses: list[int] = []
    stop = threading.Event()
    uploaders = [
        threading.Thread(
            target=_upload_repeatedly,
            args=(running_fleet, upload_address, statuses, stop),
        )
        for _ in range(UPLOADER_COUNT)
    ]
    for uploader in uploaders:
        uploader.start()
    time.sleep(1.0)
    outcomes = load.run(
        [
            load.ScheduledRequest(
                due_s, lookup_address, 'GET', '/bookings/1', None, 't'
            )
            for due_s in load.poisson_arrivals(
                lambda _: RATE_PER_S, DURATION_S, SEED
            )
        ],
        16,
    )
    stop.set()
    for uploader in uploaders:
        uploader.join()
    latencies = [item.latency_ms for item in outcomes if item.status == 200]
    return {
        'lookups': len(outcomes),
        'lookups_failed': sum(item.status != 200 for item in outcomes),
        'p50_ms': round(load.percentile(latencies, 0.5), 1),
        'p99_ms': round(load.percentile(latencies, 0.99), 1),
        'uploads_done': statuses.count(200),
        'uploads_refused': sum(status != 200 for status in statuses),
    }


def _upload_repeatedly(
    running_fleet: fleet.Fleet,
    address: str,
    statuses: list[int],
    stop: threading.Event,
) -> None:
    while not stop.is_set():
        try:
            response = running_fleet.http.request(
                'PUT',
                f'http://{address}/files/1',
                body=_slow_chunks(),
                headers={
                    'Content-Length': str(CHUNKS_PER_UPLOAD * len(CHUNK))
                },
                timeout=60.0,
            )
            statuses.append(response.status)
        except urllib3.exceptions.HTTPError:
            # The request was rejected and the connection closed before the
            # whole body was sent.
            statuses.append(0)
        stop.wait(0.5)


def _slow_chunks():
    for _ in range(CHUNKS_PER_UPLOAD):
        time.sleep(CHUNK_INTERVAL_S)
        yield CHUNK


def main() -> None:
    """Print the results as JSON."""
    print(json.dumps(measure(), indent=2))


if __name__ == '__main__':
    main()
