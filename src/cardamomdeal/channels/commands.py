"""Command queue with a pipe that wakes the task polling it."""

from collections.abc import Iterator
import contextlib
import os
import queue
from typing import Generic
from typing import TypeVar

Command = TypeVar('Command')


class CommandQueue(Generic[Command]):
    """Bounded queue of commands for a single polling task."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._commands: queue.Queue[Command] = queue.Queue(limit)
        # Readable while commands are queued; the task polls it.
        self.wakeup_fd, self._wakeup_write_fd = os.pipe()
        os.set_blocking(self.wakeup_fd, False)
        os.set_blocking(self._wakeup_write_fd, False)

    def put(self, command: Command) -> bool:
        """Queue a command; return False when the queue is full."""
        try:
            self._commands.put_nowait(command)
        except queue.Full:
            return False
        # If the pipe is full, it is readable already and wakes the task.
        with contextlib.suppress(BlockingIOError):
            os.write(self._wakeup_write_fd, b'\0')
        return True

    def pop_all(self) -> Iterator[Command]:
        """Remove and yield all queued commands."""
        with contextlib.suppress(BlockingIOError):
            os.read(self.wakeup_fd, self._limit)
        while True:
            try:
                yield self._commands.get_nowait()
            except queue.Empty:
                return

    def close(self) -> None:
        """Close both ends of the wake-up pipe, after the task has ended."""
        os.close(self.wakeup_fd)
        os.close(self._wakeup_write_fd)
