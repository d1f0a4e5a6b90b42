"""Schema of environment documents as operators write them."""

from typing import Annotated
from typing import Literal

import pydantic

Name = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r'^[a-z0-9][a-z0-9._-]*$', max_length=64
    ),
]
Method = Literal['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']
Positive = Annotated[int, pydantic.Field(strict=True, gt=0)]
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_BODY_BYTES = 64 * 1024**3


class StrictModel(pydantic.BaseModel):
    """Base model that rejects unknown fields."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ServiceModel(StrictModel):
    """Schema of a service."""

    name: Name
    floor_slots: Annotated[int, pydantic.Field(strict=True, ge=0)]


class BackendServerModel(StrictModel):
    """Schema of a backend server."""

    name: Name
    service: Name
    data_centre: Name
    address: str
    slots: Positive
    max_connections: Positive


class WorkKindModel(StrictModel):
    """Schema of a kind of work."""

    name: Name
    service: Name
    methods: Annotated[list[Method], pydantic.Field(min_length=1)]
    path_prefix: Annotated[
        str, pydantic.StringConstraints(pattern=r'^/[!-~]*$', max_length=512)
    ]
    idempotent: Annotated[bool, pydantic.Field(strict=True)]
    work_class: Literal['short', 'upload']
    deadline_ms: Annotated[
        int, pydantic.Field(strict=True, gt=0, le=MAX_DEADLINE_MS)
    ]
    idle_timeout_ms: Positive | None = None
    max_body_bytes: Annotated[
        int, pydantic.Field(strict=True, ge=0, le=MAX_BODY_BYTES)
    ] = 1024**2


class DocumentModel(StrictModel):
    """Schema of an environment document."""

    name: Name
    region: Name
    data_centres: Annotated[list[Name], pydantic.Field(min_length=1)]
    services: Annotated[list[ServiceModel], pydantic.Field(min_length=1)]
    backend_servers: list[BackendServerModel]
    work_kinds: list[WorkKindModel]
