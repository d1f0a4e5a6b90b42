"""Heads of responses: how a body ends, and corrupt bytes."""

import io
import unittest

from cardamomdeal.backend import errors
from cardamomdeal.backend import response_head

HEADS = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\nName: a value\r\n\r\n',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204\r\nX:\r\n\r\n',
)
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
