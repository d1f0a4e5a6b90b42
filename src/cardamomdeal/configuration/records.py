"""Configuration records in the platform's store."""

import dataclasses
import json

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.configuration import errors
from cardamomdeal.protocol import messages

MAX_RECENT_CHANGES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Accepted change of an environment."""

    change_id: str
    version: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class EnvironmentRecord:
    """Active version of an environment and its most recent changes."""

    version: int
    digest: str
    changes: tuple[Change, ...]

    @property
    def head(self) -> messages.Head:
        """Return the version and digest that agents exchange."""
        return messages.Head(self.version, self.digest)

    def find_change(self, change_id: str) -> Change | None:
        """Return the recent change with this id, if any."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None

    def with_change(self, change_id: str, digest: str) -> 'EnvironmentRecord':
        """Return the record with a new change appended."""
        change = Change(change_id, self.version + 1, digest)
        return EnvironmentRecord(
            change.version,
            digest,
            (*self.changes, change)[-MAX_RECENT_CHANGES:],
        )


EMPTY_RECORD = EnvironmentRecord(0, '', ())


class _ChangeModel(pydantic.BaseModel):
    change_id: str
    version: int
    digest: str


class _RecordModel(pydantic.BaseModel):
    version: int
    digest: str
    changes: list[_ChangeModel]


def environment_key(environment: str) -> str:
    """Return the store key of an environment's record."""
    return f'environments/{environment}'


def document_key(digest: str) -> str:
    """Return the store key of a document, whose value never changes."""
    return f'documents/{digest}'


def encode_record(record: EnvironmentRecord) -> str:
    """Encode a record for the platform's store."""
    return json.dumps(dataclasses.asdict(record))


def decode_record(
    text: str,
) -> Result[EnvironmentRecord, errors.ConfigurationError]:
    """Decode a record from the platform's store."""
    try:
        parsed = _RecordModel.model_validate_json(text)
    except pydantic.ValidationError as error:
        return Failure(errors.ConfigurationError(str(error)))
    return Success(
        EnvironmentRecord(
            parsed.version,
            parsed.digest,
            tuple(
                Change(change.change_id, change.version, change.digest)
                for change in parsed.changes
            ),
        )
    )
