"""Large values of other hosts arrive whole, within bounds of memory."""

import random
import unittest

from cardamomdeal.channels import datagrams
from cardamomdeal.entry import value_exchange
from cardamomdeal.fleet import fragments
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.platform import store
from cardamomdeal.protocol import codec
from cardamomdeal.protocol import messages as protocol

DIGEST = b'd' * 32
SIZE_BYTES = 4 * fragments.FRAGMENT_BYTES + 10
DATA = random.Random(1).randbytes(SIZE_BYTES)


class TransfersTest(unittest.TestCase):
    def setUp(self):
        self.transfers = fragments.Transfers()

    def add(self, digest, number, data=DATA):
        self.transfers.add(digest, number, fragments.cut(data, number))

    def test_few_fragments_are_under_way(self):
        # More would not fit the queue of a slow link.
        self.transfers.offer(DIGEST, SIZE_BYTES, 0)
        requested = self.transfers.request(0)
        self.assertEqual([(DIGEST, 0), (DIGEST, 1)], requested)
        self.assertEqual([], self.transfers.request(0))
        self.add(DIGEST, 1)
        self.assertEqual([(DIGEST, 2)], self.transfers.request(5))

    def test_value_is_whole_in_any_order(self):
        self.transfers.offer(DIGEST, SIZE_BYTES, 0)
        for number in (4, 0, 2, 2, 3):
            self.add(DIGEST, number)
            self.assertIsNone(self.transfers.whole(DIGEST))
        self.add(DIGEST, 1)
        self.assertEqual(DATA, self.transfers.whole(DIGEST))

    def test_lost_fragments_are_requested_again(self):
        self.transfers.offer(DIGEST, SIZE_BYTES, 0)
        first = self.transfers.request(0)
        now_ms = fragments.FRAGMENT_TIMEOUT_MS
        self.assertEqual([], self.transfers.request(now_ms - 1))
        self.assertEqual(first, self.transfers.request(now_ms))

    def test_fragment_that_others_overtake_is_requested_again(self):
        # A few lost fragments held up a change for seconds.
        self.transfers.offer(DIGEST, SIZE_BYTES, 0)
        self.transfers.request(0)
        self.add(DIGEST, 1)
        later_ms = fragments.MAX_REORDERING_MS + 1
        self.assertEqual([(DIGEST, 2)], self.transfers.request(later_ms))
        self.add(DIGEST, 2)
        self.assertEqual(
            [(DIGEST, 0), (DIGEST, 3)], self.transfers.request(later_ms + 20)
        )

    def test_odd_fragments_are_ignored(self):
        # A host of another version may cut values differently.
        self.transfers.offer(DIGEST, SIZE_BYTES, 0)
        for number, data in ((0, b''), (5, b''), (-1, DATA), (4, DATA[:11])):
            self.transfers.add(DIGEST, number, data)
        self.transfers.add(b'e' * 32, 0, DATA[: fragments.FRAGMENT_BYTES])
        for number in range(4):
            self.add(DIGEST, number)
        self.assertIsNone(self.transfers.whole(DIGEST))

    def test_too_large_or_too_many_values_are_refused(self):
        # Nothing bounded what a host kept for other hosts.
        too_large_bytes = fragments.MAX_PACKED_BYTES + 1
        self.assertFalse(self.transfers.offer(DIGEST, too_large_bytes, 0))
        self.assertFalse(self.transfers.offer(DIGEST, 0, 0))
        for number in range(fragments.MAX_TRANSFERS):
            digest = bytes([number]) * 32
            self.assertTrue(self.transfers.offer(digest, SIZE_BYTES, 0))
        self.assertFalse(self.transfers.offer(DIGEST, SIZE_BYTES, 100))

    def test_wanted_value_takes_the_place_of_one_that_is_out_of_date(self):
        # A host whose configuration changes often got none of the last ones.
        digests = [
            bytes([number]) * 32 for number in range(fragments.MAX_TRANSFERS)
        ]
        for digest in digests:
            self.transfers.offer(digest, SIZE_BYTES, 0)
        for number in range(5):
            self.add(digests[1], number)
        self.assertTrue(self.transfers.offer(DIGEST, SIZE_BYTES, 100))
        self.assertIsNone(self.transfers.whole(digests[1]))
        now_ms = fragments.REPEATED_OFFER_MS + 1
        self.transfers.offer(digests[0], SIZE_BYTES, now_ms)
        wanted = b'e' * 32
        self.assertTrue(self.transfers.offer(wanted, SIZE_BYTES, now_ms + 1))
        self.assertEqual(
            [(wanted, 0), (wanted, 1)], self.transfers.request(now_ms + 1)
        )

    def test_value_that_nobody_offers_is_forgotten(self):
        self.transfers.offer(DIGEST, SIZE_BYTES, 0)
        self.transfers.request(0)
        now_ms = fragments.OFFER_TIMEOUT_MS + 1
        self.assertEqual([], self.transfers.request(now_ms))


