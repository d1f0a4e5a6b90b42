"""Tests of the message codec: round trips and rejection of bad input."""

import unittest
import zlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
from returns.pipeline import is_successful

from cardamomdeal.protocol import codec
from cardamomdeal.protocol import errors
from cardamomdeal.protocol import messages

OFFER = messages.DocumentOffer(messages.Head(3, 'digest'), b'{}')
REPORT = messages.EvidenceReport(
    reporter='entry-1',
    data_centre='a',
    service='lager',
    asked_at_ms=5,
    evidence=(messages.ServerEvidence('s', 'k', 1, 2, 3, (0, 1)),),
)


class CodecTest(unittest.TestCase):
    def test_messages_round_trip(self) -> None:
        for message in (OFFER, REPORT, messages.StopGateway()):
            with self.subTest(message=message):
                decoded = codec.decode(codec.encode(message)).unwrap()
                self.assertEqual(message, decoded)

    def test_revisions_without_an_era_are_rejected(self) -> None:
        # A host without eras in its revisions would take those of a host with
        # them for far newer, and ignore the store from then on.
        data = msgspec.msgpack.encode(
            [
                1,
                {
                    'type': 'StoreProgress',
                    'host': 'h',
                    'revision': 7,
                    'age_ms': 0,
                },
            ]
        )
        failure = codec.decode(data).failure()
        self.assertIsInstance(failure, errors.InvalidMessage)
        progress = messages.StoreProgress('h', 7, 0)
        decoded = codec.decode(codec.encode(progress)).unwrap()
        self.assertEqual(progress, decoded)

    def test_other_protocol_version_is_rejected(self) -> None:
        data = msgspec.msgpack.encode([2, {'type': 'StopGateway'}])
        failure = codec.decode(data).failure()
        self.assertIsInstance(failure, errors.InvalidMessage)
        self.assertIn('version 2', str(failure))

    def test_oversized_message_is_rejected_on_encode_and_decode(
        self,
    ) -> None:
        oversized = messages.DocumentOffer(
            OFFER.head, b'x' * codec.MAX_MESSAGE_BYTES
        )
        with self.assertRaises(errors.MessageTooLarge):
            codec.encode(oversized)
        failure = codec.decode(b'x' * (codec.MAX_MESSAGE_BYTES + 1)).failure()
        self.assertIsInstance(failure, errors.MessageTooLarge)

    def test_long_message_is_compressed(self) -> None:
        message = messages.DocumentOffer(OFFER.head, b'{"name": 1}' * 1_000)
        data = codec.encode_compressed(message)
        self.assertLess(len(data), 1_000)
        self.assertEqual(message, codec.decode_compressed(data).unwrap())

    def test_compressed_message_above_the_size_limit_is_rejected(
        self,
    ) -> None:
        # A small datagram must not fill the memory.
        data = zlib.compress(b'x' * 100 * codec.MAX_MESSAGE_BYTES)
        failure = codec.decode_compressed(data).failure()
        self.assertIsInstance(failure, errors.MessageTooLarge)

    def test_damaged_compressed_message_is_rejected(self) -> None:
        data = codec.encode_compressed(
            messages.DocumentOffer(OFFER.head, b'{"name": 1}' * 1_000)
        )
        for damaged in (data[:-9], data[:20], data[:2] + b'\xff' * 9):
            with self.subTest(damaged=damaged):
                failed = codec.decode_compressed(damaged)
                self.assertFalse(is_successful(failed))

    @settings(max_examples=500, derandomize=True, database=None)
    @given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_are_rejected_without_exception(
        self, data: bytes
    ) -> None:
        self.assertFalse(is_successful(codec.decode(data)))

    @settings(max_examples=500, derandomize=True, database=None)
    @given(strategies.data())
    def test_corrupted_byte_raises_no_exception(
        self, data: strategies.DataObject
    ) -> None:
        encoded = bytearray(codec.encode(REPORT))
        index = data.draw(strategies.integers(0, len(encoded) - 1))
        encoded[index] ^= data.draw(strategies.integers(1, 255))
        codec.decode(bytes(encoded))
