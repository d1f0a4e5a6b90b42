"""Bodies that are held in memory."""

from collections.abc import Iterable
import dataclasses

# Smaller parts are joined, as each one takes some memory of its own. Parts of
# this size are returned to the operating system (see `allocator`).
PART_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """Complete body, in parts that need not be copied into one."""

    parts: tuple[bytes, ...] = ()

    @property
    def size_bytes(self) -> int:
        """Return the length of the body."""
        return sum(map(len, self.parts))


class BodyBuffer:
    """Collects the parts of a body."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._last_part: bytes | bytearray = b''

    @property
    def is_empty(self) -> bool:
        """Return whether nothing was appended."""
        return not self._parts and not self._last_part

    def write(self, data: bytes) -> int:
        """Append some bytes."""
        if len(self._last_part) + len(data) > PART_BYTES:
            self.end_part()
        if not self._last_part:
            # A body that arrives at once is not copied.
            self._last_part = data
        else:
            if isinstance(self._last_part, bytes):
                self._last_part = bytearray(self._last_part)
            self._last_part += data
        return len(data)

    def end_part(self) -> None:
        """Begin a new part with what is appended next."""
        if self._last_part:
            self._parts.append(bytes(self._last_part))
            self._last_part = b''

    def body(self) -> Body:
        """Return what was appended."""
        self.end_part()
        return Body(tuple(self._parts))


def collect(chunks: Iterable[bytes]) -> Body:
    """Return the body that consists of some chunks."""
    buffer = BodyBuffer()
    for chunk in chunks:
        buffer.write(chunk)
    return buffer.body()
