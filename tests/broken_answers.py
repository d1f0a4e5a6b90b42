"""Malformed answers of a backend server, for tests."""

from cardamomdeal.platform import wire

# Values that `int` accepts, such as `+4`, are no lengths either.
INVALID_LENGTHS = (
    b'Content-Length: x',
    b'Content-Length: 4x',
    b'Content-Length: -4',
    b'Content-Length: +4',
    b'Content-Length: 0x4',
    b'Content-Length: 1_0',
    b'Content-Length: 4 4',
    b'Content-Length: 4;4',
    b'Content-Length: 4.0',
    b'Content-Length:',
    b'Content-Length: ' + b'9' * 5_000,
    b'Content-Length: 4\r\nContent-Length: x',
    b'Content-Length: 4\r\nContent-Length: 5',
)
# With a body in chunks.
INVALID_CODINGS = (
    b'Transfer-Encoding: chunke',
    b'Transfer-Encoding: chunked, chunked',
    b'Transfer-Encoding: gzip',
    b'Transfer-Encoding: gzip, chunked',
    b'Transfer-Encoding:',
    b'Transfer-Encoding: chunked\r\nTransfer-Encoding: x',
    b'Content-Length: 4\r\nTransfer-Encoding: chunked',
)
VALID_LENGTHS = (
    b'Content-Length: 4',
    b'Content-Length: \t 004 \t',
    b'content-length:4',
    b'Content-Length: 4\r\nContent-Length: 4',
)
# The name is corrupted to another valid one.
MISSPELT_CODINGS = (
    b'Xransfer-Encoding: chunked',
    b'Transfer_Encoding: chunked',
    b'Transfer-Encodin: chunked',
    b'T.ansfer-Encoding:\tChunked ',
)
# The name, or the end of the line before it, is corrupted, and the line can
# still be a field.
MISSPELT_LENGTHS = (
    b'Xontent-Length: 4',
    b'Content_Length: 4',
    b'ontent-Length: 4',
    b'CContent-Length: 4',
    b'Content-Lengt: 4',
    b'Content-Lengh: 4',
    b'Content-Lenght: 4',
    b'Content-Leng: 4',
    b'Content:Length: 4',
    b'Content-L:ength: 4',
    b'X:ontent-Length: 4',
    b'C.ntent-Leng~h: 4',
    b'X: 1xxContent-Length: 4',
    b'X: 1Content-Length: 4',
    b'X: 1\r\n ontent-Length; 4',
    # With a body that is not in chunks.
    b'Transfer:Encoding: chunked',
    b'Transfer-E:ncoding: chunked',
    b'Xransfer-Encoding: xhunked',
)
# Answers with more bytes than their head states.
EXCEEDED_LENGTHS = (
    (b'Content-Length: 4', b'bodyMORE'),
    (b'Content-Length: 4', b'body\n'),
    (b'Content-Length: 0', b'body'),
    (b'Content-Length: 4\r\nConnection: close', b'body\r\n'),
    # An empty line within the head.
    (b'Content-Length: 4\r\n', b'X: 1\r\n\r\nbody'),
    (b'Transfer-Encoding: chunked', b'4\r\nbody\r\n0\r\n\r\nMORE'),
)
# Bodies before which an empty line cuts off the rest of a head.
CUT_OFF_HEADS = (
    b'Content-Length: 4\r\n\r\nbody',
    b'X: 1\r\nContent-Length: 4\r\n\r\nbody',
    b'content-length:4\r\nX: 1\r\n\r\nbody',
    b'Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n',
)
# Bodies that are answers of their own, behind a head without a length.
SECOND_HEADS = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody',
    b'HTTP/1.1 200 OK\r\nX: 1\r\n\r\nbody',
    b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbody',
)
# Bodies of answers without a length that resemble heads.
BODIES_LIKE_HEADS = (
    b'Content-Length: 4',
    b'Content-Length: 4\r\nbody',
    b'Content-Type: text/plain\r\n\r\nbody',
    b'--x\r\nContent-Length: 4\r\n\r\nbody\r\n--x--\r\n',
    b'HTTP/1.1 200 OK\r\nbody\r\n\r\n',
    b'HTTP/1.1 200 OK',
    b'GET / HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody',
    b'\r\n\r\nContent-Length: 4\r\n\r\n',
)
# Other names of answers without a length.
NAMES_LIKE_LENGTH = (
    b'X-Content-Length: 4',
    b'X-Original-Content-Length: 4',
    b'Content-Language: en',
    b'Content-Encoding: identity',
    b'Content-Location: /',
    b'Accept-Encoding: gzip',
    b'Access-Control-Expose-Headers: Content-Length, Transfer-Encoding',
)
VALID_CODINGS = (
    b'Transfer-Encoding: chunked',
    b'transfer-encoding:\tChunked ',
)
# Lines of a head that are no fields.
MALFORMED_LINES = (
    b'no field',
    b'Content-Length 4',
    b'Content-Length; 4',
    b': 4',
    b' Content-Length: 4',
    b'\tContent-Length: 4',
    b'no field\r\nContent-Length: 4',
    b'no field\nContent-Length: 4',
    b'Content-Length: 4\r\nno field',
    b'Content-Length: 4\r\n: 4',
    b'Content-Length: 4\r\nX: 1\r\n 2\x00',
    b'Content-Length: 4\r\nX: 1\r\n Y: 2',
    b'Content-Length: 4\r\nX: 1\r\n 2\r\n\tY:',
    b'Content-Length: 4\r\n 4',
    b'Content-Length:\r\n 4',
)
# Fields that go on on a second line, which is obsolete and still valid.
FOLDED_FIELDS = {
    b'X: 1\r\n 2': '1 2',
    b'X: 1\r\n\t 2\r\n  3': '1 2 3',
    b'X:\r\n 1': '1',
    b'X: 1\r\n ': '1',
    b'X: 12:30\r\n (12:30): x': '12:30 (12:30): x',
}
# Names with bytes that no name may hold.
MALFORMED_NAMES = (
    b'Content-Length : 4',
    b'Content-Length\t: 4',
    b'Content Length: 4',
    b'Content\x00Length: 4',
    b'Content-Length\x01: 4',
    b'\x00Content-Length: 4',
    b'Content\rLength: 4',
    b'Content-Length\x7f: 4',
    b'Content-Length\xa0: 4',
    b'\xc3ontent-Length: 4',
    b'Content(Length: 4',
    b'"Content-Length": 4',
    b'Transfer-Encoding : chunked',
    b'Content-Length: 4\r\nX : 1',
    b'Content-Length: 4\r\nX y: 1',
    b'Content-Length: 4\r\nX\x00y: 1',
    b'Content-Length: 4\r\nX\x1f: 1',
    b'Content-Length: 4\r\nFrom y: 1',
)
# Whole answers in which a line feed without a carriage return ends a line.
BARE_LINE_FEEDS = (
    b'HTTP/1.1 200 O\n\r\nContent-Length: 4\r\n\r\nbody',
    b'HTTP/1.1 200 OK\n\nContent-Length: 4\r\n\r\nbody',
    b'HTTP/1.1 200 OK\r\n\nContent-Length: 4\r\n\r\nbody',
    b'HTTP/1.1 200 OK\nContent-Length: 4\r\n\r\nbody',
    b'HTTP/1.1 200 OK\r\nX:\n\nContent-Length: 4\r\n\r\nbody',
    b'HTTP/1.1 200 OK\r\nX: \nContent-Length: 4\r\n\r\nbody',
    b'HTTP/1.1 200 OK\r\nContent-Length: 4\n\r\nbody',
    b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\n\nbody',
    b'HTTP/1.1 200 OK\nContent-Length: 4\n\nbody',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'4\nbody\r\n0\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'4\r\nbody\r\n0\r\nX: 1\n\r\n',
)
# The HTTP library refuses these.
INVALID_STATUSES = (
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 000',
    b'HTTP/1.1 0 OK',
    b'HTTP/1.1 099 OK',
    b'HTTP/1.1 20 OK',
    b'HTTP/1.1 2000 OK',
    b'HTTP/1.1 -200 OK',
    b'HTTP/1.1 2O0 OK',
    b'HTTP/1.1 OK',
    b'HTTP/1.1',
    b'HTTP/2.0 200 OK',
    b'http/1.1 200 OK',
)
# The HTTP library accepts these.
MALFORMED_STATUS_LINES = (
    b'HTTP/1.1 +200 OK',
    b'HTTP/1.1 0200 OK',
    b'HTTP/1.1  200 OK',
    b'HTTP/1.1\t200 OK',
    b' HTTP/1.1 200 OK',
    b'HTTP/1.1 200\x0bOK',
    b'HTTP/1.1 200 O\x00K',
    b'HTTP/1.1 200 O\rK',
    b'HTTP/1.1 600 OK',
    b'HTTP/1.1 999 OK',
    b'HTTP/1.1 101 OK',
    b'HTTP/1.1 103 OK',
    b'HTTP/1. 200 OK',
    b'HTTP/1.x 200 OK',
    b'HTTP/1.1x 200 OK',
    b'HTTP/1.1\x00 200 OK',
)
# The first digit of the status of a failure is corrupted.
FAILURES_AS_SUCCESSES = (
    b'HTTP/1.1 200 Internal Server Error',
    b'HTTP/1.1 200 internal server error',
    b'HTTP/1.1 203 Service Unavailable',
    b'HTTP/1.1 204 Not Found',
    b'HTTP/1.1 204 Gateway Timeout',
    b'HTTP/1.1 202 Bad Gateway',
    b'HTTP/1.1 204 Not Modified',
)
# Values with bytes that no value may hold.
MALFORMED_VALUES = (
    b'X: 1\rContent-Length: 2',
    b'Content-Length: 4\r\nX: 1\rY: 2',
    b'Content-Length: 4\r\nX: 1\r',
    b'Content-Length: 4\r\nX: \x00',
    b'Content-Length: 4\r\nX: 1\x01',
    b'Content-Length: 4\r\nX: \x0b1',
    b'Content-Length: 4\r\nX:\x7f',
)
MALFORMED_CHUNKS = (
    # A chunk that is longer than its size.
    b'4\r\nbodyXX0\r\n\r\n',
    b'2\r\nbody0\r\n\r\n',
    b'4\r\nbody\n\n0\r\n\r\n',
    # A size that is none.
    b'+4\r\nbody\r\n0\r\n\r\n',
    b'-4\r\nbody\r\n0\r\n\r\n',
    b'0x4\r\nbody\r\n0\r\n\r\n',
    b'0_4\r\nbody\r\n0\r\n\r\n',
    b'4\r\nbody\r\n-0\r\n\r\n',
    b'4\r\nbody\r\n0_0\r\n\r\n',
    b'4\r\nbody\r\n\r\n',
    # A chunk whose size was corrupted to that of the last one.
    b'4\r\nbody\r\n0\r\nmore\r\n0\r\n\r\n',
    b'4\r\nbody\r\n0\r\n more: 1\r\n\r\n',
)
VALID_CHUNKS = (
    b'4\r\nbody\r\n0\r\n\r\n',
    b'1\r\nb\r\n003\r\nody\r\n000\r\n\r\n',
    b'4;name=value\r\nbody\r\n0 ;x\r\n\r\n',
    b'4  \r\nbody\r\n0\r\nName: value\r\nX:\r\n\r\n',
    b'2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n',
)
# Headers that only inform the host; their value is ignored.
ODD_LOADS = (
    b'Backend-Load: 1/\xb2',
    b'Backend-Load: \xb2/3',
    b'Backend-Load: 1/' + b'9' * 5_000,
    b'Backend-Load: ' + b'9' * 5_000 + b'/3',
    b'Backend-Load: 1/',
    b'Backend-Load: /',
    b'Backend-Load: -1/3',
    b'Backend-Load: 1/3/3',
)
CHUNKED_BODY = b'4\r\nbody\r\n0\r\n\r\n'


def answer(fields, status_line=b'HTTP/1.1 200 OK', body=b'body'):
    """Return an answer that its server signs, with the given fields."""
    return b'\r\n'.join(
        (status_line, f'{wire.SIGNATURE}: s'.encode(), fields, b'', body)
    )
