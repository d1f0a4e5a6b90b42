"""Actor that asks the store for permits to eject."""

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

SWAP_ATTEMPTS = 5

log = logging.getLogger(__name__)


class PermitKeeper(actor.Actor):
    """Own the connection to the store that permits go through."""

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
            case messages.AskPermit(name, server, capacity):
                self._change(
                    name,
                    lambda record: permits.grant_permit(
                        record, server, self._holder, capacity
                    ),
                )
            case messages.DropPermits(name, dropped):
                self._change(name, lambda record: record.without(dropped))
            case messages.ReadPermits(name):
                self._change(name, lambda record: None)

    def _change(self, name: str, change: Any) -> None:
        key = permits.permit_key(self._environment, name)
        for _ in range(SWAP_ATTEMPTS):
            match self._swap(key, change):
                case Success(record):
                    self._judge.tell(messages.PermitsSeen(name, record))
                    return
                case Failure(platform_errors.RevisionConflict()):
                    continue
                case Failure(error):
                    log.warning(
                        'permits not changed',
                        extra={'service': name, 'reason': str(error)},
                    )
                    return

    def _swap(self, key: str, change: Any) -> Any:
        """Change the record once and return what it is then."""
        match self._platform.get(key):
            case Success(service.KeyState(value, revision)):
                parsed = permits.decode_permits(value)
            case Success(_):
                parsed = Success(permits.PermitRecord())
                revision = service.ABSENT_REVISION
            case failed:
                return failed
        match parsed:
            case Success(record):
                following = change(record)
            case damaged:
                return damaged
        if following is None or following == record:
            return Success(record)
        return self._platform.compare_and_swap(
            key, permits.encode_permits(following), revision
        ).map(lambda _: following)
