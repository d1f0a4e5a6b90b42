"""Reads settings files."""

import pathlib
from typing import TypeVar

import json5
import pydantic

from cardamomdeal.document import check
from cardamomdeal.settings import errors
from cardamomdeal.settings import model
from cardamomdeal.settings import schema

Checked = TypeVar('Checked', bound=schema.ProcessModel)


def load_gateway(path: str) -> model.GatewaySettings:
    """Read gateway settings; raise SettingsError."""
    checked = _load(path, schema.GatewayModel)
    return model.GatewaySettings(
        name=checked.name,
        place=_place(checked),
        telemetry=_telemetry(checked),
        listen=checked.listen,
        agent=checked.agent,
        work_classes=frozenset(checked.work_classes),
        threads=checked.threads,
        keep_for_ms=checked.keep_for_ms,
        notice_ms=checked.notice_ms,
        report_interval_ms=checked.report_interval_ms,
        connect_timeout_ms=checked.connect_timeout_ms,
        caller_timeout_ms=checked.caller_timeout_ms,
        stop_timeout_ms=checked.stop_timeout_ms,
    )


def load_agent(path: str) -> model.AgentSettings:
    """Read agent settings; raise SettingsError."""
    checked = _load(path, schema.AgentModel)
    return model.AgentSettings(
        name=checked.name,
        place=_place(checked),
        telemetry=_telemetry(checked),
        listen=checked.listen,
        platform=checked.platform,
        environment=checked.environment,
        seed_peers=tuple(checked.seed_peers),
        gossip_interval_ms=checked.gossip_interval_ms,
        gossip_fanout=checked.gossip_fanout,
        store_readers=checked.store_readers,
        peer_timeout_ms=checked.peer_timeout_ms,
        watch_ms=checked.watch_ms,
        judge_interval_ms=checked.judge_interval_ms,
        ejection_validity_ms=checked.ejection_validity_ms,
    )


def load_directory(path: str) -> model.DirectorySettings:
    """Read directory settings; raise SettingsError."""
    checked = _load(path, schema.DirectoryModel)
    return model.DirectorySettings(
        name=checked.name,
        place=_place(checked),
        telemetry=_telemetry(checked),
        listen=checked.listen,
        agent=checked.agent,
        keep_for_ms=checked.keep_for_ms,
        addresses_per_answer=checked.addresses_per_answer,
        query_interval_ms=checked.query_interval_ms,
        view_valid_ms=checked.view_valid_ms,
    )


def load_admin(path: str) -> model.AdminSettings:
    """Read administration API settings; raise SettingsError."""
    checked = _load(path, schema.AdminModel)
    return model.AdminSettings(
        name=checked.name,
        place=_place(checked),
        telemetry=_telemetry(checked),
        listen=checked.listen,
        agents=dict(checked.agents),
        platform=checked.platform,
        store_timeout_ms=checked.store_timeout_ms,
    )


def _load(path: str, schema_class: type[Checked]) -> Checked:
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
        problems = '; '.join(str(p) for p in check.problems_of(error))
        raise errors.SettingsError(
            f'settings file {path}: {problems}'
        ) from error


def _place(checked: schema.ProcessModel) -> model.Place:
    return model.Place(checked.host, checked.region, checked.data_centre)


def _telemetry(checked: schema.ProcessModel) -> model.Telemetry:
    return model.Telemetry(checked.statsd, checked.log_level)
