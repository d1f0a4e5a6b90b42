"""Decoding of the operators' configuration from its stored value."""

from typing import Annotated
from typing import Any
from typing import Literal

import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.fleet import errors
from cardamomdeal.fleet import model
from cardamomdeal.internal import units
from cardamomdeal.platform import credentials
from cardamomdeal.workspaces import authentication
from cardamomdeal.workspaces import model as workspace_model

# For routes that set no number of attempts: the smallest number that allows
# a refused request to be retried on another server. The caller's deadline
# limits the request in any case.
DEFAULT_ATTEMPTS = 2
LOWEST_PRIORITY = 9
# Beyond these, times until a token is due do not fit into messages.
MIN_RATE_PER_S = 1e-6
MAX_AMOUNT = 1e9
# More errors of one configuration are counted, not described.
MAX_DESCRIBED_ERRORS = 5

_KINDS: dict[str, model.WorkKind] = {
    'safe': model.Idempotent(),
    'unsafe': model.NonIdempotent(),
    'upload': model.Upload(),
}

KeyDigest = Annotated[
    bytes, pydantic.BeforeValidator(credentials.decode_digest)
]
Amount = Annotated[
    float, pydantic.Field(ge=0, le=MAX_AMOUNT, allow_inf_nan=False)
]


def _check_rate(rate_per_s: float) -> float:
    if 0 < rate_per_s < MIN_RATE_PER_S:
        raise ValueError(f'a rate above 0 must be at least {MIN_RATE_PER_S:g}')
    return rate_per_s


def _expand_table(value: Any) -> Any:
    """Convert a table with columns and rows to a list of objects."""
    if not (isinstance(value, dict) and 'columns' in value):
        return value
    columns, rows = value['columns'], value.get('rows', [])
    if not (_is_list_of(columns, str) and _is_list_of(rows, list)):
        raise ValueError('columns must be names, and rows must be lists')
    return [
        {
            name: cell
            for name, cell in zip(columns, row, strict=True)
            if cell is not None
        }
        for row in rows
    ]


def _is_list_of(value: Any, kind: type) -> bool:
    return isinstance(value, list) and all(
        isinstance(entry, kind) for entry in value
    )


class WeightedServiceModel(pydantic.BaseModel):
    """Schema of a service in a traffic split."""

    service: str
    weight: Annotated[float, pydantic.Field(ge=0)]


class RouteModel(pydantic.BaseModel):
    """Schema of a route."""

    name: str
    hostname: str
    prefix: Annotated[str, pydantic.Field(pattern=r'^/(.*/)?$')]
    kind: Literal['safe', 'unsafe', 'upload']
    timeout: units.DurationMs | None = None
    target_latency: units.DurationMs | None = None
    attempts: Annotated[int, pydantic.Field(ge=1)] = DEFAULT_ATTEMPTS
    priority: int = LOWEST_PRIORITY
    public: bool = False
    service: str | None = None
    traffic_split: Annotated[
        list[WeightedServiceModel] | None,
        pydantic.BeforeValidator(_expand_table),
    ] = None

    @pydantic.model_validator(mode='after')
    def _check_target(self) -> 'RouteModel':
        if self.service is None and not self.traffic_split:
            raise ValueError('a route must set service or traffic_split')
        return self


class WorkspaceModel(pydantic.BaseModel):
    """Schema of a workspace; its keys are replaced by digests before."""

    # It is sent in a header.
    name: Annotated[
        str, pydantic.Field(pattern=r'^[!-~]([ -~]*[!-~])?$', max_length=200)
    ]
    api_keys: list[KeyDigest] = []
    priority: int | None = None
    rate_per_s: Annotated[Amount, pydantic.AfterValidator(_check_rate)] = 0.0
    burst: Amount = 0.0


def _check_unique(workspaces: list[WorkspaceModel]) -> list[WorkspaceModel]:
    names: set[str] = set()
    holders: dict[workspace_model.KeyDigest, str] = {}
    for workspace in workspaces:
        if workspace.name in names:
            raise ValueError(f'two entries have the name {workspace.name}')
        names.add(workspace.name)
        for digest in workspace.api_keys:
            holder = holders.setdefault(digest, workspace.name)
            if holder != workspace.name:
                raise ValueError(
                    f'api_keys: {holder} and {workspace.name} share the key '
                    f'{authentication.short_digest(digest)}'
                )
    return workspaces


