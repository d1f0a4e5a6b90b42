"""Bodies of the administration API's requests."""

from typing import Annotated
from typing import Any

import pydantic

ChangeId = Annotated[
    str, pydantic.StringConstraints(pattern=r'^[A-Za-z0-9._-]{8,64}$')
]


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class CheckBody(_Body):
    """Check the body of a document check."""

    document: dict[str, Any]


class TrialBody(_Body):
    """Check the body of a trial."""

    document: dict[str, Any]
    change_id: ChangeId
    expected_version: Annotated[int, pydantic.Field(ge=0)] | None = None


class PromoteBody(_Body):
    """Check the body of a promotion."""

    digest: Annotated[
        str, pydantic.StringConstraints(pattern=r'^[0-9a-f]{64}$')
    ]
    change_id: ChangeId
    expected_version: Annotated[int, pydantic.Field(ge=0)] | None = None
