"""Hosts are stopped in turn; a late caller's request is cut off."""

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

NAMES = [f'entry-{number}' for number in range(1, 7)]
FIRST_WORK_MS = 200
# Sent this long after SIGTERM, on a connection that is still open then.
LATE_AFTER_S = 3.1
# Ends before `grace` does, and before the timeout of the route.
LATE_WORK_MS = 2400
STOP_INTERVAL_S = 1.0


def main():
    fleet = deployment.Deployment(FOLDER, NAMES)
    try:
        for number in (1, 2):
            fleet.add_server(f'i-{number}', 'orders')
        fleet.put_configuration(
            1, [['/orders/', 'unsafe', '4000ms', 'orders']]
        )
        fleet.start()
        return run_callers(fleet)
    finally:
        fleet.end()


def run_callers(fleet):
    results = {}
    threads = []
    for number, host in enumerate(fleet.hosts):
        thread = threading.Thread(
            target=stop_and_call, args=(fleet, host, number, results)
        )
        thread.start()
        threads.append(thread)
        time.sleep(STOP_INTERVAL_S)
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
    fleet.record(text)
    print(text)
    return deployment.BROKEN if lost else deployment.HELD


def stop_and_call(fleet, host, number, results):
    record = fleet.record
    # The ttl is 2 s; some callers keep an answer for three times as long.
    found = host.resolve()
    record(f'caller {number} may use {host.name} for 6 s: {found}')
    if '%s:%d' % host.callers not in found['addresses']:
        raise LookupError('the directory does not name the host')
    caller = deployment.Caller(host.callers, record, number)
    first = f'{host.name}-first'
    caller.send('POST', f'/orders/x?work={FIRST_WORK_MS}', first, b'x' * 300)
    results[first] = caller.receive(first)
    stopped_at_s = time.monotonic()
    if TROUBLE:
        record(f'SIGTERM to {host.name}')
        host.process.send_signal(signal.SIGTERM)
    time.sleep(max(0, stopped_at_s + LATE_AFTER_S - time.monotonic()))
    if caller.must_close or caller.is_closed():
        record(f'caller {number} finds its connection closed')
        caller.close()
    else:
        late = f'{host.name}-late'
        caller.send(
            'POST', f'/orders/x?work={LATE_WORK_MS}', late, b'x' * 300
        )
        results[late] = caller.receive(late)
        caller.close()
    time.sleep(
        max(0, stopped_at_s + deployment.GRACE_S - time.monotonic())
    )
    if TROUBLE and host.process.poll() is None:
        record(f'SIGKILL to {host.name}')
        host.process.kill()


deployment.run(main)
