"""Look-ups at a host that has just started wait for its first view.

After a loss of all hosts their directories answered "no host is ready" until
they had read the store, and callers had no other one to ask.
"""

import io
import threading
import time
import unittest

import pykka

from cardamomdeal.entry import messages
from cardamomdeal.internal import address
from cardamomdeal.internal import deferred
from cardamomdeal.platform import applications
from cardamomdeal.platform import wire
from tests.history import test_changes_reach_hosts

FOUND = messages.Addresses((address.Address('10.0.0.1', 80),), 2_000)
NOTHING = messages.Addresses((), 2_000)


class StartingHost(pykka.ThreadingActor):
    """Synchronizer that has its first view after a while, or never."""

    def __init__(self, delay_s):
        super().__init__()
        self._delay_s = delay_s

    def on_receive(self, message):
        match message:
            case messages.FindAddresses():
                return NOTHING
            case messages.AwaitAddresses(_, awaited):
                if self._delay_s is not None:
                    threading.Timer(
                        self._delay_s, awaited.set, (FOUND,)
                    ).start()
        return None


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(pykka.ActorRegistry.stop_all)

    def look_up(self, application):
        statuses = []
        environ = {
            'REQUEST_METHOD': 'GET',
            'PATH_INFO': wire.RESOLVE_PATH,
            'QUERY_STRING': 'zone=a',
            'wsgi.input': io.BytesIO(),
        }
        application(environ, lambda status, _: statuses.append(status[:3]))
        return statuses[0]

    def test_addresses_are_awaited(self):
        application = applications.DirectoryApplication(
            StartingHost.start(0.1)
        )
        self.assertEqual('200', self.look_up(application))

    def test_look_up_ends_soon_enough_to_ask_another_directory(self):
        application = applications.DirectoryApplication(
            StartingHost.start(None)
        )
        started_s = time.monotonic()
        with self.assertLogs('cardamomdeal.platform.applications'):
            self.assertEqual('503', self.look_up(application))
        # Callers allow one second for each directory.
        self.assertLess(time.monotonic() - started_s, 1)

    def test_few_look_ups_wait_at_once(self):
        application = applications.DirectoryApplication(
            StartingHost.start(None)
        )
        count = 4 * applications.MAX_WAITING_LOOKUPS
        threads = [
            threading.Thread(target=self.look_up, args=(application,))
            for _ in range(count)
        ]
        with self.assertLogs('cardamomdeal.platform.applications'):
            for thread in threads:
                thread.start()
            time.sleep(applications.FIRST_VIEW_TIMEOUT_MS / 2_000)
            waiting = sum(thread.is_alive() for thread in threads)
            for thread in threads:
                thread.join()
        self.assertLessEqual(waiting, applications.MAX_WAITING_LOOKUPS)

    def test_first_view_answers_what_is_awaited(self):
        fleet = test_changes_reach_hosts.Fleet(4, 2, 5)
        restarted = fleet.restart(fleet.hosts[3])
        lookup = messages.FindAddresses('a-0')
        self.assertFalse(restarted.synchronizer.receive(lookup).addresses)
        awaited = deferred.Deferred()
        restarted.synchronizer.receive(messages.AwaitAddresses('a-0', awaited))
        fleet.events.run(applications.FIRST_VIEW_TIMEOUT_MS)
        self.assertTrue(awaited.close().addresses)


if __name__ == '__main__':
    unittest.main()
