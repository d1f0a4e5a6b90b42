"""Reads the operators' configuration from the store's value."""

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

# The client's deadline bounds a request anyway; a route without a number
# of attempts gets the least that lets a refused one be placed elsewhere.
DEFAULT_ATTEMPTS = 2
LOWEST_PRIORITY = 9

_KINDS: dict[str, model.WorkKind] = {
    'safe': model.Idempotent(),
    'unsafe': model.NonIdempotent(),
    'upload': model.Upload(),
}


def _rows(value: Any) -> Any:
    """Turn a table of columns and rows into a list of objects."""
    if not (isinstance(value, dict) and 'columns' in value):
        return value
    columns = value['columns']
    return [
        {
            name: cell
            for name, cell in zip(columns, row, strict=True)
            if cell is not None
        }
        for row in value.get('rows', [])
    ]


class SplitModel(pydantic.BaseModel):
    """Check one part of a split."""

    service: str
    weight: Annotated[float, pydantic.Field(ge=0)]


class RouteModel(pydantic.BaseModel):
    """Check a route."""

    name: str
    hostname: str
    prefix: Annotated[str, pydantic.Field(pattern=r'^/(.*/)?$')]
    kind: Literal['safe', 'unsafe', 'upload']
    timeout: units.TimeMs | None = None
    target_latency: units.TimeMs | None = None
    attempts: Annotated[int, pydantic.Field(ge=1)] = DEFAULT_ATTEMPTS
    priority: int = LOWEST_PRIORITY
    service: str | None = None
    traffic_split: Annotated[
        list[SplitModel] | None, pydantic.BeforeValidator(_rows)
    ] = None

    @pydantic.model_validator(mode='after')
    def _goes_somewhere(self) -> 'RouteModel':
        if self.service is None and not self.traffic_split:
            raise ValueError('a route names a service or a traffic_split')
        return self


class ServiceModel(pydantic.BaseModel):
    """Check a service."""

    name: str
    max_connections: int


class LimitsModel(pydantic.BaseModel):
    """Check the bounds on what callers send."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: units.TimeMs
    idle_timeout: units.TimeMs


class ConfigurationModel(pydantic.BaseModel):
    """Check the whole configuration."""

    version: int
    routes: Annotated[list[RouteModel], pydantic.BeforeValidator(_rows)]
    services: Annotated[list[ServiceModel], pydantic.BeforeValidator(_rows)]
    limits: LimitsModel


def read_configuration(
    value: bytes,
) -> Result[model.Configuration, errors.FleetError]:
    """Decode a stored configuration."""
    try:
        checked = ConfigurationModel.model_validate_json(value)
    except ValueError as error:
        return Failure(errors.InvalidEntry(f'configuration: {error}'))
    return Success(
        model.Configuration(
            version=checked.version,
            routes=tuple(_route(route) for route in checked.routes),
            services=tuple(
                model.Service(service.name, service.max_connections)
                for service in checked.services
            ),
            limits=model.Limits(
                max_header_bytes=checked.limits.max_header_bytes,
                max_body_bytes=checked.limits.max_body_bytes,
                header_timeout_ms=checked.limits.header_timeout,
                idle_timeout_ms=checked.limits.idle_timeout,
            ),
        )
    )


def _route(checked: RouteModel) -> model.Route:
    if checked.service is not None:
        targets = (model.WeightedService(checked.service, 1.0),)
    else:
        targets = tuple(
            model.WeightedService(part.service, part.weight)
            for part in checked.traffic_split or ()
        )
    return model.Route(
        name=checked.name,
        hostname=checked.hostname,
        prefix=checked.prefix,
        kind=_KINDS[checked.kind],
        timeout_ms=checked.timeout,
        target_latency_ms=checked.target_latency,
        priority=checked.priority,
        max_attempts=checked.attempts,
        targets=targets,
    )
