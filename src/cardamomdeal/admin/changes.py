"""Writes configuration changes to the platform's service."""

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

PAUSE_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Describe a change before it is accepted."""

    environment: str
    digest: str
    change_id: str
    expected_version: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """Hold an environment's record and its revision in the store."""

    record: records.EnvironmentRecord
    revision: int


class Changes:
    """Accept each change once, also when answers of the store are lost."""

    def __init__(
        self,
        platform: service.PlatformService,
        timeout_ms: int,
        time: clock.Clock,
    ) -> None:
        self._platform = platform
        self._timeout_ms = timeout_ms
        self._time = time
        self._pause = threading.Event()

    def read(
        self, environment: str
    ) -> Result[Stored, base_errors.CardamomdealError]:
        """Read an environment's record, the empty one if there is none."""
        match self._platform.get(records.environment_key(environment)):
            case Success(service.KeyState(value, revision)):
                return records.decode_record(value).map(
                    lambda record: Stored(record, revision)
                )
            case Success(_):
                return Success(
                    Stored(records.EMPTY_RECORD, service.ABSENT_REVISION)
                )
            case Failure(error):
                return Failure(_unavailable(error))

    def read_document(
        self, digest: str
    ) -> Result[str | None, base_errors.CardamomdealError]:
        """Read a document by its digest."""
        read = self._platform.get(records.document_key(digest))
        return read.map(lambda found: found.value if found else None).alt(
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
                # A conflict means that the same bytes are there already.
                return Success(None)
            case Failure(error):
                return Failure(_unavailable(error))

    def apply(
        self, change: Change
    ) -> Result[records.Change, errors.AdminError]:
        """Put a change in force, or say what became of it."""
        ends_at_ms = self._time.now_ms() + self._timeout_ms
        may_be_written = False
        while self._time.now_ms() < ends_at_ms:
            match self._attempt(change):
                case Success(accepted):
                    return Success(accepted)
                case Failure(errors.ChangeRefused() as refused):
                    return Failure(refused)
                case Failure(errors.ChangeUnknown()):
                    may_be_written = True
            clock.wait_ms(self._pause, PAUSE_MS)
        if may_be_written:
            return Failure(
                errors.ChangeUnknown(
                    f'the store did not answer; send change_id '
                    f'{change.change_id} again to learn the outcome'
                )
            )
        return Failure(_unavailable('no answer in time'))

    def _attempt(
        self, change: Change
    ) -> Result[records.Change, errors.AdminError]:
        match self.read(change.environment):
            case Success(stored):
                pass
            case Failure(error):
                return Failure(_unavailable(error))
        # Found by its id: an earlier write took effect, its answer lost.
        accepted = stored.record.find_change(change.change_id)
        if accepted is not None:
            return _same_change(accepted, change)
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
        self, change: Change, stored: Stored
    ) -> Result[records.Change, errors.AdminError]:
        following = stored.record.with_change(change.change_id, change.digest)
        written = self._platform.compare_and_swap(
            records.environment_key(change.environment),
            records.encode_record(following),
            stored.revision,
        )
        match written:
            case Success(_):
                return Success(following.changes[-1])
            case Failure(platform_errors.RevisionConflict()):
                return Failure(errors.StoreUnavailable('read again'))
            case Failure(error):
                return Failure(errors.ChangeUnknown(str(error)))


def _unavailable(reason: object) -> errors.StoreUnavailable:
    return errors.StoreUnavailable(
        f'the store is away ({reason}); no change was made'
    )


def _same_change(
    accepted: records.Change, change: Change
) -> Result[records.Change, errors.AdminError]:
    if accepted.digest != change.digest:
        return Failure(
            errors.ChangeRefused(
                f'change_id: {change.change_id} was used for another '
                'document; choose a new one'
            )
        )
    return Success(accepted)
