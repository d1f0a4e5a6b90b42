"""Search for the ends of bodies in bytes that are received in parts."""

from cardamomdeal.internal import chunked_body

LINE_END = b'\r\n'


class LengthScan:
    """Finds the end of a body of known length."""

    def __init__(self, length_bytes: int) -> None:
        self.size_bytes = length_bytes
        self.is_malformed = False
        self._missing_bytes = length_bytes

    @property
    def is_done(self) -> bool:
        """Return whether the end was found."""
        return not self._missing_bytes

    def feed(self, data: bytes) -> int:
        """Return how many bytes belong to the body."""
        used_bytes = min(len(data), self._missing_bytes)
        self._missing_bytes -= used_bytes
        return used_bytes


class ChunkedScan:
    """Finds the end of a body in chunks."""

    def __init__(self) -> None:
        # Sum of the chunks whose sizes were received.
        self.size_bytes = 0
        self.is_malformed = False
        self.is_done = False
        self._line = bytearray()
        # Rest of a chunk and its line end.
        self._missing_bytes = 0
        self._is_in_trailers = False
        self._trailer_bytes = 0

    def feed(self, data: bytes) -> int:
        """Return how many bytes belong to the body."""
        position = 0
        while position < len(data) and not (self.is_done or self.is_malformed):
            if self._missing_bytes:
                step = min(self._missing_bytes, len(data) - position)
                self._missing_bytes -= step
                position += step
                continue
            end = data.find(b'\n', position) + 1
            self._line += data[position : end or len(data)]
            position = end or len(data)
            if len(self._line) > chunked_body.MAX_LINE_BYTES:
                self.is_malformed = True
            elif end:
                self._end_line()
        return position

    def _end_line(self) -> None:
        line = bytes(self._line)
        self._line.clear()
        if not line.endswith(LINE_END):
            self.is_malformed = True
        elif self._is_in_trailers:
            self._trailer_bytes += len(line)
            self.is_done = line == LINE_END
            if self._trailer_bytes > chunked_body.MAX_TRAILER_BYTES:
                self.is_malformed = True
        else:
            self._begin_chunk(line.partition(b';')[0].strip())

    def _begin_chunk(self, size: bytes) -> None:
        if not chunked_body.CHUNK_SIZE_PATTERN.fullmatch(size):
            self.is_malformed = True
            return
        chunk_bytes = int(size, 16)
        self.size_bytes += chunk_bytes
        if chunk_bytes:
            self._missing_bytes = chunk_bytes + len(LINE_END)
        else:
            self._is_in_trailers = True
