"""Actor that reads and updates the ejection permits in the store."""

import logging
from typing import Any

import pykka
from returns.result import Failure
from returns.result import Success

from cardamomdeal.agent import messages
from cardamomdeal.health import permits
from cardamomdeal.internal import actor
from cardamomdeal.platform import errors as platform_errors
from cardamomdeal.platform import service
from cardamomdeal.protocol import messages as protocol

MAX_SWAP_ATTEMPTS = 5

log = logging.getLogger(__name__)


class PermitStore(actor.Actor):
    """Actor that owns the connection to the store for ejection permits."""

    def __init__(
        self,
        environment: str,
        holder: protocol.Incarnation,
        judge: pykka.ActorRef[Any],
        platform: service.PlatformService,
    ) -> None:
        super().__init__()
        self._environment = environment
        self._holder = holder
        self._judge = judge
        self._platform = platform

    def receive(self, message: Any) -> None:
        """Handle one message."""
        match message:
            case messages.RequestPermit(service_name, server, capacity):
                self._update(
                    service_name,
                    lambda record: permits.grant_permit(
                        record, server, self._holder, capacity
                    ),
                )
            case messages.RemovePermits(service_name, removed):
                self._update(
                    service_name, lambda record: record.without(removed)
                )
            case messages.ReadPermits(service_name):
                self._update(service_name, lambda record: None)

    def _update(self, service_name: str, update: Any) -> None:
        key = permits.permit_key(self._environment, service_name)
        for _ in range(MAX_SWAP_ATTEMPTS):
            match self._try_update(key, update):
                case Success(record):
                    self._judge.tell(
                        messages.PermitsRead(service_name, record)
                    )
                    return
                case Failure(platform_errors.RevisionConflict()):
                    continue
                case Failure(error):
                    log.warning(
                        'cannot read or update ejection permits',
                        extra={'service': service_name, 'reason': str(error)},
                    )
                    return

    def _try_update(self, key: str, update: Any) -> Any:
        """Try an update once and return the resulting record."""
        match self._platform.get(key):
            case Success(service.KeyState(value, revision)):
                decoded = permits.decode_permits(value)
            case Success(_):
                decoded = Success(permits.PermitRecord())
                revision = service.ABSENT_REVISION
            case failure:
                return failure
        match decoded:
            case Success(record):
                updated = update(record)
            case invalid:
                return invalid
        if updated is None or updated == record:
            return Success(record)
        return self._platform.compare_and_swap(
            key, permits.encode_permits(updated), revision
        ).map(lambda _: updated)
