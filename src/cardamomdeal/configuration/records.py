"""What the platform's service holds of the configuration."""

import dataclasses
import json

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.configuration import errors
from cardamomdeal.protocol import messages

KEPT_CHANGES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Record one accepted change."""

    change_id: str
    version: int
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class EnvironmentRecord:
    """Hold what is in force in an environment and its latest changes."""

    version: int
    digest: str
    changes: tuple[Change, ...]

    @property
    def head(self) -> messages.Head:
        """Return the head that agents exchange."""
        return messages.Head(self.version, self.digest)

    def find(self, change_id: str) -> Change | None:
        """Return a recent change by its id."""
        for change in self.changes:
            if change.change_id == change_id:
                return change
        return None

    def after(self, change_id: str, digest: str) -> 'EnvironmentRecord':
        """Return the record that a new change leads to."""
        change = Change(change_id, self.version + 1, digest)
        return EnvironmentRecord(
            change.version, digest, (*self.changes, change)[-KEPT_CHANGES:]
        )


EMPTY = EnvironmentRecord(0, '', ())


class _ChangeModel(pydantic.BaseModel):
    change_id: str
    version: int
    digest: str


class _RecordModel(pydantic.BaseModel):
    version: int
    digest: str
    changes: list[_ChangeModel]


def environment_key(environment: str) -> str:
    """Return the key that holds an environment's record."""
    return f'environments/{environment}'


def document_key(digest: str) -> str:
    """Return the key that holds a document; its value never changes."""
    return f'documents/{digest}'


def write_record(record: EnvironmentRecord) -> str:
    """Encode a record for the platform's service."""
    return json.dumps(dataclasses.asdict(record))


def read_record(
    text: str,
) -> Result[EnvironmentRecord, errors.ConfigurationError]:
    """Decode a record of the platform's service."""
    try:
        checked = _RecordModel.model_validate_json(text)
    except pydantic.ValidationError as error:
        return Failure(errors.ConfigurationError(str(error)))
    return Success(
        EnvironmentRecord(
            checked.version,
            checked.digest,
            tuple(
                Change(change.change_id, change.version, change.digest)
                for change in checked.changes
            ),
        )
    )
