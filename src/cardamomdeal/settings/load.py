"""Reads settings files."""

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
    """Read gateway settings; raise SettingsError."""
    return _settings(path, schema.GatewayModel, model.GatewaySettings)


def load_agent(path: str) -> model.AgentSettings:
    """Read agent settings; raise SettingsError."""
    return _settings(path, schema.AgentModel, model.AgentSettings)


def load_directory(path: str) -> model.DirectorySettings:
    """Read directory settings; raise SettingsError."""
    return _settings(path, schema.DirectoryModel, model.DirectorySettings)


def load_admin(path: str) -> model.AdminSettings:
    """Read administration API settings; raise SettingsError."""
    return _settings(path, schema.AdminModel, model.AdminSettings)


def load_entry(path: str) -> model.EntrySettings:
    """Read the settings of an entry host; raise SettingsError."""
    checked = _load(path, schema.EntryModel)
    return model.EntrySettings(
        name=checked.host,
        place=model.Place(checked.host, checked.region, checked.data_centre),
        telemetry=model.Telemetry(checked.statsd, checked.log_level),
        callers=checked.callers,
        readiness=checked.readiness,
        directory=checked.directory,
        peers=checked.peers,
        seeds=tuple(
            address.Address(seed.host, checked.seeds_port or seed.port)
            for seed in checked.seeds
        ),
        metrics=checked.metrics,
        store=checked.store,
        bounds=_bounds(checked.bounds),
    )


def _bounds(checked: schema.BoundsModel) -> model.Bounds:
    return model.Bounds(
        drain_ms=checked.drain,
        stop_grace_ms=checked.stop_grace,
        max_keep_for_ms=checked.max_keep_for,
        repeat_ratio=checked.repeat_ratio,
        repeat_window_ms=checked.repeat_window,
        repeat_slack=checked.repeat_slack,
        capacity_floor=checked.capacity_floor,
    )


def _settings(
    path: str,
    schema_class: type[schema.ProcessModel],
    settings_class: type[Settings],
) -> Settings:
    checked = _load(path, schema_class)
    values: dict[str, Any] = {
        'place': model.Place(
            checked.host, checked.region, checked.data_centre
        ),
        'telemetry': model.Telemetry(checked.statsd, checked.log_level),
    }
    # The other fields have the same names on both sides.
    for field in dataclasses.fields(settings_class):
        if field.name not in values:
            values[field.name] = getattr(checked, field.name)
    return settings_class(**values)


def _load(path: str, schema_class: type[Schema]) -> Schema:
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
            f'settings file {path} is not JSON with comments: {error}'
        ) from error
    try:
        return schema_class.model_validate(raw)
    except pydantic.ValidationError as error:
        problems = '; '.join(str(p) for p in check.validation_problems(error))
        raise errors.SettingsError(
            f'settings file {path}: {problems}'
        ) from error
