"""Value that a task delivers later to a thread that waits for it."""

import os
import select
import threading
from typing import Generic
from typing import Protocol
from typing import TypeVar

Value = TypeVar('Value')


class Watcher(Protocol):
    """Something else that ends the wait, such as a lost connection."""

    def register(self, poller: select.poll) -> None:
        """Register the file descriptors that end the wait."""


class Deferred(Generic[Value]):
    """One value, set by one thread and awaited by another.

    The wait polls a pipe, so it can end with an event of a socket as well.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._value: Value | None = None
        # Until there is a pipe to close.
        self._is_closed = True
        self._read_fd, self._write_fd = os.pipe()
        self._is_closed = False

    def __del__(self) -> None:
        """Close the pipe if nobody has waited."""
        self.close()

    def set(self, value: Value) -> bool:
        """Deliver the value; return False if nobody waits any more."""
        with self._lock:
            if self._is_closed:
                return False
            self._value = value
            os.write(self._write_fd, b'\0')
            return True

    def is_set(self) -> bool:
        """Return whether the value was delivered."""
        return self._value is not None

    def wait(self, timeout_ms: int, watcher: Watcher) -> Value | None:
        """Return the value, or None after the timeout or another event."""
        poller = select.poll()
        poller.register(self._read_fd, select.POLLIN)
        watcher.register(poller)
        poller.poll(max(0, timeout_ms))
        return self.close()

    def close(self) -> Value | None:
        """Accept no further value; return the one that was set, if any."""
        with self._lock:
            if not self._is_closed:
                self._is_closed = True
                os.close(self._read_fd)
                os.close(self._write_fd)
            return self._value
