"""What a check of a configuration found, in the words of the platform."""

import dataclasses

import pydantic
import pydantic_core
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cardamomdeal.document import check
from cardamomdeal.document import errors
from cardamomdeal.fleet import configuration_check
from cardamomdeal.fleet import model
from cardamomdeal.platform import configuration
from cardamomdeal.platform import redaction
from cardamomdeal.platform import store
from cardamomdeal.platform import wire
from cardamomdeal.workspaces import authentication
from cardamomdeal.workspaces import model as workspace_model

_TABLES = {'workspaces': wire.WORKSPACES_FIELD}
_FIELDS = {
    'targets': 'service',
    'timeout_ms': 'timeout',
    'target_latency_ms': 'target_latency',
    'max_attempts': 'attempts',
    'is_public': 'public',
    'key_digests': wire.KEYS_FIELD,
    'header_timeout_ms': 'header_timeout',
    'idle_timeout_ms': 'idle_timeout',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Warned:
    """A problem of a configuration that hosts would accept."""

    problem: errors.Problem


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A problem for which hosts would not use a configuration as meant."""

    problem: errors.Problem


Verdict = Warned | Refused


def read(
    value: bytes,
) -> Result[model.Configuration, tuple[errors.Problem, ...]]:
    """Decode a configuration with keys, or return all of its problems."""
    try:
        pydantic_core.from_json(value)
    except ValueError as error:
        return Failure(
            (_problem('(file)', 'text', str(error), 'correct the JSON'),)
        )
    item = store.Item(wire.CONFIGURATION_KEY, value, store.ABSENT_REVISION)
    redacted = redaction.redact(item)
    assert isinstance(redacted, store.Item)
    try:
        parsed = configuration.ConfigurationModel.model_validate_json(
            redacted.value
        )
    except pydantic.ValidationError as error:
        return Failure(tuple(check.validation_problems(error)))
    return Success(configuration.to_configuration(parsed))


def describe(finding: configuration_check.Finding) -> Verdict:
    """Return what a finding is called in the configuration."""
    match finding:
        case configuration_check.StaleVersion(version, in_force):
            return Refused(
                _problem(
                    'version',
                    version,
                    f'not above {in_force}, which is in force',
                    'raise the version',
                )
            )
        case configuration_check.WeightlessRoute(row):
            return Refused(
                _problem(
                    f'routes[{row}].traffic_split',
                    0,
                    'no service has a weight, so requests fail',
                    'give a service a weight above 0',
                )
            )
        case (
            configuration_check.KeylessWorkspace()
            | configuration_check.TooSmallQuota()
            | configuration_check.NeedlesslyPublic()
        ):
            return Warned(_describe_access(finding))
        case _:
            return Warned(_describe_route(finding))


def _describe_access(finding: configuration_check.Finding) -> errors.Problem:
    match finding:
        case configuration_check.KeylessWorkspace(row, name):
            return _problem(
                f'{wire.WORKSPACES_FIELD}[{row}].{wire.KEYS_FIELD}',
                [],
                f'{name} has no key and can send nothing',
                'add a key or remove the entry',
            )
        case configuration_check.TooSmallQuota(row, quota):
            return _problem(
                f'{wire.WORKSPACES_FIELD}[{row}].burst',
                quota.burst,
                f'less than one request, at {quota.rate_per_s:g} a second',
                'allow a burst of 1 or more',
            )
        case configuration_check.NeedlesslyPublic(row):
            return _problem(
                f'routes[{row}].public',
                True,
                f'no route needs a key without {wire.WORKSPACES_FIELD}',
                f'add {wire.WORKSPACES_FIELD}, or leave it out',
            )
    raise TypeError(finding)


def _describe_route(finding: configuration_check.Finding) -> errors.Problem:
    match finding:
        case configuration_check.HiddenRoute(row, later):
            return _problem(
                f'routes[{row}].prefix',
                later.prefix,
                f'never matches: {later.name} has the same prefix',
                'keep one of them',
            )
        case configuration_check.UnmatchableRoute(row, field, value):
            return _problem(
                f'routes[{row}].{field}',
                value,
                'never matches: requests are matched without port and query',
                'write the name, or the path, alone',
            )
        case configuration_check.WeightlessService(row, service):
            return _problem(
                f'routes[{row}].traffic_split',
                0,
                f'{service} is never chosen',
                'give it a weight or leave it out',
            )
        case configuration_check.UnlistedService(row, service):
            return _problem(
                f'routes[{row}].service',
                service,
                'not listed in services',
                'add it to services or correct the name',
            )
        case configuration_check.UnusedService(row, service):
            return _problem(
                f'services[{row}].name',
                service,
                'no route goes to it',
                'add a route or remove the service',
            )
        case configuration_check.TargetOverTimeout(row, target_ms, timeout_ms):
            return _problem(
                f'routes[{row}].target_latency',
                f'{target_ms}ms',
                f'requests end before it, at the timeout of {timeout_ms}ms',
                'lower it or raise the timeout',
            )
    raise TypeError(finding)


def describe_difference(difference: configuration_check.Difference) -> str:
    """Return one line on what a configuration would change."""
    match difference:
        case configuration_check.Added(table, name):
            return f'{_TABLES.get(table, table)}: {name} is added'
        case configuration_check.Removed(table, name):
            return f'{_TABLES.get(table, table)}: {name} is removed'
        case configuration_check.Changed(table, name, field, before, after):
            place = f'{_TABLES.get(table, table)} {name}'.rstrip()
            change = f'{_text(before)} -> {_text(after)}'
            return f'{place}: {_FIELDS.get(field, field)} {change}'


def _text(value: object) -> str:
    match value:
        case None:
            return '(none)'
        case workspace_model.Quota(rate_per_s, burst):
            return f'{rate_per_s:g} a second and {burst:g}'
        case bytes():
            return authentication.short_digest(value)
        case model.WeightedService(service, weight):
            return f'{service} ({weight:g})'
        case tuple():
            return ', '.join(map(_text, value)) or '(none)'
        case model.Idempotent() | model.NonIdempotent() | model.Upload():
            return configuration.kind_name(value)
        case _:
            return str(value)


def _problem(
    path: str, value: object, reason: str, remedy: str
) -> errors.Problem:
    return errors.Problem(path, str(value), reason, remedy)
