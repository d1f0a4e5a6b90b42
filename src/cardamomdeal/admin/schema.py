"""Validated models of the administration API's request bodies."""

from typing import Annotated
from typing import Any

import pydantic

ChangeId = Annotated[
    str, pydantic.StringConstraints(pattern=r'^[A-Za-z0-9._-]{8,64}$')
]


class _RequestBody(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class CheckBody(_RequestBody):
    """Body of a request to check a document."""

    document: dict[str, Any]


class TrialBody(_RequestBody):
    """Body of a request to apply a document to trial."""

    document: dict[str, Any]
    change_id: ChangeId
    expected_version: Annotated[int, pydantic.Field(ge=0)] | None = None


class PromoteBody(_RequestBody):
    """Body of a request to promote a document to production."""

    digest: Annotated[
        str, pydantic.StringConstraints(pattern=r'^[0-9a-f]{64}$')
    ]
    change_id: ChangeId
    expected_version: Annotated[int, pydantic.Field(ge=0)] | None = None
