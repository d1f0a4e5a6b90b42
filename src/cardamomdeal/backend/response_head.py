"""Heads of responses, checked strictly (RFC 9112).

The HTTP library skips what it cannot parse, and would then take other bytes
for the body than the server meant.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import http
import re

from cardamomdeal.backend import errors

# Limit of what an error quotes from a response.
MAX_SHOWN_LENGTH = 32
LINE_END = b'\r\n'
# Interim responses (1xx) precede a final one.
FINAL_STATUSES = range(200, 600)
SUCCESS_STATUSES = range(200, 300)
_FAILURES = frozenset(
    status.phrase.lower()
    for status in http.HTTPStatus
    if status not in SUCCESS_STATUSES
)
NO_CONTENT_STATUS = 204
STATUSES_WITHOUT_BODY = frozenset({NO_CONTENT_STATUS, 304})
# Text of reason phrases and values: no control characters but tabs. The
# library ends a line at a carriage return anywhere in it.
_TEXT = rb'[\t\x20-\x7e\x80-\xff]*'
_STATUS_LINE = re.compile(rb'HTTP/1\.[0-9] [0-9]{3}(?: ' + _TEXT + rb')?')
_RESPONSE_START = b'HTTP/'
_FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + _TEXT)
# A line that begins with a blank continues the field before it.
_CONTINUATION = re.compile(rb'[ \t]+(' + _TEXT + rb')')
_LENGTH = re.compile(r'[0-9]{1,18}')
_FRAMING_FIELDS = (b'content-length:', b'transfer-encoding:')
# Names that end with one of a framing field, such as X-Content-Length, are
# used for other purposes.
_LONGER_NAME = re.compile(rb'[a-z]+-(?:content-length|transfer-encoding):')
_FRAMING_WITHIN_LINE = re.compile(
    rb'(?<!-)(?:content-length|transfer-encoding):'
)
# Bytes changed, inserted or missing in a name that is recognised all the same.
MAX_CORRUPTED_BYTES = 2
_BLANKS = ' \t'


@dataclasses.dataclass(frozen=True, slots=True)
class FixedLength:
    """The body has the stated length."""

    length_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Chunked:
    """The body is sent in chunks and ends with the last one."""


@dataclasses.dataclass(frozen=True, slots=True)
class UntilClose:
    """The body ends when the server closes the connection."""


Framing = FixedLength | Chunked | UntilClose


def check_lines(lines: Iterable[bytes]) -> None:
    """Raise AnswerBroken unless the lines of the heads are well-formed.

    They are the lines of a response's head and of the interim ones before it.
    """
    is_status_line = True
    has_field = False
    for line in lines:
        content = strip_line_end(line)
        if is_status_line:
            _check_status_line(content)
            is_status_line = has_field = False
        elif not content:
            is_status_line = True
        elif not (has_field and _is_continuation(content)):
            _check_field(content)
            has_field = True


def final_head(lines: Sequence[bytes]) -> Sequence[bytes]:
    """Return the lines of the last head, without the empty one."""
    start = 0
    for index, line in enumerate(lines[:-1], 1):
        if line == LINE_END:
            start = index
    return lines[start:-1]


def check_trailer(line: bytes) -> None:
    """Raise AnswerBroken unless the line is a trailer or ends them."""
    content = strip_line_end(line)
    if content:
        _check_field(content)


def strip_line_end(line: bytes) -> bytes:
    """Return a line without its end; raise AnswerBroken if it has none."""
    # A lone line feed may be a corrupted byte, and would end a head early.
    if not line.endswith(LINE_END):
        raise errors.AnswerBroken(f'{shorten(line)} does not end with CR LF')
    return line.removesuffix(LINE_END)


def check_status(status: int) -> None:
    """Raise AnswerBroken unless a final response may have this status."""
    if status not in FINAL_STATUSES:
        raise errors.AnswerBroken(f'{status} is no status of an answer')


def check_reason(status: int, reason: str) -> None:
    """Raise AnswerBroken if the reason of a success is that of a failure.

    The first digit of the status may be corrupted.
    """
    if status in SUCCESS_STATUSES and reason.strip().lower() in _FAILURES:
        raise errors.AnswerBroken(
            f'an answer {status} has the reason {shorten(reason)}'
        )


def check_body_is_allowed(status: int, framing: Framing) -> None:
    """Raise AnswerBroken if a status without a body states one.

    The status may be a corrupted one, and its body has not been read. A 304
    states the length of the body that it stands for.
    """
    match framing:
        case FixedLength(0) | UntilClose():
            pass
        case _ if status == NO_CONTENT_STATUS:
            raise errors.AnswerBroken(f'an answer {status} states a body')


def has_body(method: str, status: int) -> bool:
    """Return whether a body follows the head, whatever its fields state."""
    return method != 'HEAD' and status not in STATUSES_WITHOUT_BODY


def parse_framing(lengths: Sequence[str], codings: Sequence[str]) -> Framing:
    """Return how the body ends; raise AnswerBroken if that is not clear.

    The arguments are the values of Content-Length and Transfer-Encoding.
    """
    if codings:
        return _parse_codings(codings, lengths)
    if not lengths:
        return UntilClose()
    length, *others = {length.strip(_BLANKS) for length in lengths}
    if others:
        raise errors.AnswerBroken('the answer states two lengths')
    if not _LENGTH.fullmatch(length):
        raise errors.AnswerBroken(
            f'Content-Length: {shorten(length)} is not a number of bytes'
        )
    return FixedLength(int(length))


def check_values_without_framing(values: Iterable[str]) -> None:
    """Raise AnswerBroken if the name of the transfer coding is corrupted.

    The values are those of a head that states neither a length nor a coding.
    The framing of the chunks would be delivered as a part of the body.
    """
    if any(_is_chunked(value) for value in values):
        raise errors.AnswerBroken(
            '"chunked" is the value of a header that is not Transfer-Encoding'
        )


def check_lines_without_framing(lines: Sequence[bytes]) -> None:
    """Raise AnswerBroken if a line is a corrupted framing field.

    The lines are those of a head that states neither a length nor a coding.
    A body that was cut would be delivered as complete.
    """
    for line in lines:
        if _has_corrupted_framing(line.lower()):
            raise errors.AnswerBroken(
                f'{shorten(line)} resembles the length or the transfer coding'
            )


def check_start_of_body(data: bytes) -> None:
    """Raise AnswerBroken if a body begins with a head or the rest of one.

    The body is one whose head states neither a length nor a coding, since an
    empty line or another head cut it off.
    """
    start, end, _ = data.partition(LINE_END + LINE_END)
    lines = start.split(LINE_END)
    has_status_line = _STATUS_LINE.fullmatch(lines[0]) is not None
    fields = lines[1:] if has_status_line else lines
    has_framing = any(
        line.lower().startswith(_FRAMING_FIELDS) for line in fields
    )
    if (
        end
        and (has_status_line or has_framing)
        and all(_FIELD_LINE.fullmatch(line) for line in fields)
    ):
        raise errors.AnswerBroken('an empty line or a head is within the head')


def check_trailing_bytes(data: bytes) -> None:
    """Raise AnswerBroken if the bytes after a response continue its body.

    The length may be corrupted to a smaller one. A copy of a response that
    follows belongs to no request, and leaves the one before it complete.
    """
    if not data.startswith(_RESPONSE_START[: len(data)]):
        raise errors.AnswerBroken(
            f'{shorten(data)} follows the end of the answer'
        )


def shorten(text: str | bytes) -> str:
    """Return the start of a part of a response, quoted for an error."""
    return repr(text[:MAX_SHOWN_LENGTH])


def _parse_codings(codings: Sequence[str], lengths: Sequence[str]) -> Chunked:
    if lengths:
        raise errors.AnswerBroken(
            'the answer states both a length and a transfer coding'
        )
    coding = ', '.join(codings)
    if not _is_chunked(coding):
        raise errors.AnswerBroken(
            f'Transfer-Encoding: {shorten(coding)} is not supported'
        )
    return Chunked()


def _is_chunked(value: str) -> bool:
    return value.strip(_BLANKS).lower() == 'chunked'


def _check_status_line(content: bytes) -> None:
    if not _STATUS_LINE.fullmatch(content):
        raise errors.AnswerBroken(f'{shorten(content)} is no status line')


def _is_continuation(content: bytes) -> bool:
    continuation = _CONTINUATION.fullmatch(content)
    # One that reads like a field may be a field whose start is corrupted.
    return continuation is not None and not _FIELD_LINE.fullmatch(
        continuation[1]
    )


def _check_field(content: bytes) -> None:
    if not _FIELD_LINE.fullmatch(content):
        raise errors.AnswerBroken(f'{shorten(content)} is no header')


def _has_corrupted_framing(line: bytes) -> bool:
    if _LONGER_NAME.match(line):
        return False
    # The end of the line before it may be corrupted instead of its name.
    return _FRAMING_WITHIN_LINE.search(line) is not None or any(
        _starts_like(line, field) for field in _FRAMING_FIELDS
    )


def _starts_like(line: bytes, field: bytes) -> bool:
    """Return whether a few edits turn a start of the line into the field."""
    start = line[: len(field) + MAX_CORRUPTED_BYTES]
    # Edits from each start of the field to the part of the line before.
    distances = list(range(len(field) + 1))
    fewest = distances[-1]
    for count, byte in enumerate(start, 1):
        previous = distances
        distances = [count]
        for index, expected in enumerate(field):
            distances.append(
                min(
                    previous[index] + (byte != expected),
                    previous[index + 1] + 1,
                    distances[index] + 1,
                )
            )
        fewest = min(fewest, distances[-1])
        if min(distances) > MAX_CORRUPTED_BYTES:
            break
    return fewest <= MAX_CORRUPTED_BYTES
