"""Clients without progress are given up when they hold too much together."""

import unittest

from cardamomdeal.internal import slow_clients

LONG_MS = slow_clients.MIN_WAIT_MS


def choose(clients, max_held_bytes=100):
    return slow_clients.choose_given_up(
        [slow_clients.SlowClient(*client) for client in clients],
        max_held_bytes,
    )


class SlowClientsTest(unittest.TestCase):
    def test_none_is_given_up_while_memory_is_left(self):
        self.assertEqual([], choose([(50, LONG_MS), (50, 10 * LONG_MS)]))

    def test_longest_wait_goes_first_and_no_more_than_needed(self):
        clients = [(40, LONG_MS), (40, 3 * LONG_MS), (0, 9 * LONG_MS)]
        clients += [(40, 2 * LONG_MS)]
        self.assertEqual([1], choose(clients))
        self.assertEqual([1, 3], choose(clients, 50))

    def test_clients_with_progress_are_never_given_up(self):
        self.assertEqual([], choose([(90, LONG_MS - 1)] * 9))


if __name__ == '__main__':
    unittest.main()
