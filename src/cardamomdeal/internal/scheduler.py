"""Task that sends messages to actors at set times."""

import dataclasses
import heapq
import itertools
import logging
import threading
from typing import Any

import pykka

from cardamomdeal.internal import clock

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Entry:
    """A message that is due at a time."""

    due_at_ms: int
    # Orders entries that are due at the same time.
    number: int
    actor: pykka.ActorRef[Any] = dataclasses.field(compare=False)
    message: Any = dataclasses.field(compare=False)
    # None for a message that is sent once.
    interval_ms: int | None = dataclasses.field(compare=False)


class Scheduler(threading.Thread):
    """Task that owns the timers of all actors of a process."""

    def __init__(self, time: clock.Clock) -> None:
        super().__init__(name='scheduler', daemon=True)
        self._time = time
        self._numbers = itertools.count()
        self._entries: list[_Entry] = []
        self._changed = threading.Condition()
        self._is_stopped = False

    def every(
        self, actor: pykka.ActorRef[Any], message: Any, interval_ms: int
    ) -> None:
        """Send a message to an actor at an interval until it stops."""
        self._add(actor, message, interval_ms, interval_ms)

    def after(
        self, actor: pykka.ActorRef[Any], message: Any, delay_ms: int
    ) -> None:
        """Send a message to an actor once."""
        self._add(actor, message, delay_ms, None)

    def stop(self) -> None:
        """Send no more messages."""
        with self._changed:
            self._is_stopped = True
            self._changed.notify()

    def run(self) -> None:
        """Send the messages that are due until `stop` is called."""
        while True:
            with self._changed:
                if self._is_stopped:
                    return
                due = self._pop_due()
                if not due:
                    self._changed.wait(self._delay_s())
            for entry in due:
                self._send(entry)

    def _add(
        self,
        actor: pykka.ActorRef[Any],
        message: Any,
        delay_ms: int,
        interval_ms: int | None,
    ) -> None:
        with self._changed:
            entry = _Entry(
                self._time.now_ms() + delay_ms,
                next(self._numbers),
                actor,
                message,
                interval_ms,
            )
            heapq.heappush(self._entries, entry)
            if self._entries[0] is entry:
                self._changed.notify()

    def _pop_due(self) -> list[_Entry]:
        now_ms = self._time.now_ms()
        due = []
        while self._entries and self._entries[0].due_at_ms <= now_ms:
            due.append(heapq.heappop(self._entries))
        return due

    def _delay_s(self) -> float | None:
        if not self._entries:
            return None
        delay_ms = self._entries[0].due_at_ms - self._time.now_ms()
        return max(0, delay_ms) / 1_000

    def _send(self, entry: _Entry) -> None:
        try:
            entry.actor.tell(entry.message)
        except pykka.ActorDeadError:
            return
        if entry.interval_ms is not None:
            self.every(entry.actor, entry.message, entry.interval_ms)
