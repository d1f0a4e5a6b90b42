"""Bodies of requests that are sent in chunks."""

import re

from cheroot import makefile
from cheroot import server as cheroot_server

PART_BYTES = 64 * 1024
MAX_LINE_BYTES = 4 * 1024
MAX_TRAILER_BYTES = 16 * 1024
# Other forms that `int` accepts, such as signs, may be read as another number
# by the next server.
CHUNK_SIZE_PATTERN = re.compile(rb'[0-9A-Fa-f]{1,15}')


class ChunkedBody(cheroot_server.ChunkedRFile):
    """Body that is read in small parts, up to and including its end.

    The class of the library reads a chunk of any size at once, and leaves the
    trailers and the last line end of the body unread.
    """

    def __init__(self, stream: makefile.StreamReader) -> None:
        super().__init__(stream, maxlen=None, bufsize=PART_BYTES)
        self._unread_chunk_bytes = 0

    def _fetch(self) -> None:
        """Read the next part; raise ValueError if the body is malformed."""
        if self.closed:
            return
        if not self._unread_chunk_bytes:
            self._unread_chunk_bytes = self._read_chunk_size()
        if not self._unread_chunk_bytes:
            self._read_trailers()
            self.closed = True
            return
        part = self.rfile.read(min(self._unread_chunk_bytes, self.bufsize))
        if not part:
            raise ValueError('the body ends within a chunk')
        self.buffer += part
        self._unread_chunk_bytes -= len(part)
        if not self._unread_chunk_bytes and self._read_line():
            raise ValueError('a chunk is longer than its size')

    def _read_chunk_size(self) -> int:
        size = self._read_line().partition(b';')[0].strip()
        if not CHUNK_SIZE_PATTERN.fullmatch(size):
            raise ValueError(f'{size[:32]!r} is not the size of a chunk')
        return int(size, 16)

    def _read_trailers(self) -> None:
        """Discard the trailers; they are not forwarded."""
        trailer_bytes = 0
        while line := self._read_line():
            trailer_bytes += len(line)
            if trailer_bytes > MAX_TRAILER_BYTES:
                raise ValueError('the trailers are too long')

    def _read_line(self) -> bytes:
        line = self.rfile.readline(MAX_LINE_BYTES)
        if not line.endswith(cheroot_server.CRLF):
            raise ValueError('a line of the chunked body has no end')
        return line.removesuffix(cheroot_server.CRLF)
