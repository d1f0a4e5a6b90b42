"""A planned stop while callers pipeline lookups."""

import os
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import deployment  # noqa: E402

# With TROUBLE=0 the same is done without the disruption.
TROUBLE = os.environ.get('TROUBLE') != '0'

CALLERS = 8
# All are sent before the stop. The first one ends well before `grace` does,
# and before the timeout of the route; those behind it are answered by their
# servers at once.
BEFORE_S = 0.2
FIRST_WORK_MS = 3700
LATER_WORK_MS = 300


def main():
    fleet = deployment.Deployment(FOLDER, ['entry-1', 'entry-2'])
    try:
        for number in (1, 2):
            fleet.add_server(f'i-{number}', 'stock')
        fleet.put_configuration(1, [['/stock/', 'safe', '4000ms', 'stock']])
        fleet.start()
        return run_callers(fleet, fleet.record)
    finally:
        fleet.end()


def run_callers(fleet, record):
    host = fleet.hosts[0]
    results = {}
    # The ttl is 2 s; some callers keep an answer for three times as long.
    found = host.resolve()
    record(f'callers may use {host.name} for 6 s: {found}')
    if '%s:%d' % host.callers not in found['addresses']:
        raise LookupError('the directory does not name the host')
    stop_at_s = time.monotonic() + 0.4
    threads = [
        threading.Thread(
            target=call, args=(fleet, host, number, stop_at_s, results)
        )
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(max(0, stop_at_s - time.monotonic()))
    if TROUBLE:
        record('SIGTERM to entry-1')
        host.process.send_signal(signal.SIGTERM)
    time.sleep(deployment.GRACE_S)
    if TROUBLE and host.process.poll() is None:
        record('SIGKILL to entry-1')
        host.process.kill()
    for thread in threads:
        thread.join()
    runs = {}
    for server in fleet.servers:
        runs |= server.runs
    lost = sorted(
        request_id
        for request_id, answer in results.items()
        if answer is None and request_id in runs
    )
    text = (
        f'LOST {"broken" if lost else "held"}: {len(lost)} of '
        f'{len(results)} requests were passed on to a server and got no '
        f'answer: {lost}'
    )
    record(text)
    print(text)
    return deployment.BROKEN if lost else deployment.HELD


def call(fleet, host, number, stop_at_s, results):
    caller = deployment.Caller(host.callers, fleet.record, number)
    request_ids = [f'{number:02}{letter}' for letter in 'abc']
    time.sleep(max(0, stop_at_s - BEFORE_S - time.monotonic()))
    # The others are sent before the first one has been answered.
    for request_id in request_ids:
        is_first = request_id == request_ids[0]
        work_ms = FIRST_WORK_MS if is_first else LATER_WORK_MS
        caller.send('GET', f'/stock/x?work={work_ms}', request_id)
    for request_id in request_ids:
        results[request_id] = caller.receive(request_id)
    caller.close()


deployment.run(main)
