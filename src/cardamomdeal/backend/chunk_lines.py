"""Lines between the chunks of a body, checked strictly (RFC 9112, 7.1)."""

import enum

from cardamomdeal.backend import errors
from cardamomdeal.backend import response_head
from cardamomdeal.internal import chunked_body


class _Expected(enum.Enum):
    """What the next line has to be."""

    FIRST_SIZE = enum.auto()
    SIZE = enum.auto()
    TRAILER = enum.auto()


class ChunkLines:
    """Checks the lines of one body in the order in which they arrive.

    The HTTP library skips the two bytes that follow a chunk, whatever they
    are, accepts what `int` accepts as a size, and ignores trailers.
    """

    def __init__(self) -> None:
        self._expected = _Expected.FIRST_SIZE

    def check(self, line: bytes, bytes_before: bytes) -> None:
        """Raise AnswerBroken if a line or the end of a chunk is malformed.

        The bytes before the line are the last ones that were read.
        """
        match self._expected:
            case _Expected.TRAILER:
                response_head.check_trailer(line)
                return
            case _Expected.SIZE if bytes_before != response_head.LINE_END:
                raise errors.AnswerBroken('a chunk is longer than its size')
        size = response_head.strip_line_end(line).partition(b';')[0].strip()
        if not chunked_body.CHUNK_SIZE_PATTERN.fullmatch(size):
            raise errors.AnswerBroken(
                f'{response_head.shorten(size)} is not the size of a chunk'
            )
        is_last = not int(size, 16)
        self._expected = _Expected.TRAILER if is_last else _Expected.SIZE
