"""Actor that watches the store and sends its changes to the synchronizer."""

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
from cardamomdeal.platform import redaction
from cardamomdeal.platform import store

# A broken connection without traffic is detected only when the watch on it
# ends, so this time largely determines how late a change is received.
WATCH_MS = 700
# A host whose proof is old asks again at once, and lets a slow store take
# longer.
URGENT_WATCH_MS = 50
URGENT_MARGIN_MS = 1_200
MAX_WAIT_STEP_MS = 100
MAX_DOUBLINGS = 8
ALL_KEYS_PREFIX = ''

log = logging.getLogger(__name__)


class StoreFollower(actor.Actor):
    """Actor that owns the store client with which the store is watched."""

    def __init__(
        self,
        synchronizer: pykka.ActorRef[Any],
        client: store.StoreClient,
        time: clock.Clock,
    ) -> None:
        super().__init__()
        self._time = time
        self._last_call_at_ms = 0
        self._synchronizer = synchronizer
        self._client = client
        self._revision: int | None = None
        self._is_following = False
        self._is_polling = False
        self._retry_delay_ms = 0
        self._max_retry_delay_ms = 0
        self._failure_count = 0
        self._failed_at_ms = 0
        # Factor of the delay after the last failed call.
        self._jitter = 1.0
        self._call_interval_ms = 0
        self._is_urgent = False
        self._wait_event = threading.Event()
        self._rng = random.Random()

    def on_stop(self) -> None:
        """Close the store client."""
        self._client.close()

    def receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case messages.FollowStore(
                follow,
                retry_delay_ms,
                call_interval_ms,
                max_retry_delay_ms,
                is_urgent,
            ):
                self._is_urgent = is_urgent
                self._retry_delay_ms = retry_delay_ms
                self._max_retry_delay_ms = max_retry_delay_ms
                self._call_interval_ms = call_interval_ms
                self._set_following(follow)
            case messages.SetRevision(revision):
                self._revision = max(self._revision or 0, revision)
            case messages.SettingsUpdated(settings):
                self._client.set_address(settings.store)
            case messages.PollStore():
                self._poll()

    def _set_following(self, follow: bool) -> None:
        self._is_following = follow
        if follow and not self._is_polling:
            self._is_polling = True
            self.actor_ref.tell(messages.PollStore())

    def _poll(self) -> None:
        if not self._is_following:
            self._is_polling = False
            # An idle connection may die without a sign before it is needed.
            self._client.reconnect()
            return
        next_call_at_ms = max(
            self._last_call_at_ms + self._call_interval_ms,
            self._failed_at_ms + self._retry_pause_ms(),
        )
        remaining_ms = next_call_at_ms - self._time.now_ms()
        if remaining_ms > 0:
            # Meanwhile the delays may change, or others read for this host.
            clock.wait_ms(
                self._wait_event, min(remaining_ms, MAX_WAIT_STEP_MS)
            )
            self.actor_ref.tell(messages.PollStore())
            return
        self._last_call_at_ms = self._time.now_ms()
        match self._read_store_safely():
            case Success(update):
                self._failure_count = 0
                self._revision = update.revision
                self._synchronizer.tell(update)
            case Failure(errors.RevisionCompacted() as error):
                log.info(
                    'store revision compacted; reading all keys again',
                    extra={'reason': str(error)},
                )
                self._revision = None
                self._last_call_at_ms = 0
            case Failure(error):
                self._synchronizer.tell(messages.StoreFailed(str(error)))
                self._failure_count = min(
                    self._failure_count + 1, MAX_DOUBLINGS
                )
                self._failed_at_ms = self._time.now_ms()
                self._jitter = self._rng.uniform(0.7, 1.3)
        self.actor_ref.tell(messages.PollStore())

    def _retry_pause_ms(self) -> int:
        """Return the pause after a failed call, by the present delays."""
        if not self._failure_count:
            return 0
        delay_ms = self._retry_delay_ms * 2 ** (self._failure_count - 1)
        delay_ms = max(
            self._retry_delay_ms, min(delay_ms, self._max_retry_delay_ms)
        )
        return round(self._jitter * delay_ms)

    def _read_store_safely(self) -> Any:
        # Polling ends for good if the poll raises an exception.
        try:
            return self._read_store()
        except Exception as error:
            log.exception('reading the store raised an exception')
            return Failure(errors.PlatformError(repr(error)))

    def _read_store(self) -> Any:
        asked_at_ms = self._time.now_ms()
        if self._revision is None:
            return self._client.range(ALL_KEYS_PREFIX).map(
                lambda snapshot: messages.StoreSnapshot(
                    tuple(map(redaction.redact, snapshot.items)),
                    snapshot.revision,
                    asked_at_ms,
                )
            )
        after_revision = self._revision
        wait_ms, margin_ms = WATCH_MS, store.WATCH_TIMEOUT_MARGIN_MS
        if self._is_urgent:
            wait_ms, margin_ms = URGENT_WATCH_MS, URGENT_MARGIN_MS
        return self._client.watch(
            ALL_KEYS_PREFIX, after_revision, wait_ms, margin_ms
        ).map(
            lambda changes: messages.StoreChanged(
                after_revision,
                tuple(map(redaction.redact, changes.events)),
                # Not what the store states: it may withhold changes.
                max(
                    (event.revision for event in changes.events),
                    default=after_revision,
                ),
                asked_at_ms,
            )
        )
