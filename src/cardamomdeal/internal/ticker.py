"""Task that sends a message to an actor at a fixed interval."""

import threading
from typing import Any

import pykka

from cardamomdeal.internal import clock


class Ticker(threading.Thread):
    """Task that sends `message` to `actor` every `interval_ms`."""

    def __init__(
        self, actor: pykka.ActorRef[Any], message: Any, interval_ms: int
    ) -> None:
        super().__init__(name='ticker', daemon=True)
        self._actor = actor
        self._message = message
        self._interval_ms = interval_ms
        self._stopped = threading.Event()

    def run(self) -> None:
        """Send the message until `stop` is called or the actor has stopped."""
        while not clock.wait_ms(self._stopped, self._interval_ms):
            try:
                self._actor.tell(self._message)
            except pykka.ActorDeadError:
                return

    def stop(self) -> None:
        """Stop sending messages."""
        self._stopped.set()