class ValueExchangeTest(unittest.TestCase):
    """One host sends a value of 1 MiB that does not shrink to another."""

    def setUp(self):
        self.value = random.Random(2).randbytes(1024**2)
        self.addresses = [address.Address('10.0.0.1', n) for n in (1, 2)]
        self.sender, self.receiver = (
            value_exchange.ValueExchange(name, random.Random(3))
            for name in ('a', 'b')
        )
        self.changes = protocol.StoreChanges(
            'a',
            2,
            4,
            100,
            (
                protocol.StoreEntry('servers/i-1', b'{}', 3),
                protocol.StoreEntry('op/config', self.value, 4),
            ),
        )
        self.items = (store.Item('op/config', self.value, 4),)

    def deliver(self, sends, now_ms, damage=lambda fragment: fragment):
        """Answer requests until there are no more."""
        while sends:
            request = sends.pop(0).message
            for answer in self.sender.answer(
                self.addresses[1], request, self.items
            ):
                self.assertLess(
                    len(codec.encode_compressed(answer.message)),
                    datagrams.MAX_DATAGRAM_BYTES,
                )
                sends += self.receiver.receive(
                    self.addresses[0], damage(answer.message), now_ms
                )

    def test_message_arrives_whole_and_with_its_age(self):
        # A view that took long to arrive must not count as confirmed.
        outline = self.sender.outline(self.changes)
        self.assertLess(len(codec.encode(outline)), 1_000)
        sends = self.receiver.expect(self.addresses[0], outline, 1_000)
        self.assertEqual([], self.receiver.pop_whole(1_000))
        self.deliver(sends, 1_800)
        (received,) = self.receiver.pop_whole(1_800)
        self.assertEqual(self.addresses[0], received.sender)
        self.assertEqual(self.changes.entries, received.part.entries)
        self.assertEqual(900, received.part.age_ms)
        self.assertEqual([], self.receiver.pop_whole(1_800))

    def test_damaged_value_is_received_again(self):
        outline = self.sender.outline(self.changes)
        sends = self.receiver.expect(self.addresses[0], outline, 0)
        self.deliver(
            sends,
            10,
            lambda fragment: protocol.Fragment(
                fragment.digest, fragment.number, fragment.data[::-1]
            ),
        )
        with self.assertLogs(value_exchange.log, 'WARNING'):
            self.assertEqual([], self.receiver.pop_whole(10))
        self.deliver(self.receiver.expect(self.addresses[0], outline, 20), 20)
        self.assertEqual(1, len(self.receiver.pop_whole(20)))

    def test_any_host_that_has_the_value_can_send_it(self):
        # The two hosts that read the store would send it to all others.
        outline = self.sender.outline(self.changes)
        self.sender = value_exchange.ValueExchange('c', random.Random(3))
        self.deliver(self.receiver.expect(self.addresses[0], outline, 0), 0)
        self.assertEqual(1, len(self.receiver.pop_whole(0)))

    def test_lost_request_goes_to_a_host_with_a_fast_link(self):
        far = address.Address('10.0.0.9', 9)
        self.receiver.set_hosts(
            (
                model.EntryHost('b', 1, 'r', 'p', far, far, 10_000.0),
                model.EntryHost('c', 1, 'r', 'p', far, far, 200.0),
            )
        )
        outline = self.sender.outline(self.changes)
        sends = self.receiver.expect(self.addresses[0], outline, 0)
        again = self.receiver.repeat_lost(fragments.FRAGMENT_TIMEOUT_MS)
        self.assertEqual([far], list({s.to[0] for s in again}))
        self.assertEqual(
            [s.message for s in sends], [s.message for s in again]
        )

    def test_message_that_fits_a_datagram_is_sent_as_it_is(self):
        entry = protocol.StoreEntry('op/config', b'{"a": 1}' * 20_000, 4)
        changes = protocol.StoreChanges('a', 2, 4, 0, (entry,))
        self.assertIs(changes, self.sender.outline(changes))
