"""Received bytes of a connection, split into whole requests.

Decides without a socket when a request can be served, so that no thread waits
for the rest of one.
"""

import collections
from collections.abc import Iterator
import dataclasses
import re

from cardamomdeal.internal import body_buffer
from cardamomdeal.internal import body_scan
from cardamomdeal.internal import errors
from cardamomdeal.internal import memory_budget

LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'
BARE_LINE_END = re.compile(rb'(?<!\r)\n')
LENGTH_FIELD = re.compile(
    rb'\r\n[ \t]*content-length[ \t]*:[ \t]*([0-9]{1,18})[ \t]*(?=\r\n)',
    re.IGNORECASE,
)
TRANSFER_ENCODING_FIELD = re.compile(
    rb'\r\n[ \t]*transfer-encoding[ \t]*:', re.IGNORECASE
)
EXPECT_FIELD = re.compile(
    rb'\r\n[ \t]*expect[ \t]*:[ \t]*100-continue[ \t]*\r\n', re.IGNORECASE
)
HTTP_1_1_LINE = re.compile(rb'[^\r\n]* HTTP/1\.1[ \t]*\r\n')


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the size of a request."""

    max_head_bytes: int
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Nothing:
    """Nothing of the next request has been received."""


@dataclasses.dataclass(frozen=True, slots=True)
class PartOfHead:
    """The head is not complete."""

    since_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartOfBody:
    """The head is complete, the body is not."""

    last_received_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """The request is complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The request exceeds a limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """It is unknown where the request ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoMemory:
    """There is no memory for the request."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """The rest of the request was not received in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft:
    """The connection ended within the request."""


CutReason = TooLarge | Malformed | NoMemory | TimedOut | CallerLeft


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """The rest of the request is not awaited."""

    reason: CutReason


Progress = Nothing | PartOfHead | PartOfBody | Whole | Cut


class RequestCut(errors.CardamomdealError):
    """The part of a request that is read was not received."""

    def __init__(self, reason: CutReason) -> None:
        super().__init__(str(reason))
        self.reason = reason


class ReceivedRequest:
    """Stream of the bytes that were received of one request."""

    def __init__(
        self,
        parts: tuple[bytes, ...],
        progress: Progress,
        has_whole_head: bool,
        started_at_ms: int,
        reservation: memory_budget.Reservation,
    ) -> None:
        self._parts = collections.deque(parts)
        # Number of bytes of the first part that were read.
        self._offset = 0
        self.cut_reason = progress.reason if _is_cut(progress) else None
        self.has_whole_head = has_whole_head
        self.started_at_ms = started_at_ms
        self.reservation = reservation

    @property
    def is_whole(self) -> bool:
        """Return whether the request was received to its end."""
        return self.cut_reason is None

    def has_data(self) -> bool:
        """Return whether some bytes were not read."""
        return bool(self._parts)

    def read(self, size: int | None = None) -> bytes:
        """Return up to `size` bytes; raise RequestCut behind the last.

        With a size, what is returned comes from one part: whole parts are
        passed on without a copy.
        """
        if size is None:
            data = b''.join(self._read_parts())
        else:
            data = self._read_from_part(size) if self._parts and size else b''
        if not data and size != 0:
            self._check_end()
        return data

    def readline(self, size: int | None = None) -> bytes:
        """Return a line, or `size` bytes of it; raise RequestCut."""
        line = b''
        while self._parts and (size is None or len(line) < size):
            end = self._parts[0].find(b'\n', self._offset) + 1
            available = (end or len(self._parts[0])) - self._offset
            if size is not None:
                available = min(available, size - len(line))
            line += self._read_from_part(available)
            if line.endswith(b'\n'):
                break
        if not line:
            self._check_end()
        return line

    def close(self) -> None:
        """Do nothing; the connection is closed by its owner."""

    def _read_parts(self) -> Iterator[bytes]:
        while self._parts:
            yield self._read_from_part(len(self._parts[0]))

    def _read_from_part(self, size: int) -> bytes:
        part = self._parts[0]
        chunk = part[self._offset : self._offset + size]
        self._offset += len(chunk)
        if self._offset == len(part):
            # What was read is not held twice.
            self._parts.popleft()
            self._offset = 0
        return chunk

    def _check_end(self) -> None:
        match self.cut_reason:
            case TooLarge() | NoMemory() | TimedOut() as reason:
                raise RequestCut(reason)


