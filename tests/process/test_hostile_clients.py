"""Clients that keep to no manners, before whole processes.

Such clients ended a host: it ran out of memory. Each machine here is as small
as the smallest ones, so that a small crowd is enough.
"""

import os
import random
import time
import unittest

import urllib3

from cardamomdeal.platform import wire
from tests import entry_case
from tests import hostile_crowd

MIB = 1024**2
# The smallest machines; the platform kills a process that exceeds it.
MEMORY_MB = 152
# Limits of the configuration here.
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 64 * MIB
# Of the host itself, and with 64 connections and requests in threads: a pipe
# each, and a connection to a server.
OWN_DESCRIPTORS = 100 + 64 * 3
TEST_DESCRIPTORS = 4_096
LARGE_BYTES = 1_000_000
SMALL_BYTES = 250_000


def head(name, *fields, path='/upload/x', method='POST'):
    lines = (
        f'{method} {path} HTTP/1.1',
        'Host: shop.example',
        f'{wire.REQUEST_ID}: {name}',
        f'{wire.DEADLINE_MS}: 8000',
        *fields,
    )
    return '\r\n'.join((*lines, '', '')).encode()


def with_length(name, size_bytes):
    return head(name, f'Content-Length: {size_bytes}') + bytes(size_bytes)


def in_chunks(name, size_bytes, chunk_bytes=32 * 1024):
    chunks = []
    for start in range(0, size_bytes, chunk_bytes):
        length = min(chunk_bytes, size_bytes - start)
        chunks.append(b'%x\r\n%s\r\n' % (length, bytes(length)))
    chunks.append(b'0\r\n\r\n')
    return head(name, 'Transfer-Encoding: chunked') + b''.join(chunks)


def with_trailers(name, trailers):
    start = head(name, 'Transfer-Encoding: chunked') + b'1\r\nx\r\n0\r\n'
    return start + trailers


