"""Queue of commands that wakes a task out of its poll."""

from collections.abc import Iterator
import contextlib
import os
import queue
from typing import Generic
from typing import TypeVar

Command = TypeVar('Command')


class CommandQueue(Generic[Command]):
    """Hand commands to the one task that polls for them."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._commands: queue.Queue[Command] = queue.Queue(limit)
        # Readable while commands wait; the task polls it.
        self.wake_descriptor, self._wake_write = os.pipe()
        os.set_blocking(self.wake_descriptor, False)
        os.set_blocking(self._wake_write, False)

    def put(self, command: Command) -> bool:
        """Hand over a command; return False when the queue is full."""
        try:
            self._commands.put_nowait(command)
        except queue.Full:
            return False
        # A full pipe wakes the task as well as one more byte would.
        with contextlib.suppress(BlockingIOError):
            os.write(self._wake_write, b'\0')
        return True

    def take_all(self) -> Iterator[Command]:
        """Yield the commands that are waiting."""
        with contextlib.suppress(BlockingIOError):
            os.read(self.wake_descriptor, self._limit)
        while True:
            try:
                yield self._commands.get_nowait()
            except queue.Empty:
                return

    def close(self) -> None:
        """Close the descriptors once the task has ended."""
        os.close(self.wake_descriptor)
        os.close(self._wake_write)
