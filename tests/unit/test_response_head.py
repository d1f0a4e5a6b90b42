"""Heads of responses: how a body ends, and corrupt bytes."""

import io
import random
import string
import unittest

from cardamomdeal.backend import errors
from cardamomdeal.backend import response_head
from tests import broken_answers

HEADS = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nName: a value\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204\r\nX:\r\n\r\n',
)
SEED = 7
FRAMING_NAMES = (b'Content-Length', b'Transfer-Encoding')
TOKEN_BYTES = (
    string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~"
).encode()
TAB = ord('\t')
CONTROL_BYTES = [*range(0x20), 0x7F]


class CheckLinesTest(unittest.TestCase):
    def check(self, head):
        response_head.check_lines(io.BytesIO(head))

    def test_head_passes(self):
        for head in HEADS:
            self.check(head)

    def test_control_byte_in_place_of_any_byte_is_refused(self):
        for head in HEADS:
            for offset, original in enumerate(head):
                for byte in CONTROL_BYTES:
                    if byte in (original, TAB):
                        continue
                    corrupt = bytearray(head)
                    corrupt[offset] = byte
                    with (
                        self.subTest(head=bytes(corrupt)),
                        self.assertRaises(errors.AnswerBroken),
                    ):
                        self.check(corrupt)

    def test_blank_in_place_of_any_byte_of_a_name_is_refused(self):
        for name in (b'Content-Length', b'X'):
            for offset in range(len(name) + 1):
                for blank in (b' ', b'\t'):
                    for line in (
                        name[:offset] + blank + name[offset + 1 :] + b': 4',
                        name[:offset] + blank + name[offset:] + b': 4',
                    ):
                        with (
                            self.subTest(line=line),
                            self.assertRaises(errors.AnswerBroken),
                        ):
                            self.check(
                                b'HTTP/1.1 200 OK\r\n' + line + b'\r\n\r\n'
                            )


class CorruptedFramingTest(unittest.TestCase):
    """The name of the length was corrupted, and a cut body looked whole."""

    def assert_refused(self, name):
        line = name + b': 4\r\n'
        with self.subTest(line=line), self.assertRaises(errors.AnswerBroken):
            response_head.check_lines_without_framing((line,))

    def test_one_corrupted_byte_is_recognised(self):
        for name in FRAMING_NAMES:
            for offset in range(len(name)):
                self.assert_refused(name[:offset] + name[offset + 1 :])
                for byte in range(256):
                    changed = bytes((byte,))
                    self.assert_refused(
                        name[:offset] + changed + name[offset + 1 :]
                    )
                    self.assert_refused(
                        name[:offset] + changed + name[offset:]
                    )

    def test_two_corrupted_bytes_are_recognised(self):
        rng = random.Random(SEED)
        for name in FRAMING_NAMES * 2_000:
            corrupt = bytearray(name)
            for _ in range(2):
                offset = rng.randrange(len(corrupt))
                byte = rng.choice(TOKEN_BYTES)
                match rng.randrange(3):
                    case 0:
                        corrupt[offset] = byte
                    case 1:
                        corrupt.insert(offset, byte)
                    case 2:
                        del corrupt[offset]
            if not corrupt.endswith(b'-' + name):
                self.assert_refused(bytes(corrupt))

    def test_other_names_pass(self):
        for line in broken_answers.NAMES_LIKE_LENGTH:
            response_head.check_lines_without_framing((line + b'\r\n',))

    def test_lines_of_the_final_head(self):
        for head in HEADS:
            lines = io.BytesIO(head).readlines()
            final = head.removesuffix(b'\r\n').rpartition(b'\r\n\r\n')[2]
            self.assertEqual(final, b''.join(response_head.final_head(lines)))


class FramingTest(unittest.TestCase):
    def test_framing(self):
        for lengths, codings, framing in (
            ((), (), response_head.UntilClose()),
            (('4',), (), response_head.FixedLength(4)),
            (('0',), (), response_head.FixedLength(0)),
            (('4', ' 4'), (), response_head.FixedLength(4)),
            ((), ('chunked',), response_head.Chunked()),
            ((), (' CHUNKED\t',), response_head.Chunked()),
        ):
            with self.subTest(lengths=lengths, codings=codings):
                self.assertEqual(
                    framing, response_head.parse_framing(lengths, codings)
                )

    def test_unclear_framing_is_refused(self):
        for lengths, codings in (
            (('',), ()),
            (('\u0664',), ()),
            (('\xb2',), ()),
            (('4\n',), ()),
            (('4', ''), ()),
            (('4,4',), ()),
            (('9' * 19,), ()),
            ((), ('',)),
            ((), ('chunked', 'chunked')),
            ((), ('identity',)),
            (('4',), ('chunked',)),
            (('',), ('chunked',)),
        ):
            with (
                self.subTest(lengths=lengths, codings=codings),
                self.assertRaises(errors.AnswerBroken),
            ):
                response_head.parse_framing(lengths, codings)


if __name__ == '__main__':
    unittest.main()
