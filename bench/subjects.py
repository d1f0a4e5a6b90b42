"""Starts the fleet and the naive proxies to measure, and reads their state."""

import dataclasses
import json
import os
import pathlib
from typing import Any

from devel import fleet

CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """CPU time and resident memory of a group of processes."""

    cpu_s: float
    memory_kib: int


def read_usage(pids: list[int]) -> Usage:
    """Return the total CPU time and resident memory of processes."""
    cpu_s = 0.0
    memory_kib = 0
    for pid in pids:
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        cpu_s += (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
        status = pathlib.Path(f'/proc/{pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmRSS:'):
                memory_kib += int(line.split()[1])
    return Usage(cpu_s, memory_kib)


def start_fleet(
    document: dict[str, Any], options: fleet.FleetOptions
) -> fleet.Fleet:
    """Start a fleet and wait until its directories respond."""
    running_fleet = fleet.Fleet(document, options)
    running_fleet.start()
    running_fleet.apply_document(document)
    for host in running_fleet.hosts_of('production'):
        for kind in document['work_kinds']:
            running_fleet.wait_until(
                lambda h=host, k=kind: running_fleet.directory_resolves(
                    h, k['name']
                ),
                'the directories',
            )
    return running_fleet


def start_naive_proxies(running_fleet: fleet.Fleet, count: int) -> list[str]:
    """Start naive proxies in front of a fleet's backend servers."""
    path = running_fleet.write_document(running_fleet.document, 'naive.json')
    addresses = []
    for number in range(count):
        listen = fleet.free_address()
        running_fleet.start_module(
            f'naive-{number}', 'devel.naive_proxy', [listen, path]
        )
        running_fleet.wait_until(
            lambda at=listen: fleet.is_listening(at), 'the naive proxy'
        )
        addresses.append(listen)
    return addresses


def read_status(running_fleet: fleet.Fleet) -> dict[str, Any]:
    """Return the status of the production environment."""
    response = running_fleet.http.request(
        'GET',
        f'http://{running_fleet.admin_address}/environments/production/status',
    )
    return json.loads(response.data)
