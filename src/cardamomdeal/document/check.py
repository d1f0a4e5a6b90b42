"""Validation of environment documents and conversion to the model."""

from collections.abc import Iterator
import hashlib
import json
from typing import Any

import json5
import pydantic
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.document import errors
from cardamomdeal.document import model
from cardamomdeal.document import schema
from cardamomdeal.internal import address

DEFAULT_IDLE_TIMEOUT_MS = 30_000
MAX_VALUE_CHARACTERS = 80

Problems = tuple[errors.Problem, ...]


def parse_text(text: str) -> Result[dict[str, Any], Problems]:
    """Parse JSON, with JSON5 syntax such as comments allowed."""
    try:
        raw = json.loads(text)
    except ValueError:
        try:
            raw = json5.loads(text)
        except ValueError as error:
            return Failure(
                (
                    errors.Problem(
                        '(file)',
                        'text',
                        f'not JSON: {error}',
                        'correct the syntax',
                    ),
                )
            )
    if not isinstance(raw, dict):
        return Failure(
            (
                errors.Problem(
                    '(file)',
                    _format_value(raw),
                    'not an object',
                    'write one { } object',
                ),
            )
        )
    return Success(raw)


def check_document(raw: Any) -> Result[model.Document, Problems]:
    """Validate parsed JSON; return the document or all its problems."""
    try:
        checked = schema.DocumentModel.model_validate(raw)
    except pydantic.ValidationError as error:
        return Failure(tuple(validation_problems(error)))
    problems = tuple(_consistency_problems(checked))
    if problems:
        return Failure(problems)
    return Success(_to_model(checked))


def canonical_bytes(raw: dict[str, Any]) -> bytes:
    """Return the canonical encoding, over which digests are computed."""
    return json.dumps(
        raw, sort_keys=True, separators=(',', ':'), ensure_ascii=False
    ).encode()


def digest_of(canonical: bytes) -> str:
    """Return the digest that identifies a document."""
    return hashlib.sha256(canonical).hexdigest()


def validation_problems(
    error: pydantic.ValidationError,
) -> Iterator[errors.Problem]:
    """Convert a pydantic validation error to problems."""
    for detail in error.errors(include_url=False):
        yield errors.Problem(
            path=_format_path(detail['loc']),
            value=_format_value(detail['input']),
            reason=detail['msg'],
            remedy=_remedy(detail['type']),
        )


def _format_path(location: tuple[int | str, ...]) -> str:
    text = ''
    for part in location:
        if isinstance(part, int):
            text += f'[{part}]'
        else:
            text += f'.{part}' if text else part
    return text or '(document)'


def _format_value(value: Any) -> str:
    text = json.dumps(value, default=str)
    if len(text) > MAX_VALUE_CHARACTERS:
        return text[:MAX_VALUE_CHARACTERS] + '...'
    return text


def _remedy(error_type: str) -> str:
    match error_type:
        case 'missing':
            return 'add the field'
        case 'extra_forbidden':
            return 'remove the field or correct its name'
        case _:
            return 'correct the value'


def _consistency_problems(
    checked: schema.DocumentModel,
) -> Iterator[errors.Problem]:
    yield from _duplicate_names(checked)
    yield from _unknown_references(checked)
    yield from _address_problems(checked)
    yield from _capacity_floor_problems(checked)
    yield from _route_problems(checked)


def _duplicate_names(
    checked: schema.DocumentModel,
) -> Iterator[errors.Problem]:
    for field in ('services', 'backend_servers', 'work_kinds'):
        seen: set[str] = set()
        for index, item in enumerate(getattr(checked, field)):
            if item.name in seen:
                yield errors.Problem(
                    f'{field}[{index}].name',
                    _format_value(item.name),
                    'the name is used twice',
                    'give each its own name',
                )
            seen.add(item.name)


