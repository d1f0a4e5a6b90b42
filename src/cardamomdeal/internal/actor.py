"""Base of the project's actors."""

import logging
from typing import Any

import pykka

log = logging.getLogger(__name__)


class Actor(pykka.ThreadingActor):
    """Outlive messages that cannot be handled.

    The library stops an actor at the first exception, which would leave a
    process that runs and does nothing, and let one damaged message from a
    peer end every agent it reaches.
    """

    def on_receive(self, message: Any) -> Any:
        """Handle one message; log what goes wrong and go on."""
        try:
            return self.receive(message)
        except pykka.ActorDeadError:
            # Actors stop one after the other at the end of the process.
            log.debug('message to an actor that has stopped')
            return None
        except Exception:
            log.exception(
                'message failed',
                extra={
                    'actor': type(self).__name__,
                    'kind': type(message).__name__,
                },
            )
            return None

    def receive(self, message: Any) -> Any:
        """Handle one message."""
        raise NotImplementedError
