"""Configuration changes, and their reading and writing in the store."""

import dataclasses
import threading

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.admin import errors
from cardamomdeal.configuration import records
from cardamomdeal.internal import clock
from cardamomdeal.internal import errors as base_errors
from cardamomdeal.platform import errors as platform_errors
from cardamomdeal.platform import service

RETRY_INTERVAL_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class RequestedChange:
    """Requested change of the document of an environment."""

    environment: str
    digest: str
    change_id: str
    expected_version: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """Environment record and its revision in the store."""

    record: records.EnvironmentRecord
    revision: int


class ChangeWriter:
    """Writer that applies each change once, even if a response is lost."""

    def __init__(
        self,
        platform: service.PlatformService,
        timeout_ms: int,
        time: clock.Clock,
    ) -> None:
        self._platform = platform
        self._timeout_ms = timeout_ms
        self._time = time
        self._retry_event = threading.Event()

    def read_record(
        self, environment: str
    ) -> Result[StoredRecord, base_errors.CardamomdealError]:
        """Return an environment's record, or an empty one if there is none."""
        match self._platform.get(records.environment_key(environment)):
            case Success(service.KeyState(value, revision)):
                return records.decode_record(value).map(
                    lambda record: StoredRecord(record, revision)
                )
            case Success(_):
                return Success(
                    StoredRecord(records.EMPTY_RECORD, service.ABSENT_REVISION)
                )
            case Failure(error):
                return Failure(_unavailable(error))

    def read_document(
        self, digest: str
    ) -> Result[str | None, base_errors.CardamomdealError]:
        """Return the document with a digest, or None if it is not stored."""
        document = self._platform.get(records.document_key(digest))
        return document.map(lambda state: state.value if state else None).alt(
            _unavailable
        )

    def write_document(
        self, digest: str, canonical: bytes
    ) -> Result[None, base_errors.CardamomdealError]:
        """Store a document under its digest."""
        written = self._platform.compare_and_swap(
            records.document_key(digest),
            canonical.decode(),
            service.ABSENT_REVISION,
        )
        match written:
            case Success(_) | Failure(platform_errors.RevisionConflict()):
                # The key is the digest: the same bytes are already stored.
                return Success(None)
            case Failure(error):
                return Failure(_unavailable(error))

    def apply(
        self, change: RequestedChange
    ) -> Result[records.Change, errors.AdminError]:
        """Write a change, with retries until the time limit."""
        deadline_at_ms = self._time.now_ms() + self._timeout_ms
        may_have_been_written = False
        while self._time.now_ms() < deadline_at_ms:
            match self._try_apply(change):
                case Success(accepted):
                    return Success(accepted)
                case Failure(errors.ChangeRejected() as error):
                    return Failure(error)
                case Failure(errors.ChangeOutcomeUnknown()):
                    may_have_been_written = True
            clock.wait_ms(self._retry_event, RETRY_INTERVAL_MS)
        if may_have_been_written:
            return Failure(
                errors.ChangeOutcomeUnknown(
                    f'the store did not answer; send change_id '
                    f'{change.change_id} again to learn the outcome'
                )
            )
        return Failure(_unavailable('no answer in time'))

    def _try_apply(
        self, change: RequestedChange
    ) -> Result[records.Change, errors.AdminError]:
        match self.read_record(change.environment):
            case Success(stored):
                pass
            case Failure(error):
                return Failure(_unavailable(error))
        # An earlier write took effect although its response was lost.
        accepted = stored.record.find_change(change.change_id)
        if accepted is not None:
            return _check_same_document(accepted, change)
        if change.expected_version not in (None, stored.record.version):
            return Failure(
                errors.ChangeConflict(
                    f'expected_version: is {change.expected_version}, but '
                    f'{change.environment} is at version '
                    f'{stored.record.version}; look at the other change '
                    'and send yours again'
                )
            )
        return self._write(change, stored)

    def _write(
        self, change: RequestedChange, stored: StoredRecord
    ) -> Result[records.Change, errors.AdminError]:
        updated = stored.record.with_change(change.change_id, change.digest)
        written = self._platform.compare_and_swap(
            records.environment_key(change.environment),
            records.encode_record(updated),
            stored.revision,
        )
        match written:
            case Success(_):
                return Success(updated.changes[-1])
            case Failure(platform_errors.RevisionConflict()):
                return Failure(errors.StoreUnavailable('read again'))
            case Failure(error):
                return Failure(errors.ChangeOutcomeUnknown(str(error)))


def _unavailable(reason: object) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        f'the store is away ({reason}); no change was made'
    )


def _check_same_document(
    accepted: records.Change, change: RequestedChange
) -> Result[records.Change, errors.AdminError]:
    if accepted.digest != change.digest:
        return Failure(
            errors.ChangeRejected(
                f'change_id: {change.change_id} was used for another '
                'document; choose a new one'
            )
        )
    return Success(accepted)