def _unknown_references(
    checked: schema.DocumentModel,
) -> Iterator[errors.Problem]:
    services = {service.name for service in checked.services}
    data_centres = set(checked.data_centres)
    for index, server in enumerate(checked.backend_servers):
        path = f'backend_servers[{index}]'
        if server.service not in services:
            yield _unknown_reference(
                f'{path}.service', server.service, 'services'
            )
        if server.data_centre not in data_centres:
            yield _unknown_reference(
                f'{path}.data_centre', server.data_centre, 'data_centres'
            )
    for index, kind in enumerate(checked.work_kinds):
        if kind.service not in services:
            yield _unknown_reference(
                f'work_kinds[{index}].service', kind.service, 'services'
            )


def _unknown_reference(
    path: str, value: str, listed_in: str
) -> errors.Problem:
    return errors.Problem(
        path,
        _format_value(value),
        f'not listed in {listed_in}',
        f'add it to {listed_in} or correct the name',
    )


def _address_problems(
    checked: schema.DocumentModel,
) -> Iterator[errors.Problem]:
    seen: set[address.Address] = set()
    for index, server in enumerate(checked.backend_servers):
        path = f'backend_servers[{index}].address'
        try:
            parsed = address.parse_address(server.address)
        except ValueError as error:
            yield errors.Problem(
                path,
                _format_value(server.address),
                str(error),
                'write IP:PORT',
            )
            continue
        if parsed in seen:
            yield errors.Problem(
                path,
                _format_value(server.address),
                'the address is used twice',
                'give each backend server its own address',
            )
        seen.add(parsed)


def _capacity_floor_problems(
    checked: schema.DocumentModel,
) -> Iterator[errors.Problem]:
    for index, service in enumerate(checked.services):
        total = sum(
            server.slots
            for server in checked.backend_servers
            if server.service == service.name
        )
        if service.floor_slots > total:
            yield errors.Problem(
                f'services[{index}].floor_slots',
                str(service.floor_slots),
                f'the backend servers of {service.name} have {total} slots',
                'lower the floor or add backend servers',
            )


def _route_problems(checked: schema.DocumentModel) -> Iterator[errors.Problem]:
    seen: set[tuple[str, str]] = set()
    for index, kind in enumerate(checked.work_kinds):
        for method in kind.methods:
            if (method, kind.path_prefix) in seen:
                yield errors.Problem(
                    f'work_kinds[{index}].path_prefix',
                    _format_value(kind.path_prefix),
                    f'{method} on this prefix is routed twice',
                    'keep one kind of work for each method and prefix',
                )
            seen.add((method, kind.path_prefix))


def _to_model(checked: schema.DocumentModel) -> model.Document:
    return model.Document(
        name=checked.name,
        region=checked.region,
        data_centres=tuple(checked.data_centres),
        services=tuple(
            model.Service(service.name, service.floor_slots)
            for service in checked.services
        ),
        backend_servers=tuple(
            model.BackendServer(
                name=server.name,
                service=server.service,
                data_centre=server.data_centre,
                address=address.parse_address(server.address),
                slots=server.slots,
                max_connections=server.max_connections,
            )
            for server in checked.backend_servers
        ),
        work_kinds=tuple(_to_work_kind(kind) for kind in checked.work_kinds),
    )


def _to_work_kind(kind: schema.WorkKindModel) -> model.WorkKind:
    work_class: model.WorkClass
    match kind.work_class:
        case 'short':
            work_class = model.ShortWork(kind.deadline_ms)
        case 'upload':
            work_class = model.UploadWork(
                kind.idle_timeout_ms or DEFAULT_IDLE_TIMEOUT_MS,
                kind.deadline_ms,
            )
    return model.WorkKind(
        name=kind.name,
        service=kind.service,
        methods=frozenset(kind.methods),
        path_prefix=kind.path_prefix,
        idempotent=kind.idempotent,
        work_class=work_class,
        max_body_bytes=kind.max_body_bytes,
    )
