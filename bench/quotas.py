"""Measures what quotas cost a host: `python -m bench.quotas`."""

import gc
import logging
import random
import time
import tracemalloc
from unittest import mock

from cardamomdeal.channels import datagrams
from cardamomdeal.entry import quota_keeper
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import lenders
from cardamomdeal.workspaces import model as workspace_model

WORKSPACES = (100, 1_000, 41_000)
HOSTS = (136, 2_000)
REQUESTS = 20_000
# Requests of a host at the target.
REQUEST_INTERVAL_MS = 6
BOUNDS = settings_model.Bounds(
    drain_ms=2_500,
    stop_grace_ms=6_000,
    max_keep_for_ms=5_000,
    repeat_ratio=0.2,
    repeat_window_ms=10_000,
    repeat_slack=220.0,
    capacity_floor=0.7,
    quota_window_ms=5_000,
    quota_overage=0.1,
    quota_slack=20.0,
)


def _workspaces(count: int) -> list[workspace_model.Workspace]:
    quota = workspace_model.Quota(14.0, 14.0)
    return [
        workspace_model.Workspace(f'w-{n}', (), None, quota)
        for n in range(count)
    ]


def _host(number: int) -> model.EntryHost:
    peers = address.Address('10.0.0.1', number)
    return model.EntryHost(f'h-{number}', 1, 'r', 'z', peers, peers, 0.0)


def _keeper(number: int) -> quota_keeper.QuotaKeeper:
    settings = mock.Mock(bounds=BOUNDS, peers=_host(number).peers)
    settings.name = f'h-{number}'
    return quota_keeper.QuotaKeeper(settings, random.Random(number), 0)


def measure_configuration(count: int) -> None:
    """Print time and memory of the workspaces of a configuration."""
    workspaces = _workspaces(count)
    keeper = _keeper(0)
    started_s = time.process_time()
    keeper.set_workspaces(workspaces)
    took_ms = (time.process_time() - started_s) * 1_000
    gc.collect()
    tracemalloc.start()
    keeper.set_workspaces(workspaces)
    size_kb = tracemalloc.get_traced_memory()[0] / 1_024
    tracemalloc.stop()
    print(f'{count} workspaces: {took_ms:.1f} ms, {size_kb:.0f} KiB')


def measure_ranking(count: int) -> None:
    """Print the time to rank hosts, and to take in one that joins."""
    names = [f'h-{n}' for n in range(count)]
    ranking = lenders.Lenders('h-0', 0)
    ranking.set_hosts(names[:-1], 0)
    started_s = time.process_time()
    for number in range(lenders.GROUPS):
        ranking.candidates(number, 0)
    ranked_ms = (time.process_time() - started_s) * 1_000
    started_s = time.process_time()
    ranking.set_hosts(names, 0)
    joined_ms = (time.process_time() - started_s) * 1_000
    print(
        f'{count} hosts: {ranked_ms / lenders.GROUPS:.2f} ms to rank a group, '
        f'{joined_ms:.1f} ms for a host that joins'
    )


def measure_requests(count: int) -> None:
    """Print the processor time of a request at its host and its lender."""
    workspaces = _workspaces(count)
    keepers = [_keeper(n) for n in range(2)]
    hosts = tuple(_host(n) for n in range(2))
    for keeper in keepers:
        keeper.set_workspaces(workspaces)
    rng = random.Random(1)
    now_ms = 1_000_000
    sent: list[datagrams.SendTo] = []
    started_s = time.process_time()
    for number in range(REQUESTS):
        now_ms += REQUEST_INTERVAL_MS
        for keeper in keepers:
            keeper.set_hosts(hosts, now_ms, now_ms)
            due_ms = keeper.next_event_at_ms()
            if due_ms is not None and due_ms <= now_ms:
                keeper.wake(now_ms)
        keepers[0].request(number, rng.choice(workspaces), now_ms)
        for _ in range(3):
            for index, keeper in enumerate(keepers):
                sent = keeper.pop_sends(now_ms)
                for send in sent:
                    keepers[1 - index].receive(
                        hosts[index].peers, send.message, now_ms
                    )
                keeper.pop_decided()
    took_us = (time.process_time() - started_s) * 1_000_000 / REQUESTS
    print(f'{count} workspaces: {took_us:.0f} us a request at two hosts')


def main() -> None:
    """Print all figures."""
    logging.disable(logging.CRITICAL)
    for count in WORKSPACES:
        measure_configuration(count)
        measure_requests(count)
    for count in HOSTS:
        measure_ranking(count)


if __name__ == '__main__':
    main()
