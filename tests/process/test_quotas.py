"""Quotas of workspaces, with entry host processes that lend tokens."""

import bisect
import collections
import threading
import time

import urllib3

from cardamomdeal.platform import wire
from tests import entry_case

WINDOW_S = 2
RATE_PER_S = 20
BURST = 10
OVERAGE = 0.1
SLACK = 5
BOUND = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
KEY = 'key-of-the-bakery'
FLOOD_S = 5
# Each caller sends again after this time.
PAUSE_S = 0.04
CALLERS_PER_HOST = 4


class QuotasTest(entry_case.EntryHostCase):
    BOUNDS = {
        'quota_window': f'{WINDOW_S}s',
        'quota_overage': OVERAGE,
        'quota_slack': SLACK,
    }

    def setUp(self):
        super().setUp()
        for backend in self.backends:
            backend.latency_s = 0.005
        self.put_configuration(
            2,
            ['safe'],
            tenants=[['bakery', [KEY], None, RATE_PER_S, BURST]],
        )
        for n, host in enumerate(self.hosts):
            # The configuration before it asks for no key and has no quota.
            self.wait_until(lambda n=n, host=host: self.knows_keys(n, host))
            self.wait_until(lambda n=n, host=host: self.is_ready(n, host))
        self.answers = []

    def knows_keys(self, n, host):
        """Return whether a host refuses a key that nobody holds."""
        request_id = f'keys-{n}-{time.monotonic()}'
        return self.call(request_id, host, 'unknown').status == 401

    def is_ready(self, n, host):
        """Return whether a host knows the key and a lender."""
        return self.call(f'ready-{n}-{time.monotonic()}', host).status == 200

    def call(self, request_id, host, key=KEY):
        return urllib3.request(
            'GET',
            f'http://{entry_case.LOOPBACK}:{host["callers"]}/safe/x',
            headers={
                'Host': 'shop.example',
                wire.REQUEST_ID: request_id,
                'Authorization': f'Token {key}',
            },
            retries=False,
            timeout=5,
        )

    def flood(self, host, name, until_s):
        number = 0
        while time.monotonic() < until_s:
            number += 1
            sent_s = time.monotonic()
            answer = self.call(f'{name}-{number}', host)
            self.answers.append((sent_s, answer))
            time.sleep(PAUSE_S)

    def flood_all(self):
        """Send too much through both hosts; return when requests ran."""
        until_s = time.monotonic() + FLOOD_S
        callers = [
            threading.Thread(
                target=self.flood, args=(host, f'{n}-{m}', until_s)
            )
            for n, host in enumerate(self.hosts)
            for m in range(CALLERS_PER_HOST)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return sorted(
            sent_s for sent_s, answer in self.answers if answer.status == 200
        )

    @staticmethod
    def reasons(refused):
        """Return how many were refused for each reason."""
        return collections.Counter(
            (answer.status, answer.data) for answer in refused
        )

    def test_quota_holds_over_both_hosts(self):
        """Each host let every request of a workspace pass."""
        ran_s = self.flood_all()
        most = max(
            bisect.bisect_right(ran_s, at_s + WINDOW_S) - index
            for index, at_s in enumerate(ran_s)
        )
        self.assertLessEqual(most, BOUND)
        self.assertGreater(len(ran_s), 0.8 * FLOOD_S * RATE_PER_S)
        refused = [
            answer for _, answer in self.answers if answer.status != 200
        ]
        self.assertEqual(
            {429}, {answer.status for answer in refused}, self.reasons(refused)
        )
        self.assertGreater(len(refused), len(ran_s))
        for answer in refused:
            retry_after_s = float(answer.headers['Retry-After'])
            self.assertTrue(0 <= retry_after_s <= 2 * WINDOW_S)

    def test_what_is_below_the_limit_goes_on_after_a_host_is_killed(self):
        """The host that lends the tokens may be the one that dies."""
        self.hosts[1]['process'].kill()
        deadline_s = time.monotonic() + 8
        passed = 0
        while passed < 10 and time.monotonic() < deadline_s:
            answer = self.call(f'k-{time.monotonic()}', self.hosts[0])
            passed = passed + 1 if answer.status == 200 else 0
            time.sleep(0.1)
        self.assertEqual(10, passed)
