"""Tests of the message codec: round trips and rejection of bad input."""

import random
import unittest
import zlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
from returns.pipeline import is_successful

from cardamomdeal.fleet import fragments
from cardamomdeal.protocol import codec
from cardamomdeal.protocol import errors
from cardamomdeal.protocol import messages
from cardamomdeal.protocol import packing

OFFER = messages.DocumentOffer(messages.Head(3, 'digest'), b'{}')
REPORT = messages.EvidenceReport(
    reporter='entry-1',
    data_centre='a',
    service='lager',
    asked_at_ms=5,
    evidence=(messages.ServerEvidence('s', 'k', 1, 2, 3, (0, 1)),),
)


OUTLINE = messages.Outline(
    messages.StoreChanges(
        'entry-1', 2, 3, 0, (messages.StoreEntry('op/config', b'', 3),)
    ),
    (messages.LargeValue(0, b'd' * 32, 70_000),),
)


class CodecTest(unittest.TestCase):
    def test_messages_round_trip(self) -> None:
        fragment = messages.Fragment(b'd' * 32, 2, b'x' * 16_000)
        for message in (
            OFFER,
            REPORT,
            OUTLINE,
            fragment,
            messages.FragmentRequest(b'd' * 32, 2),
            messages.StopGateway(),
        ):
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

    def test_invalid_fragments_are_rejected(self) -> None:
        for message in (
            messages.FragmentRequest(b'd' * 31, 0),
            messages.FragmentRequest(b'd' * 32, -1),
            messages.Fragment(b'd' * 32, 0, b'x' * 70_000),
            messages.Outline(
                OUTLINE.message, (messages.LargeValue(-1, b'd' * 32, 5),)
            ),
        ):
            with self.subTest(message=message):
                failed = codec.decode(codec.encode(message))
                self.assertFalse(is_successful(failed))

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


class PackingTest(unittest.TestCase):
    def test_largest_value_round_trips(self) -> None:
        value = random.Random(1).randbytes(packing.MAX_VALUE_BYTES)
        packed = packing.pack(value)
        self.assertLess(len(packed.data), fragments.MAX_PACKED_BYTES)
        self.assertEqual(value, packing.unpack(packed).unwrap())

    def test_damaged_value_is_rejected(self) -> None:
        packed = packing.pack(b'value' * 1_000)
        for data in (packed.data[:-9], b'', b'y' + packed.data[1:]):
            with self.subTest(data=data):
                damaged = packing.PackedValue(packed.digest, data)
                self.assertFalse(is_successful(packing.unpack(damaged)))
        other = packing.PackedValue(b'd' * 32, packed.data)
        self.assertFalse(is_successful(packing.unpack(other)))

    def test_value_above_the_size_limit_is_rejected(self) -> None:
        # Few fragments must not fill the memory.
        packed = packing.pack(b'x' * 10 * packing.MAX_VALUE_BYTES)
        failure = packing.unpack(packed).failure()
        self.assertIsInstance(failure, errors.MessageTooLarge)
