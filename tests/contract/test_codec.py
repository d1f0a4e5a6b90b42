"""Tests of the message codec: round trips and rejection of bad input."""

import unittest

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