class RequestIntake:
    """Collects the next request of a connection.

    What it holds is reserved in a budget: a host may have many connections
    whose requests arrive slowly.
    """

    def __init__(self, budget: memory_budget.MemoryBudget) -> None:
        self._budget = budget
        self._reservation = memory_budget.Reservation(budget)
        self._head = bytearray()
        self._received = body_buffer.BodyBuffer()
        self._received_bytes = 0
        self._scan: body_scan.LengthScan | body_scan.ChunkedScan | None = None
        # Received behind the end of the request.
        self._rest = b''
        self._started_at_ms = 0
        # Whether the client may wait for an interim response.
        self._expects_continue = False
        self.progress: Progress = Nothing()
        # Whether the caller has closed its side of the connection.
        self.has_ended = False

    @property
    def is_ready(self) -> bool:
        """Return whether a request can be taken."""
        return isinstance(self.progress, Whole | Cut)

    @property
    def held_bytes(self) -> int:
        """Return the memory that is reserved."""
        return self._reservation.held_bytes

    @property
    def awaits_continue(self) -> bool:
        """Return whether the client waits before it sends a body."""
        return self._expects_continue and isinstance(self.progress, PartOfBody)

    def end_expectation(self) -> None:
        """Record that the client has been told to send the body."""
        self._expects_continue = False

    def add(self, data: bytes, now_ms: int, limits: Limits) -> None:
        """Add what was received; nothing may be added to a ready request."""
        if isinstance(self.progress, Nothing):
            self._started_at_ms = now_ms
        if not self._reserve(self._received_bytes + len(data)):
            self._cut(NoMemory(str(self._reservation)))
            return
        self._received_bytes += len(data)
        if self._scan is None:
            data = self._add_to_head(data, limits)
        if self._scan is not None:
            self._add_to_body(data, now_ms, limits)

    def end(self) -> None:
        """Record that nothing more will be received."""
        self.has_ended = True
        self.give_up(CallerLeft())

    def give_up(self, reason: CutReason) -> None:
        """Stop waiting for the rest of a request that has begun."""
        if isinstance(self.progress, PartOfHead | PartOfBody):
            self._cut(reason)

    def release_unreceived(self) -> None:
        """Release the memory reserved for what is still missing."""
        self._reservation.reduce_to(self._received_bytes)

    def release(self) -> None:
        """Give up all that was received, and release its memory."""
        self._head.clear()
        self._received = body_buffer.BodyBuffer()
        self._rest = b''
        self._reservation.reduce_to(0)

    def take(self, now_ms: int, limits: Limits) -> ReceivedRequest:
        """Return the request that is ready, and begin the next one."""
        reservation = self._reservation
        rest, self._rest = self._rest, b''
        self._reservation = reservation.split_off(
            min(len(rest), reservation.held_bytes)
        )
        taken = ReceivedRequest(
            self._received.body().parts,
            self.progress,
            self._scan is not None,
            self._started_at_ms,
            reservation,
        )
        self._received = body_buffer.BodyBuffer()
        self._received_bytes = 0
        self._scan = None
        self._expects_continue = False
        self.progress = Nothing()
        if rest:
            self.add(rest, now_ms, limits)
            if self.has_ended:
                self.give_up(CallerLeft())
        return taken

    def _add_to_head(self, data: bytes, limits: Limits) -> bytes:
        """Collect the head; return what was received behind it."""
        # The end may have been received in two parts.
        searched_bytes = max(0, len(self._head) - len(HEAD_END) + 1)
        self._head += data
        # Some clients send an empty line after a body (RFC 9112, 2.2).
        while self._head.startswith(LINE_END):
            del self._head[: len(LINE_END)]
            searched_bytes = 0
        end = self._head.find(HEAD_END, searched_bytes)
        if end >= 0:
            return self._end_head(end + len(HEAD_END), limits)
        if len(self._head) > limits.max_head_bytes:
            self._cut(TooLarge())
        elif BARE_LINE_END.search(self._head, searched_bytes):
            self._cut(Malformed())
        elif self._head:
            self.progress = PartOfHead(self._started_at_ms)
        else:
            self.progress = Nothing()
            self._received_bytes = 0
            self._reservation.reduce_to(0)
        return b''

    def _end_head(self, size_bytes: int, limits: Limits) -> bytes:
        head = bytes(self._head[:size_bytes])
        behind = bytes(self._head[size_bytes:])
        self._head.clear()
        self._received.write(head)
        # Parts of the body can then be passed on as they are.
        self._received.end_part()
        self._expects_continue = (
            HTTP_1_1_LINE.match(head) is not None
            and EXPECT_FIELD.search(head) is not None
        )
        lengths = LENGTH_FIELD.findall(head)
        is_chunked = TRANSFER_ENCODING_FIELD.search(head) is not None
        if is_chunked:
            self._scan = body_scan.ChunkedScan()
        else:
            self._scan = body_scan.LengthScan(
                int(lengths[-1]) if lengths else 0
            )
        # With two of them, senders and receivers may disagree about the end.
        self._scan.is_malformed = is_chunked + len(lengths) > 1
        # In one step, so that a caller does not send most of a large body
        # before it is refused.
        if (
            self._scan.size_bytes <= limits.max_body_bytes
            and not self._reserve(len(head) + self._scan.size_bytes)
        ):
            self._cut(NoMemory(str(self._reservation)))
        return behind

    def _add_to_body(self, data: bytes, now_ms: int, limits: Limits) -> None:
        if self.is_ready:
            return
        used_bytes = self._scan.feed(data)
        self._received.write(data[:used_bytes])
        self._rest = data[used_bytes:]
        if used_bytes:
            # It does not wait any more.
            self.end_expectation()
        if self._scan.is_malformed:
            self._cut(Malformed())
        elif self._scan.size_bytes > limits.max_body_bytes:
            self._cut(TooLarge())
        elif self._scan.is_done:
            self.progress = Whole()
        else:
            self.progress = PartOfBody(now_ms)

    def _reserve(self, total_bytes: int) -> bool:
        missing_bytes = total_bytes - self._reservation.held_bytes
        return missing_bytes <= 0 or self._reservation.try_add(missing_bytes)

    def _cut(self, reason: CutReason) -> None:
        self._received.write(bytes(self._head))
        self._head.clear()
        self._rest = b''
        self.progress = Cut(reason)


def _is_cut(progress: Progress) -> bool:
    return isinstance(progress, Cut)
