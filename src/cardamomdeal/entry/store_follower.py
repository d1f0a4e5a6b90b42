"""Actor that watches the store and tells the core what changed."""

import logging
import random
import threading
from typing import Any

import pykka
from returns.result import Failure
from returns.result import Success

from cardamomdeal.entry import messages
from cardamomdeal.internal import actor
from cardamomdeal.internal import clock
from cardamomdeal.platform import errors
from cardamomdeal.platform import store

# A watch that is answered late only shows a silent connection when its
# wait is over, so the wait is a good part of the time to notice a change.
WATCH_MS = 700
# Least time between two calls: when many hosts start at once, each of their
# entries would end a watch of each of them.
CALL_GAP_MS = 150
EVERYTHING = ''

log = logging.getLogger(__name__)


class StoreFollower(actor.Actor):
    """Own the connection that watches the store."""

    def __init__(
        self,
        core: pykka.ActorRef[Any],
        client: store.StoreClient,
        time: clock.Clock,
    ) -> None:
        super().__init__()
        self._time = time
        self._called_at_ms = 0
        self._core = core
        self._client = client
        self._revision: int | None = None
        self._following = False
        self._polling = False
        self._retry_ms = 0
        self._pause = threading.Event()
        self._random = random.Random()

    def on_stop(self) -> None:
        """Close the connection."""
        self._client.close()

    def receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case messages.FollowStore(follow, retry_ms):
                self._retry_ms = retry_ms
                self._follow(follow)
            case messages.SetRevision(revision):
                self._revision = max(self._revision or 0, revision)
            case messages.SettingsInForce(settings):
                self._client.set_address(settings.store)
            case messages.Poll():
                self._poll()

    def _follow(self, follow: bool) -> None:
        self._following = follow
        if follow and not self._polling:
            self._polling = True
            self.actor_ref.tell(messages.Poll())

    def _poll(self) -> None:
        if not self._following:
            self._polling = False
            return
        left_ms = self._called_at_ms + CALL_GAP_MS - self._time.now_ms()
        if left_ms > 0:
            clock.wait_ms(self._pause, left_ms)
        self._called_at_ms = self._time.now_ms()
        match self._read_on():
            case Success(news):
                self._revision = news.revision
                self._core.tell(news)
            case Failure(errors.RevisionCompacted()):
                log.info('store history lost; reading everything again')
                self._revision = None
            case Failure(error):
                self._core.tell(messages.StoreFailed(str(error)))
                pause_ms = self._random.uniform(0.7, 1.3) * self._retry_ms
                clock.wait_ms(self._pause, round(pause_ms))
        self.actor_ref.tell(messages.Poll())

    def _read_on(self) -> Any:
        if self._revision is None:
            return self._client.range(EVERYTHING).map(
                lambda read: messages.StoreRead(read.items, read.revision)
            )
        after_revision = self._revision
        return self._client.watch(EVERYTHING, after_revision, WATCH_MS).map(
            lambda changes: messages.StoreChanged(
                after_revision, changes.events, changes.revision
            )
        )
