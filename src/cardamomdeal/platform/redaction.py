"""Replaces the keys in stored values by digests as they are read.

What a process keeps and passes on to other hosts then holds no keys. Every
value that comes from the store passes here, so no text of an operator is
taken for a digest: it is digested itself.
"""

import logging
from typing import Any

import pydantic_core

from cardamomdeal.platform import credentials
from cardamomdeal.platform import store
from cardamomdeal.platform import wire
from cardamomdeal.workspaces import keys

# Take the place of what cannot be searched for keys. The decoder refuses them
# by the name of their field.
_UNREADABLE = 'unreadable'
_NO_KEY = False

log = logging.getLogger(__name__)


def redact(event: store.Event) -> store.Event:
    """Return a change of the store without the keys of workspaces."""
    match event:
        case store.Item(wire.CONFIGURATION_KEY, value, revision):
            return store.Item(
                wire.CONFIGURATION_KEY, _redact_configuration(value), revision
            )
        case _:
            return event


def _redact_configuration(value: bytes) -> bytes:
    try:
        parsed = pydantic_core.from_json(value)
        if isinstance(parsed, dict):
            if wire.WORKSPACES_FIELD not in parsed:
                return value
            parsed[wire.WORKSPACES_FIELD] = _redact_workspaces(
                parsed[wire.WORKSPACES_FIELD]
            )
            return pydantic_core.to_json(parsed)
        reason = 'not an object'
    except ValueError as error:
        reason = str(error)
    log.error('stored configuration cannot be read', extra={'reason': reason})
    return pydantic_core.to_json(_UNREADABLE)


def _redact_workspaces(workspaces: Any) -> Any:
    match workspaces:
        case None:
            return None
        case {'columns': list() as columns} if all(
            isinstance(name, str) for name in columns
        ):
            rows = workspaces.get('rows', [])
            if not _is_table(rows, len(columns)):
                return _UNREADABLE
            return {
                'columns': columns,
                'rows': [_redact_row(columns, row) for row in rows],
            }
        case list() if all(isinstance(entry, dict) for entry in workspaces):
            return [
                dict(
                    zip(entry, _redact_row(entry, entry.values()), strict=True)
                )
                for entry in workspaces
            ]
        case _:
            return _UNREADABLE


def _is_table(rows: Any, column_count: int) -> bool:
    return isinstance(rows, list) and all(
        isinstance(row, list) and len(row) == column_count for row in rows
    )


def _redact_row(names: Any, cells: Any) -> list[Any]:
    return [
        _redact_keys(cell) if name == wire.KEYS_FIELD else cell
        for name, cell in zip(names, cells, strict=True)
    ]


def _redact_keys(cell: Any) -> Any:
    match cell:
        case None:
            return None
        case list():
            return [
                credentials.encode_digest(keys.digest(key))
                if credentials.is_key(key)
                else _NO_KEY
                for key in cell
            ]
        case _:
            return _UNREADABLE