class ServiceModel(pydantic.BaseModel):
    """Schema of a service."""

    name: str
    max_connections: int


class LimitsModel(pydantic.BaseModel):
    """Schema of the limits on requests from callers."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: units.DurationMs
    idle_timeout: units.DurationMs


class ConfigurationModel(pydantic.BaseModel):
    """Schema of the configuration."""

    version: int
    routes: Annotated[
        list[RouteModel], pydantic.BeforeValidator(_expand_table)
    ]
    services: Annotated[
        list[ServiceModel], pydantic.BeforeValidator(_expand_table)
    ]
    limits: LimitsModel
    # None if requests need no key.
    tenants: Annotated[
        list[WorkspaceModel] | None,
        pydantic.BeforeValidator(_expand_table),
        pydantic.AfterValidator(
            lambda entries: entries and _check_unique(entries)
        ),
    ] = None


def read_configuration(
    value: bytes,
) -> Result[model.Configuration, errors.FleetError]:
    """Validate and decode a stored configuration."""
    try:
        parsed = ConfigurationModel.model_validate_json(value)
    except pydantic.ValidationError as error:
        return Failure(
            errors.InvalidEntry(f'configuration: {_describe(error)}')
        )
    return Success(to_configuration(parsed))


def to_configuration(parsed: ConfigurationModel) -> model.Configuration:
    """Convert a validated configuration to the words of the project."""
    return model.Configuration(
        version=parsed.version,
        routes=tuple(_to_route(route) for route in parsed.routes),
        services=tuple(
            model.Service(service.name, service.max_connections)
            for service in parsed.services
        ),
        limits=model.Limits(
            max_header_bytes=parsed.limits.max_header_bytes,
            max_body_bytes=parsed.limits.max_body_bytes,
            header_timeout_ms=parsed.limits.header_timeout,
            idle_timeout_ms=parsed.limits.idle_timeout,
        ),
        workspaces=_to_workspaces(parsed.tenants),
    )


def kind_name(kind: model.WorkKind) -> str:
    """Return what the platform calls a kind of work."""
    return next(name for name, named in _KINDS.items() if named == kind)


def _to_route(parsed: RouteModel) -> model.Route:
    if parsed.service is not None:
        targets = (model.WeightedService(parsed.service, 1.0),)
    else:
        targets = tuple(
            model.WeightedService(part.service, part.weight)
            for part in parsed.traffic_split or ()
        )
    return model.Route(
        name=parsed.name,
        hostname=parsed.hostname,
        prefix=parsed.prefix,
        kind=_KINDS[parsed.kind],
        timeout_ms=parsed.timeout,
        target_latency_ms=parsed.target_latency,
        priority=parsed.priority,
        max_attempts=parsed.attempts,
        targets=targets,
        is_public=parsed.public,
    )


def _to_workspaces(
    parsed: list[WorkspaceModel] | None,
) -> tuple[workspace_model.Workspace, ...] | None:
    if parsed is None:
        return None
    return tuple(
        workspace_model.Workspace(
            entry.name,
            tuple(entry.api_keys),
            entry.priority,
            workspace_model.Quota(entry.rate_per_s, entry.burst)
            if entry.rate_per_s
            else None,
        )
        for entry in parsed
    )


def _describe(error: pydantic.ValidationError) -> str:
    """Return the fields and their errors, without what they held."""
    descriptions = [
        f'{".".join(map(str, details["loc"]))}: {details["msg"]}'
        for details in error.errors(
            include_url=False, include_context=False, include_input=False
        )
    ]
    hidden_count = len(descriptions) - MAX_DESCRIBED_ERRORS
    if hidden_count > 0:
        descriptions[MAX_DESCRIBED_ERRORS:] = [f'{hidden_count} more errors']
    return '; '.join(descriptions)
