"""Loading and validation of settings files."""

import dataclasses
import pathlib
from typing import Any
from typing import TypeVar

import json5
import pydantic

from cardamomdeal.document import check
from cardamomdeal.internal import address
from cardamomdeal.settings import errors
from cardamomdeal.settings import model
from cardamomdeal.settings import schema

Settings = TypeVar(
    'Settings',
    model.GatewaySettings,
    model.AgentSettings,
    model.DirectorySettings,
    model.AdminSettings,
)

Schema = TypeVar('Schema', bound=pydantic.BaseModel)


def load_gateway(path: str) -> model.GatewaySettings:
    """Load gateway settings; raise SettingsError."""
    return _load_settings(path, schema.GatewayModel, model.GatewaySettings)


def load_agent(path: str) -> model.AgentSettings:
    """Load agent settings; raise SettingsError."""
    return _load_settings(path, schema.AgentModel, model.AgentSettings)


def load_directory(path: str) -> model.DirectorySettings:
    """Load directory settings; raise SettingsError."""
    return _load_settings(path, schema.DirectoryModel, model.DirectorySettings)


def load_admin(path: str) -> model.AdminSettings:
    """Load administration API settings; raise SettingsError."""
    return _load_settings(path, schema.AdminModel, model.AdminSettings)


def load_entry(path: str) -> model.EntrySettings:
    """Load entry host settings; raise SettingsError."""
    validated = _load_model(path, schema.EntryModel)
    return model.EntrySettings(
        name=validated.host,
        place=model.Place(
            validated.host, validated.region, validated.data_centre
        ),
        telemetry=model.Telemetry(validated.statsd, validated.log_level),
        callers=validated.callers,
        readiness=validated.readiness,
        directory=validated.directory,
        peers=validated.peers,
        seeds=tuple(
            address.Address(seed.host, validated.seeds_port or seed.port)
            for seed in validated.seeds
        ),
        metrics=validated.metrics,
        store=validated.store,
        link_mbps=validated.link_mbps,
        memory_mb=validated.memory_mb,
        heartbeat_ms=validated.heartbeat,
        bounds=_bounds(validated.bounds),
        admission_control=validated.admission_control,
    )


def _bounds(validated: schema.BoundsModel) -> model.Bounds:
    return model.Bounds(
        drain_ms=validated.drain,
        stop_grace_ms=validated.stop_grace,
        max_keep_for_ms=validated.max_keep_for,
        repeat_ratio=validated.repeat_ratio,
        repeat_window_ms=validated.repeat_window,
        repeat_slack=validated.repeat_slack,
        capacity_floor=validated.capacity_floor,
        fail_closed=validated.fail_closed,
        revoke_ms=validated.revoke,
        quota_window_ms=validated.quota_window,
        quota_overage=validated.quota_overage,
        quota_slack=validated.quota_slack,
    )


def _load_settings(
    path: str,
    schema_class: type[schema.ProcessModel],
    settings_class: type[Settings],
) -> Settings:
    validated = _load_model(path, schema_class)
    values: dict[str, Any] = {
        'place': model.Place(
            validated.host, validated.region, validated.data_centre
        ),
        'telemetry': model.Telemetry(validated.statsd, validated.log_level),
    }
    # The other fields have the same names in schema and data class.
    for field in dataclasses.fields(settings_class):
        if field.name not in values:
            values[field.name] = getattr(validated, field.name)
    return settings_class(**values)


def _load_model(path: str, schema_class: type[Schema]) -> Schema:
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f'cannot read settings file {path}: {error}'
        ) from error
    try:
        raw = json5.loads(text)
    except ValueError as error:
        raise errors.SettingsError(
            f'settings file {path} is not valid JSON5: {error}'
        ) from error
    try:
        return schema_class.model_validate(raw)
    except pydantic.ValidationError as error:
        problems = '; '.join(
            str(problem) for problem in check.validation_problems(error)
        )
        raise errors.SettingsError(
            f'settings file {path}: {problems}'
        ) from error
