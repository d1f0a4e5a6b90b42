"""Command that checks a configuration of the platform before it is sent."""

import argparse
import json
import pathlib
import sys
from typing import Any

from returns.result import Failure
from returns.result import Success

from cardamomdeal.admin import errors
from cardamomdeal.fleet import configuration_check
from cardamomdeal.fleet import model
from cardamomdeal.internal import address
from cardamomdeal.platform import configuration_report
from cardamomdeal.platform import store
from cardamomdeal.platform import wire

EXIT_WARNINGS = 1
EXIT_ERRORS = 2
STORE_TIMEOUT_MS = 5_000


def add_to(commands: Any) -> None:
    """Add the command to the command line."""
    command = commands.add_parser(
        'check-configuration',
        help='check a configuration of the platform, and show what it changes',
    )
    command.add_argument('configuration', help='file with the configuration')
    in_force = command.add_mutually_exclusive_group()
    in_force.add_argument(
        '--in-force', metavar='FILE', help='file with the one in force'
    )
    in_force.add_argument(
        '--store', metavar='IP:PORT', help='store with the one in force'
    )
    command.add_argument(
        '--strict', action='store_true', help='exit with 1 for warnings'
    )
    command.add_argument(
        '--json', action='store_true', help='print the result as JSON'
    )
    command.set_defaults(run=run)


def run(_api: Any, arguments: argparse.Namespace) -> None:
    """Check the configuration, print what was found, and exit."""
    try:
        found = _check(arguments)
    except errors.CommandFailed as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_ERRORS)
    _print(found, arguments.json)
    if found['errors']:
        sys.exit(EXIT_ERRORS)
    if found['warnings'] and arguments.strict:
        sys.exit(EXIT_WARNINGS)


def _check(arguments: argparse.Namespace) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {
        'errors': [],
        'warnings': [],
        'differences': [],
    }
    match configuration_report.read(_read_file(arguments.configuration)):
        case Failure(problems):
            found['errors'].extend(map(str, problems))
            return found
        case Success(new):
            in_force = _read_in_force(arguments)
    for finding in configuration_check.find(new, in_force):
        match configuration_report.describe(finding):
            case configuration_report.Refused(problem):
                found['errors'].append(str(problem))
            case configuration_report.Warned(problem):
                found['warnings'].append(str(problem))
    if in_force is not None:
        found['differences'].extend(
            configuration_report.describe_difference(difference)
            for difference in configuration_check.compare(in_force, new)
        )
    return found


def _print(found: dict[str, list[str]], as_json: bool) -> None:
    if as_json:
        print(json.dumps(found, indent=2, ensure_ascii=False))
        return
    for label, lines in found.items():
        for line in lines:
            print(f'{label.removesuffix("s")}: {line}')
    if not found['errors']:
        print('valid')


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.CommandFailed(f'cannot read {path}: {error}') from error


def _read_in_force(
    arguments: argparse.Namespace,
) -> model.Configuration | None:
    if arguments.in_force is not None:
        source, value = arguments.in_force, _read_file(arguments.in_force)
    elif arguments.store is not None:
        source, value = arguments.store, _read_stored(arguments.store)
    else:
        return None
    match configuration_report.read(value):
        case Success(in_force):
            return in_force
        case Failure(found):
            raise errors.CommandFailed(
                f'{source}: ' + '\n'.join(map(str, found))
            )


def _read_stored(store_address: str) -> bytes:
    try:
        parsed = address.parse_address(store_address)
    except ValueError as error:
        raise errors.CommandFailed(str(error)) from error
    client = store.StoreClient(parsed, STORE_TIMEOUT_MS)
    match client.get(wire.CONFIGURATION_KEY):
        case Success(item):
            return item.value
        case Failure(error):
            raise errors.CommandFailed(f'{store_address}: {error}')
