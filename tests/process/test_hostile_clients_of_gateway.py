"""Clients that keep to no manners, before gateways and directories."""

import os
import pathlib
import re
import time

import urllib3

from tests import hostile_crowd
from tests.process import test_fleet

MIB = 1024**2
# The smallest machines; the platform kills a process that exceeds it.
MEMORY_MB = 152
# Of the process itself, and two for each of its threads.
OWN_DESCRIPTORS = 100 + 2 * 64
SENT_BYTES = 200 * MIB
LONG_LINES = (b'a: ' + b'b' * 4_000 + b'\r\n') * (SENT_BYTES // 4_000)
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


def head(method, path):
    return f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'.encode()


def heads_without_end():
    """Return heads that go on for longer than a machine can hold."""
    return [
        head('GET', '/')[:-2] + bytes(SENT_BYTES),
        head('GET', '/') + LONG_LINES,
    ]


def trailers_without_end(start):
    """Return lines between and behind chunks that go on for too long."""
    last_chunk = start + CHUNKED + b'1\r\nx\r\n0\r\n'
    return [
        last_chunk + LONG_LINES,
        last_chunk + b'a: ' + bytes(SENT_BYTES),
        start + CHUNKED + b'1;' + b'x' * SENT_BYTES,
    ]


class HostileClientsTest(test_fleet.FleetCase):
    def setUp(self):
        self.host = self.hosts[0]
        self.crowds = []

    def watch(self, name):
        self.process = self.fleet.processes[name]
        self.proc = pathlib.Path(f'/proc/{self.process.pid}')
        (self.proc / 'clear_refs').write_text('5')

    def crowd(self, address):
        crowd = hostile_crowd.Crowd(int(address.rpartition(':')[2]))
        self.addCleanup(crowd.leave)
        self.crowds.append(crowd)
        return crowd

    def check_process(self, crowd_count, is_answered):
        def is_served():
            try:
                return is_answered()
            except urllib3.exceptions.HTTPError:
                return False

        self.assertTrue(self.process.is_running())
        self.assertLessEqual(
            len(os.listdir(self.proc / 'fd')), OWN_DESCRIPTORS + crowd_count
        )
        self.fleet.wait_until(is_served, 'an answer beside the crowd')
        for crowd in self.crowds:
            crowd.leave()
        self.fleet.wait_until(is_served, 'an answer after the crowd')
        status = (self.proc / 'status').read_text()
        peak_mb = int(re.search(r'VmHWM:\s*(\d+)', status)[1]) / 1000
        print(f'{self.id()}: peak {peak_mb:.0f} MB')
        self.assertLess(peak_mb, MEMORY_MB)

    def is_resolved(self):
        return self.fleet.directory_resolves(self.host, 'stock')

    def is_forwarded(self):
        return self.caller().send('stock', 'GET', '/stock/1').status == 200

    def check_directory(self, requests):
        self.watch(f'directory-{self.host.name}')
        crowd = self.crowd(self.host.directory)
        for request in requests:
            crowd.add(request)
            # A directory has a short queue of new connections.
            time.sleep(0.005)
        crowd.play()
        self.check_process(len(requests), self.is_resolved)

    def test_heads_without_end_at_a_directory(self):
        self.check_directory(heads_without_end())

    def test_trailers_without_end_at_a_directory(self):
        self.check_directory(trailers_without_end(head('POST', '/addresses')))

    def test_large_body_at_a_directory(self):
        length = f'Content-Length: {SENT_BYTES}\r\n\r\n'.encode()
        request = head('POST', '/addresses') + length + bytes(SENT_BYTES)
        self.check_directory([request])

    def test_bodies_that_stop_short_at_a_directory(self):
        length = f'Content-Length: {MIB}\r\n\r\n'.encode()
        request = head('POST', '/addresses') + length + bytes(MIB - 1)
        self.check_directory([request] * 100)

    def check_gateway(self, work_class, requests):
        address = {
            'short': self.host.short_gateway,
            'upload': self.host.upload_gateway,
        }[work_class]
        self.watch(f'gateway-{work_class}-{self.host.name}')
        crowd = self.crowd(address)
        for request in requests:
            crowd.add(request)
        crowd.play(limit_s=4.0)
        self.check_process(len(requests), self.is_forwarded)

    def test_requests_without_end_at_a_gateway(self):
        starts = {
            'short': head('POST', '/orders'),
            'upload': head('PUT', '/photos/1'),
        }
        for work_class, start in starts.items():
            with self.subTest(work_class):
                requests = heads_without_end() + trailers_without_end(start)
                self.check_gateway(work_class, requests)

    def test_bodies_that_stop_short_at_a_gateway(self):
        length = f'Content-Length: {8 * MIB}\r\n\r\n'.encode()
        request = head('PUT', '/photos/1') + length + bytes(8 * MIB - 1)
        self.check_gateway('upload', [request] * 100)


if __name__ == '__main__':
    test_fleet.unittest.main()
