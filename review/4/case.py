"""A server leaves while the two hosts that watch the store get no answer."""

import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import deployment  # noqa: E402
from cardamomdeal.membership import rendezvous  # noqa: E402

# With TROUBLE=0 the same is done without the disruption.
TROUBLE = os.environ.get('TROUBLE') != '0'

NAMES = [f'entry-{number}' for number in range(1, 7)]
# The site turns hosts away from the store for up to 9 s.
CUT_S = 5.5
REMOVED_AFTER_S = 0.1
WORK_MS = 300
SEND_INTERVAL_S = 0.05
# The server goes on serving for `drain` and a little longer.
EXIT_AFTER_S = deployment.DRAIN_S + 0.8


def main():
    fleet = deployment.Deployment(FOLDER, NAMES, has_store_paths=True)
    try:
        for number in range(1, 4):
            fleet.add_server(f'i-{number}', 'orders')
        fleet.put_configuration(
            1, [['/orders/', 'unsafe', '4000ms', 'orders']]
        )
        fleet.start()
        time.sleep(3)
        return run_callers(fleet)
    finally:
        fleet.end()


def run_callers(fleet):
    record = fleet.record
    # Which hosts watch the store follows from their names.
    readers = rendezvous.ranked('store-reader', NAMES)[:2]
    others = [host for host in fleet.hosts if host.name not in readers]
    results = {}
    stop = threading.Event()
    threads = [
        threading.Thread(target=call, args=(fleet, host, stop, results))
        for host in others
    ]
    for thread in threads:
        thread.start()
    time.sleep(1)
    if TROUBLE:
        for name in readers:
            record(f'the path from {name} to the store is cut')
            fleet.paths[name].is_cut = True
    time.sleep(REMOVED_AFTER_S)
    leaving = fleet.servers[0]
    removed_at_s = fleet.remove_server(leaving)
    time.sleep(EXIT_AFTER_S)
    leaving.exit()
    time.sleep(CUT_S - EXIT_AFTER_S)
    for path in fleet.paths.values():
        path.is_cut = False
    stop.set()
    for thread in threads:
        thread.join()
    late = {
        request_id: arrived_at_s - removed_at_s
        for request_id, arrived_at_s in leaving.arrivals
        if arrived_at_s - removed_at_s > deployment.DRAIN_S
    }
    for request_id, after_s in late.items():
        record(
            f'{request_id} reached the server {after_s:.3f} s after its '
            f'removal; the caller got {results.get(request_id)}'
        )
    failed = [i for i in late if results.get(i) != 200]
    text = (
        f'DRAIN {"broken" if late else "held"}: {len(late)} of '
        f'{len(results)} requests reached a server later than '
        f'{deployment.DRAIN_S} s after its removal, the last '
        f'{max(late.values(), default=0):.3f} s; {len(failed)} of them '
        'failed when it ended'
    )
    record(text)
    print(text)
    return deployment.BROKEN if late else deployment.HELD


def call(fleet, host, stop, results):
    """Send orders, each on a connection of its own, side by side."""
    number = 0
    threads = []
    while not stop.wait(SEND_INTERVAL_S):
        number += 1
        request_id = f'{host.name}-{number:04}'
        thread = threading.Thread(
            target=send_order, args=(fleet, host, request_id, results)
        )
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()


def send_order(fleet, host, request_id, results):
    caller = deployment.Caller(host.callers, fleet.record, request_id)
    caller.send(
        'POST', f'/orders/x?work={WORK_MS}', request_id, b'x' * 300
    )
    answer = caller.receive(request_id)
    results[request_id] = answer and answer[0]
    caller.close()


deployment.run(main)
