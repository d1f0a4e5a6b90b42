"""Actor that reads the configuration and the host list."""

import logging
import threading
from typing import Any

import pykka
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.agent import errors
from cardamomdeal.agent import messages
from cardamomdeal.configuration import records
from cardamomdeal.internal import actor
from cardamomdeal.internal import clock
from cardamomdeal.internal import errors as base_errors
from cardamomdeal.platform import service
from cardamomdeal.settings import model

RETRY_DELAY_MS = 1_000
HOST_LIST_INTERVAL_MS = 5_000

log = logging.getLogger(__name__)


class StoreReader(actor.Actor):
    """Actor that watches an environment's record and reads the host list."""

    def __init__(
        self,
        settings: model.AgentSettings,
        agent: pykka.ActorRef[Any],
        platform: service.PlatformService,
        time: clock.Clock,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._agent = agent
        self._platform = platform
        self._time = time
        self._record_key = records.environment_key(settings.environment)
        self._revision = service.ABSENT_REVISION
        self._following = False
        self._polling = False
        self._document_digest = ''
        self._hosts_read_at_ms = -HOST_LIST_INTERVAL_MS
        self._call_count = 0
        self._retry_event = threading.Event()

    def receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case messages.FollowStore(follow):
                self._set_following(follow)
            case messages.Poll():
                self._poll()

    def _set_following(self, follow: bool) -> None:
        self._following = follow
        if follow and not self._polling:
            self._polling = True
            self.actor_ref.tell(messages.Poll())

    def _poll(self) -> None:
        if not self._following:
            self._polling = False
            return
        self._read_hosts()
        match self._read_change():
            case Success(None):
                pass
            case Success(messages.StoreRead() as change):
                self._agent.tell(change)
            case Failure(error):
                log.warning(
                    'cannot read the environment record or its document',
                    extra={'reason': str(error)},
                )
                clock.wait_ms(self._retry_event, RETRY_DELAY_MS)
        self._agent.tell(messages.StoreCalls(self._call_count))
        self.actor_ref.tell(messages.Poll())

    def _read_change(
        self,
    ) -> Result[messages.StoreRead | None, base_errors.CardamomdealError]:
        self._call_count += 1
        result = self._platform.watch(
            self._record_key, self._revision, self._settings.watch_ms
        )
        match result:
            case Success(service.KeyState(value, revision)):
                return self._read_document(value, revision)
            case _:
                return result

    def _read_document(
        self, value: str, revision: int
    ) -> Result[messages.StoreRead | None, base_errors.CardamomdealError]:
        match records.decode_record(value):
            case Failure(error):
                return Failure(error)
            case Success(record):
                pass
        if record.digest == self._document_digest:
            self._revision = revision
            return Success(messages.StoreRead(record, None))
        self._call_count += 1
        match self._platform.get(records.document_key(record.digest)):
            case Success(service.KeyState(document, _)):
                self._revision = revision
                self._document_digest = record.digest
                return Success(messages.StoreRead(record, document.encode()))
            case Success(_):
                return Failure(errors.DocumentMissing(record.digest))
            case failure:
                return failure

    def _read_hosts(self) -> None:
        now_ms = self._time.now_ms()
        if now_ms - self._hosts_read_at_ms < HOST_LIST_INTERVAL_MS:
            return
        self._call_count += 1
        match self._platform.hosts():
            case Success(hosts):
                self._hosts_read_at_ms = now_ms
                self._agent.tell(messages.HostsListed(hosts))
            case Failure(error):
                log.warning(
                    'cannot read the host list', extra={'reason': str(error)}
                )
