"""A planned stop while callers use connections that sent a chunked body."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import deployment  # noqa: E402

CALLERS = 8
# Sent before the stop; its answer does not ask to close the connection.
FIRST_WORK_MS = 1500
# Sent this long after SIGTERM, on a connection that is then still open.
SECOND_AFTER_S = 3.4
SECOND_WORK_MS = 2300


def main():
    fleet = deployment.Deployment(FOLDER, ['entry-1', 'entry-2'])
    record = fleet.record
    try:
        for number in (1, 2):
            fleet.add_server(f'i-{number}', 'orders')
        fleet.put_configuration(
            1, [['/orders/', 'unsafe', '4000ms', 'orders']]
        )
        fleet.start()
        return run_callers(fleet, record)
    finally:
        fleet.end()


def run_callers(fleet, record):
    host = fleet.hosts[0]
    stop_at_s = time.monotonic() + 0.8
    results = {}
    time.sleep(max(0, stop_at_s - 0.4 - time.monotonic()))
    # The ttl is 2 s; some callers keep an answer for three times as long.
    found = host.resolve()
    record(f'callers may use {host.name} for 6 s: {found}')
    if '%s:%d' % host.callers not in found['addresses']:
        raise LookupError('the directory does not name the host')
    threads = [
        threading.Thread(
            target=call, args=(fleet, host, number, stop_at_s, results)
        )
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(max(0, stop_at_s - time.monotonic()))
    if deployment.trouble():
        record('SIGTERM to entry-1')
        host.process.send_signal(signal.SIGTERM)
    time.sleep(deployment.GRACE_S)
    if deployment.trouble() and host.process.poll() is None:
        record('SIGKILL to entry-1')
        host.process.kill()
    for thread in threads:
        thread.join()
    runs = {}
    for server in fleet.servers:
        runs |= server.runs
    lost = [
        request_id
        for request_id, answer in results.items()
        if answer is None and request_id in runs
    ]
    verdict = 'broken' if lost else 'held'
    text = f'LOST {verdict}: {len(lost)} of {len(results)} requests were '
    text += f'passed on to a server and got no answer: {sorted(lost)}'
    record(text)
    print(text)
    return deployment.BROKEN if lost else deployment.HELD


def call(fleet, host, number, stop_at_s, results):
    record = fleet.record
    first = f'{number:02}a'
    time.sleep(max(0, stop_at_s - 0.3 - time.monotonic()))
    caller = deployment.Caller(host.callers, record, number)
    caller.send(
        'POST', f'/orders/x?work={FIRST_WORK_MS}', first, b'x' * 300, True
    )
    results[first] = caller.receive(first)
    time.sleep(max(0, stop_at_s + SECOND_AFTER_S - time.monotonic()))
    if caller.must_close or caller.is_closed():
        record(f'caller {number} finds its connection closed; it connects '
               'to another host')
        caller.close()
        caller = deployment.Caller(fleet.hosts[1].callers, record, number)
    second = f'{number:02}b'
    caller.send(
        'POST', f'/orders/x?work={SECOND_WORK_MS}', second, b'x' * 300, True
    )
    results[second] = caller.receive(second)
    caller.close()


deployment.run(main)
