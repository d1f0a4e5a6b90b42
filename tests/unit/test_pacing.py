"""Large datagrams are spread over time."""

import unittest

from cardamomdeal.channels import pacing
from cardamomdeal.internal import address

TARGET = address.Address('192.0.2.1', 7_200)
LINK_MBPS = 10.0
# Half of the link carries 625 bytes in a millisecond.
LARGE = b'x' * 6_250


class PacedQueueTest(unittest.TestCase):
    """A change sent to all hosts at once overflowed the queue of the link."""

    def setUp(self):
        self.queue = pacing.PacedQueue(LINK_MBPS)

    def test_short_message_is_not_queued(self):
        self.assertFalse(self.queue.put(b'x', TARGET))
        self.assertIsNone(self.queue.delay_ms(0))

    def test_large_message_is_not_queued_if_the_link_is_unknown(self):
        self.assertFalse(pacing.PacedQueue(0).put(LARGE, TARGET))

    def test_share_of_the_link_is_not_exceeded(self):
        for _ in range(100):
            self.assertTrue(self.queue.put(LARGE, TARGET))
        sent = 0
        for now_ms in range(0, 501):
            sent += len(self.queue.pop_ready(now_ms))
            self.assertLessEqual(sent * 10, now_ms + 2 * 10)
        self.assertGreaterEqual(sent, 50)

    def test_delay_until_the_next_datagram(self):
        for _ in range(2):
            self.queue.put(LARGE, TARGET)
        self.assertEqual(0, self.queue.delay_ms(0))
        self.assertEqual(1, len(self.queue.pop_ready(0)))
        self.assertEqual(10 - pacing.MAX_BURST_MS, self.queue.delay_ms(0))
        self.assertEqual(1, len(self.queue.pop_ready(10)))
        self.assertIsNone(self.queue.delay_ms(10))

    def test_order_is_kept(self):
        messages = [LARGE + bytes([n]) for n in range(9)]
        for message in messages:
            self.queue.put(message, TARGET)
        sent = [data for data, _ in self.queue.pop_ready(0)]
        for now_ms in range(1, 200):
            sent += [data for data, _ in self.queue.pop_ready(now_ms)]
        self.assertEqual(messages, sent)

    def test_full_queue_drops_and_logs(self):
        for _ in range(pacing.MAX_QUEUED_DATAGRAMS):
            self.queue.put(LARGE, TARGET)
        with self.assertLogs(pacing.log, 'WARNING'):
            self.assertTrue(self.queue.put(LARGE, TARGET))
