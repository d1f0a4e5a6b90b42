"""A host that takes over for others leaves requests without an answer."""

import asyncio
import collections
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import rig2 as rig  # noqa: E402

# Of the site karri-book-grown.
BOUNDS = {
    'drain': '2500ms', 'stop_grace': '6s', 'max_keep_for': '5s',
    'repeat_ratio': 0.2, 'repeat_window': '10s', 'repeat_slack': 355,
    'capacity_floor': 0.7,
}
MEMORY_MB = 552
HOSTS = 3
CLIENTS = int(os.environ.get('CLIENTS', 450))
# Each client sends its next request so long after the last one ended.
PAUSE_S = 2.0
WORK_S = 1.2
DEADLINE_S = 8.0
TIMEOUT_S = 4.0
RETRIES = 3
# Every third client takes so long to read an answer.
SLOW_SHARE = float(os.environ.get('SLOW', 0.34))
SLOW_READ_S = 0.3
CALM_S, PLAY_S = 8.0, 25.0


class Client:
    """Caller that opens a connection for each request."""

    def __init__(self, number, deployment, alive, results, rng):
        self.number, self.deployment = number, deployment
        self.alive, self.results, self.rng = alive, results, rng
        self.is_slow = rng.random() < SLOW_SHARE
        self.count = 0

    async def run(self, end):
        await asyncio.sleep(self.rng.uniform(0, PAUSE_S + WORK_S))
        while time.monotonic() < end:
            await self.request()
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * PAUSE_S)

    async def request(self):
        self.count += 1
        gives_up_at = time.monotonic() + DEADLINE_S
        for attempt in range(1 + RETRIES):
            left_s = gives_up_at - time.monotonic()
            if left_s < 0.5:
                return
            name = f'c{self.number}-{self.count}-{attempt}'
            host = self.rng.choice(self.alive)
            status, retry_after_s = await self.attempt(name, host, left_s)
            if status not in ('429', '503', 'refused'):
                return
            await asyncio.sleep(min(retry_after_s, left_s / 3))

    async def attempt(self, name, host, left_s):
        record = self.deployment.record
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(rig.LOOPBACK, host.front), 1)
        except (OSError, asyncio.TimeoutError):
            record.add('not connected', name, host.name)
            return 'refused', 0.2
        writer.write((
            f'POST /order/{name} HTTP/1.1\r\nHost: {rig.HOSTNAME}\r\n'
            f'{rig.ID}: {name}\r\n{rig.DEADLINE}: {left_s * 1000:.0f}\r\n'
            'Content-Length: 5\r\n\r\nhello').encode())
        sent = time.monotonic()
        record.add('sent', name, host.name)
        try:
            status, fields = await asyncio.wait_for(
                self.read(reader), left_s)
        except asyncio.TimeoutError:
            status, fields = 'none', {}
        except (OSError, asyncio.IncompleteReadError) as error:
            status, fields = 'closed', {}
            record.add('closed', name, type(error).__name__)
        took = time.monotonic() - sent
        record.add('answer', name, status, f'after {took:.3f} s')
        self.results.append((name, host.name, sent, status, took, left_s))
        if self.is_slow and fields:
            await asyncio.sleep(SLOW_READ_S)
        writer.close()
        return status, float(fields.get('retry-after', 0.3))

    async def read(self, reader):
        head = await rig.read_head(reader)
        if head is None:
            raise asyncio.IncompleteReadError(b'', None)
        line, fields = head
        if not self.is_slow:
            await reader.readexactly(int(fields.get('content-length', 0)))
        return line.split(' ')[1], fields


async def play(deployment, trouble):
    record = deployment.record
    workers = [rig.Worker(n, 'ordre', record, WORK_S, 500)
               for n in range(32)]
    await deployment.start(HOSTS, workers, rig.configuration(
        1, [('order', 'unsafe', 'ordre', f'{TIMEOUT_S:.0f}s')], ['ordre']))
    rng = random.Random(1)
    alive, results = list(deployment.hosts), []
    end = time.monotonic() + CALM_S + PLAY_S
    tasks = [asyncio.create_task(
        Client(n, deployment, alive, results, rng).run(end))
        for n in range(CLIENTS)]
    await asyncio.sleep(CALM_S)
    if trouble:
        for host in deployment.hosts[1:]:
            host.process.kill()
            record.say('SIGKILL to', host.name, '(it does not come back)')
        del alive[1:]
    since = time.monotonic() + 1
    await asyncio.gather(*tasks)
    survivor = deployment.hosts[0].name
    ran = collections.Counter(n for w in workers for n in w.ran)
    seen = [r for r in results if r[1] == survivor and r[2] >= since
            and r[5] >= TIMEOUT_S + 0.5]
    statuses = collections.Counter(r[3] for r in seen)
    record.say('requests at', survivor, 'from 1 s after:', dict(statuses))
    late = [r for r in seen if r[4] > TIMEOUT_S]
    silent = [r for r in seen if r[4] > TIMEOUT_S + 0.5]
    never = [r for r in seen if r[3] in ('none', 'closed')]
    record.say(f'{len(late)} unanswered at the timeout of {TIMEOUT_S} s, '
               f'{len(silent)} of them half a second later; {len(never)} '
               f'never answered, {sum(r[0] in ran for r in never)} of these '
               'run by a worker')
    if len(seen) < 100:
        raise rig.CannotRun('too few requests')
    broken = len(silent) >= 8 and len(silent) > len(late) / 4
    return rig.BROKEN if broken else rig.HELD


rig.main(play, FOLDER, BOUNDS, MEMORY_MB)
