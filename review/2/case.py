"""A host is killed, and its callers move to the one that is left."""

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

# Callers with kept connections, half of them at each host. Each sends an
# order in chunks now and then.
KEPT_CALLERS = 80
KEPT_INTERVAL_S = 2.0
# Other callers, each with a new connection for its order.
OTHER_INTERVAL_S = 0.5
WORK_MS = 100
TIMEOUT_S = 4.0
DEADLINE_S = 8.0
RUN_S = 16.0
# Time for the callers to settle at the host that is left.
SETTLE_S = 4.0


def main():
    fleet = deployment.Deployment(FOLDER, ['entry-1', 'entry-2'])
    try:
        for number in (1, 2):
            fleet.add_server(f'i-{number}', 'orders')
        fleet.put_configuration(
            1, [['/orders/', 'unsafe', '4000ms', 'orders']]
        )
        fleet.start()
        return run_callers(fleet, fleet.record)
    finally:
        fleet.end()


def run_callers(fleet, record):
    left, killed = fleet.hosts
    stop = threading.Event()
    waits, late, statuses = [], [], []
    threads = [
        threading.Thread(
            target=keep_calling, args=(fleet, number, stop), daemon=True
        )
        for number in range(KEPT_CALLERS)
    ]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    time.sleep(2)
    if TROUBLE:
        record('SIGKILL to entry-2')
        killed.process.send_signal(signal.SIGKILL)
        time.sleep(2)
        killed.start()
        record('entry-2 is started again')
    time.sleep(SETTLE_S)
    end_s = time.monotonic() + RUN_S
    others = []
    while time.monotonic() < end_s:
        thread = threading.Thread(
            target=call_once,
            args=(fleet, left, len(others), waits, late, statuses),
        )
        thread.start()
        others.append(thread)
        time.sleep(OTHER_INTERVAL_S)
    for thread in others:
        thread.join()
    stop.set()
    # Requests that are unanswered at the timeout of their route, and those
    # that are so half a second later.
    unanswered = [wait for wait in waits if wait > TIMEOUT_S]
    is_broken = len(late) >= 8 and len(late) > len(unanswered) / 4
    counts = {status: statuses.count(status) for status in set(statuses)}
    text = (
        f'CONFIG {"broken" if is_broken else "held"}: {len(unanswered)} of '
        f'{len(waits)} orders were unanswered at the timeout of their route, '
        f'{len(late)} of them 0.5 s later; outcomes {counts}'
    )
    record(text)
    print(text)
    return deployment.BROKEN if is_broken else deployment.HELD


def keep_calling(fleet, number, stop):
    hosts = fleet.hosts
    host = hosts[number % 2]
    caller = None
    count = 0
    while not stop.is_set():
        count += 1
        request_id = f'kept-{number}-{count}'
        try:
            if caller is None:
                caller = deployment.Caller(host.callers, fleet.record, number)
            caller.send(
                'POST', f'/orders/x?work={WORK_MS}', request_id, b'x' * 300,
                True,
            )
            answer = caller.receive(request_id, DEADLINE_S)
        except OSError:
            answer = None
        if answer is None or caller.must_close:
            # The address has failed, so another one is used.
            if caller is not None:
                caller.close()
            caller = None
            host = hosts[0] if host is hosts[1] else hosts[1]
            time.sleep(0.2)
            continue
        stop.wait(KEPT_INTERVAL_S)


def call_once(fleet, host, number, waits, late, statuses):
    request_id = f'other-{number}'
    sent_at_s = time.monotonic()
    status = 'none'
    try:
        caller = deployment.Caller(host.callers, fleet.record, request_id)
        caller.send(
            'POST', f'/orders/x?work={WORK_MS}', request_id, b'x' * 300
        )
        answer = caller.receive(request_id, DEADLINE_S)
        status = answer[0] if answer else 'none'
        caller.close()
    except OSError as error:
        fleet.record(f'{request_id}: {error!r}')
    wait_s = time.monotonic() - sent_at_s
    waits.append(wait_s)
    statuses.append(status)
    if wait_s > TIMEOUT_S + 0.5:
        late.append(wait_s)


deployment.run(main)
