"""Base class of all actors."""

import logging
from typing import Any

import pykka

log = logging.getLogger(__name__)


class Actor(pykka.ThreadingActor):
    """Actor that logs an exception in a message handler and keeps running.

    Pykka stops an actor at the first unhandled exception. The process would
    then keep running without doing any work, and one malformed message from
    a peer would stop every agent that receives it.
    """

    def on_receive(self, message: Any) -> Any:
        """Handle one message; log an exception instead of raising it."""
        try:
            return self.receive(message)
        except pykka.ActorDeadError:
            # Actors stop one after the other at shutdown, so a message may
            # be sent to an actor that has already stopped.
            log.debug('message not delivered: recipient actor has stopped')
            return None
        except Exception:
            log.exception(
                'message handler raised an exception',
                extra={
                    'actor': type(self).__name__,
                    'kind': type(message).__name__,
                },
            )
            return None

    def receive(self, message: Any) -> Any:
        """Handle one message; subclasses implement this."""
        raise NotImplementedError