class HostileClientsTest(entry_case.EntryHostCase):
    SETTINGS = {'memory_mb': MEMORY_MB}

    def setUp(self):
        hostile_crowd.allow_descriptors(TEST_DESCRIPTORS)
        super().setUp()
        self.put_configuration(
            2, ['safe', 'unsafe', 'upload'], '4000ms', MAX_BODY_BYTES
        )
        time.sleep(1.8)
        self.host = self.hosts[0]
        self.peak_mb = self.watch_memory(self.host)
        self.crowds = []

    def crowd(self, key='callers'):
        crowd = hostile_crowd.Crowd(self.host[key])
        self.addCleanup(crowd.leave)
        self.crowds.append(crowd)
        return crowd

    def descriptors(self):
        return len(os.listdir(f'/proc/{self.host["process"].pid}/fd'))

    def is_answered(self, name):
        try:
            response = self.send(self.host, 'unsafe', name, b'x')
        except urllib3.exceptions.HTTPError:
            return False
        if response.status != 200:
            # A refused request has not run.
            self.assertIn(response.status, (408, 429, 503))
            self.assertEqual(0, self.run_count(name))
        return response.status == 200

    def check_host(self, crowd_count):
        """Check process, memory, descriptors and an ordinary request."""
        bound = OWN_DESCRIPTORS + crowd_count
        self.assertLessEqual(self.descriptors(), bound)
        names = iter(range(1_000))
        self.wait_until(
            lambda: self.is_answered(f'beside-{crowd_count}-{next(names)}')
        )
        for crowd in self.crowds:
            crowd.leave()
        self.wait_until(lambda: self.descriptors() <= OWN_DESCRIPTORS)
        self.wait_until(
            lambda: self.is_answered(f'after-{crowd_count}-{next(names)}')
        )
        self.assertEqual(
            200, self.get_status(self.host['readiness'], wire.READY_PATH)
        )
        self.assertIsNone(self.host['process'].poll())
        print(f'{self.id()}: peak {self.peak_mb():.0f} MB')
        self.assertLess(self.peak_mb(), MEMORY_MB)

    def test_trailers_without_end(self):
        # What follows the last chunk has a limit of its own; nothing bounded
        # the sum of what clients send there.
        kinds = (
            b'a: b\r\n' * 200_000,
            (b'a: ' + b'b' * 4_000 + b'\r\n') * 300,
            b'a: ' + b'b' * 1_200_000,
        )
        crowd = self.crowd()
        for n, lines in enumerate(kinds):
            crowd.add(with_trailers(f'one-{n}', lines * 8), reads=False)
        crowd.play()
        for n in range(300):
            sent = with_trailers(f'{n}', kinds[n % 3])
            crowd.add(sent, reads=n % 2 == 0)
        crowd.play()
        self.check_host(303)

    def test_trailers_just_below_their_limit_on_open_connections(self):
        # Such requests without their last line.
        size_bytes = MAX_HEADER_BYTES - 600
        trailers = b'a: b\r\n' * (size_bytes // 6)
        crowd = self.crowd()
        for n in range(800):
            crowd.add(with_trailers(f'{n}', trailers), reads=False)
        crowd.play()
        self.check_host(800)

    def test_large_bodies_sent_whole(self):
        # Three waves, so that what is left of a wave counts too.
        for build in (with_length, in_chunks):
            with self.subTest(build.__name__):
                self.check_waves(build, LARGE_BYTES)

    def test_small_bodies_sent_whole(self):
        # Those up to 256 KiB find room where larger ones find none.
        for build in (with_length, in_chunks):
            with self.subTest(build.__name__):
                self.check_waves(build, SMALL_BYTES)

    def check_waves(self, build, size_bytes):
        for wave in range(3):
            crowd = self.crowd()
            for n in range(300):
                sent = build(f'{build.__name__}-{wave}-{n}', size_bytes)
                crowd.add(sent)
            crowd.play()
            if wave < 2:
                crowd.leave()
        self.check_host(300)

    def test_largest_bodies_sent_whole(self):
        for build in (with_length, in_chunks):
            with self.subTest(build.__name__):
                crowd = self.crowd()
                sent = build(build.__name__, MAX_BODY_BYTES)
                for _ in range(12):
                    crowd.add(sent)
                crowd.play()
                self.check_host(12)

    def test_bodies_that_stop_short_of_their_end(self):
        rng = random.Random(47)
        for build in (with_length, in_chunks):
            with self.subTest(build.__name__):
                crowd = self.crowd()
                for n in range(400):
                    size_bytes = rng.choice((SMALL_BYTES, LARGE_BYTES))
                    sent = build(f'{build.__name__}-{n}', size_bytes)
                    # A tenth of them reach their end.
                    crowd.add(sent if n % 10 == 0 else sent[:-3])
                crowd.play(piece_bytes=8 * 1024)
                self.check_host(400)

    def test_bodies_that_stop_short_at_all_servers_of_a_host(self):
        # Readiness, addresses and metrics take bodies of up to 64 KiB.
        for key in ('readiness', 'directory', 'metrics'):
            auxiliary = self.crowd(key)
            for n in range(250):
                auxiliary.add(with_length(f'{n}', 65_000)[:-3])
                # These servers have short queues of new connections.
                time.sleep(0.005)
            auxiliary.play()
        crowd = self.crowd()
        for n in range(400):
            crowd.add(with_length(f'{n}', SMALL_BYTES)[:-3])
        crowd.play()
        self.check_host(400 + 3 * 250)

    def test_refused_connections_that_stay_open(self):
        # A refused client that neither reads nor leaves.
        crowd = self.crowd()
        for n in range(1_000):
            crowd.add(with_length(f'{n}', SMALL_BYTES), reads=False)
        crowd.play()
        self.check_host(1_000)

    def check_answers(self, count, size_bytes):
        crowd = self.crowd()
        for n in range(count):
            path = f'/safe/x?answer={size_bytes}'
            lookup = head(f'{size_bytes}-{n}', path=path, method='GET')
            crowd.add(lookup, reads=False)
            if n % 50 == 49:
                # Servers have few threads.
                crowd.play(quiet_s=0.3)
        for _ in range(20):
            crowd.read_some(1_000)
            time.sleep(0.05)
        self.check_host(count)

    def test_long_answers_that_are_read_slowly_or_not_at_all(self):
        for size_bytes in (SMALL_BYTES, 4 * LARGE_BYTES, 16 * LARGE_BYTES):
            with self.subTest(size=size_bytes):
                self.check_answers(400, size_bytes)

    def test_largest_request_is_served_in_calm(self):
        for build in (with_length, in_chunks):
            opened = self.connect(self.host)
            self.addCleanup(opened.close)
            opened.settimeout(10)
            opened.sendall(build(build.__name__, MAX_BODY_BYTES))
            response = self.read_response(opened)
            self.assertEqual(200, response.status, response.data)
            bodies = [b.bodies.get(build.__name__) for b in self.backends]
            self.assertIn(bytes(MAX_BODY_BYTES), bodies)
        self.check_host(2)


if __name__ == '__main__':
    unittest.main()
