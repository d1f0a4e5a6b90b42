"""Command line client of the administration API."""

import argparse
import difflib
import json
import pathlib
import sys
import time
from typing import Any
import uuid

from returns.result import Failure
from returns.result import Success
import urllib3

from cardamomdeal.admin import configuration_command
from cardamomdeal.admin import errors
from cardamomdeal.document import check

PROGRAM = 'cardamomdeal'
TIMEOUT_S = 30.0
ROLLOUT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.3
EXIT_FAILED = 1
EXIT_UNKNOWN = 3
TRIAL = 'trial'
PRODUCTION = 'production'


class ApiClient:
    """HTTP client of the administration API."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip('/')
        self._pool = urllib3.PoolManager(retries=False)

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Call the API and return the response body; raise an AdminError."""
        try:
            response = self._pool.request(
                method, self._url + path, json=body, timeout=TIMEOUT_S
            )
            response_body = response.json()
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise errors.CommandFailed(f'{self._url}: {error}') from error
        if response.status == 504:
            raise errors.ChangeOutcomeUnknown(response_body['error'])
        if response.status != 200:
            lines = response_body.get('problems') or [
                response_body.get('error', 'failed')
            ]
            raise errors.CommandFailed('\n'.join(lines))
        return response_body


def main() -> None:
    """Run the command that is given on the command line."""
    arguments = _parser().parse_args()
    try:
        arguments.run(ApiClient(arguments.api), arguments)
    except errors.ChangeOutcomeUnknown as error:
        print(f'{PROGRAM}: outcome unknown: {error}', file=sys.stderr)
        sys.exit(EXIT_UNKNOWN)
    except errors.AdminError as error:
        print(f'{PROGRAM}: {error}', file=sys.stderr)
        sys.exit(EXIT_FAILED)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=PROGRAM, description='Administer a fleet.'
    )
    parser.add_argument(
        '--api',
        default='http://127.0.0.1:7400',
        help='URL of the administration API',
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')

    command = commands.add_parser('check', help='check a document')
    command.add_argument('document')
    command.set_defaults(run=_check)

    configuration_command.add_to(commands)

    command = commands.add_parser(
        'try', help='apply a document to the trial environment'
    )
    command.add_argument('document')
    _add_change_arguments(command)
    command.set_defaults(run=_try)

    command = commands.add_parser(
        'promote',
        help='apply a document that is active in trial to production',
    )
    command.add_argument(
        'digest',
        nargs='?',
        help='default: the digest of the document in trial',
    )
    _add_change_arguments(command)
    command.set_defaults(run=_promote)

    for name, run, text in (
        ('show', _show, 'show the configuration of an environment'),
        ('status', _status, 'show hosts, gateways and backend servers'),
        ('hosts', _hosts, 'list hosts and their versions'),
        ('histograms', _histograms, 'show latencies by tenant and work class'),
    ):
        command = commands.add_parser(name, help=text)
        _add_environment_argument(command)
        command.set_defaults(run=run)

    command = commands.add_parser('diff', help='compare production with trial')
    command.set_defaults(run=_diff)

    command = commands.add_parser(
        'drain', help='stop the gateways of a host gracefully'
    )
    command.add_argument('host')
    _add_environment_argument(command)
    command.set_defaults(run=_drain)
    return parser


def _add_environment_argument(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        '--environment', choices=(TRIAL, PRODUCTION), default=PRODUCTION
    )


def _add_change_arguments(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        '--change-id',
        default=None,
        help='id of the change; give it again if the outcome is unknown',
    )
    command.add_argument(
        '--expected-version',
        type=int,
        default=None,
        help='reject the change if the environment has another version',
    )
    command.add_argument(
        '--no-wait',
        action='store_true',
        help='do not wait until the change is active on all hosts',
    )


def _read_document(path: str) -> Any:
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.CommandFailed(f'cannot read {path}: {error}') from error
    match check.parse_text(text):
        case Success(raw):
            return raw
        case Failure(problems):
            raise errors.CommandFailed(
                '\n'.join(str(problem) for problem in problems)
            )


def _check(api: ApiClient, arguments: argparse.Namespace) -> None:
    body = {'document': _read_document(arguments.document)}
    print(
        'valid, digest', api.call('POST', '/documents/check', body)['digest']
    )


def _try(api: ApiClient, arguments: argparse.Namespace) -> None:
    body = {
        'document': _read_document(arguments.document),
        **_change_fields(arguments),
    }
    accepted = api.call('PUT', '/environments/trial', body)
    _wait_for_rollout(api, TRIAL, accepted, arguments)


def _promote(api: ApiClient, arguments: argparse.Namespace) -> None:
    digest = arguments.digest
    if digest is None:
        digest = api.call('GET', '/environments/trial')['digest']
    body = {'digest': digest, **_change_fields(arguments)}
    accepted = api.call('POST', '/environments/production/promote', body)
    _wait_for_rollout(api, PRODUCTION, accepted, arguments)


def _change_fields(arguments: argparse.Namespace) -> dict[str, Any]:
    change_id = arguments.change_id or uuid.uuid4().hex
    # Printed before the call, so that the operator can send the change
    # again with this id if the response is lost.
    print('change', change_id)
    return {
        'change_id': change_id,
        'expected_version': arguments.expected_version,
    }


def _wait_for_rollout(
    api: ApiClient,
    environment: str,
    accepted: dict[str, Any],
    arguments: argparse.Namespace,
) -> None:
    version = accepted['version']
    print(f'accepted: {environment} version {version}')
    if arguments.no_wait:
        return
    started_s = time.monotonic()
    while time.monotonic() - started_s < ROLLOUT_TIMEOUT_S:
        hosts = api.call('GET', f'/environments/{environment}/status')['hosts']
        if all(_host_version(host) >= version for host in hosts):
            waited_s = time.monotonic() - started_s
            print(f'in force on {len(hosts)} hosts after {waited_s:.1f} s')
            return
        time.sleep(POLL_INTERVAL_S)
    raise errors.CommandFailed(
        f'accepted, but not active on all hosts after '
        f'{ROLLOUT_TIMEOUT_S:.0f} s; see the hosts command'
    )


def _host_version(host: dict[str, Any]) -> int:
    if not host['ready']:
        return 0
    return min(
        [
            host['version'],
            *(gateway['version'] for gateway in host['gateways']),
        ]
    )


def _show(api: ApiClient, arguments: argparse.Namespace) -> None:
    record = api.call('GET', f'/environments/{arguments.environment}')
    print(json.dumps(record, indent=2, ensure_ascii=False))


def _status(api: ApiClient, arguments: argparse.Namespace) -> None:
    path = f'/environments/{arguments.environment}/status'
    print(json.dumps(api.call('GET', path), indent=2, ensure_ascii=False))


def _hosts(api: ApiClient, arguments: argparse.Namespace) -> None:
    path = f'/environments/{arguments.environment}/status'
    for host in sorted(
        api.call('GET', path)['hosts'], key=lambda item: item['host']
    ):
        state = 'ready' if host['ready'] else 'joining'
        gateways = ', '.join(
            gateway['address'] + (' stopping' if gateway['stopping'] else '')
            for gateway in host['gateways']
        )
        print(
            f'{host["host"]}  {host["data_centre"]}  {state}  '
            f'version {host["version"]}  {gateways}'
        )


def _histograms(api: ApiClient, arguments: argparse.Namespace) -> None:
    path = f'/environments/{arguments.environment}/histograms'
    print(json.dumps(api.call('GET', path), indent=2, ensure_ascii=False))


def _diff(api: ApiClient, arguments: argparse.Namespace) -> None:
    texts = [
        json.dumps(
            api.call('GET', f'/environments/{name}')['document'],
            indent=2,
            sort_keys=True,
            ensure_ascii=False,
        ).splitlines()
        for name in (PRODUCTION, TRIAL)
    ]
    for line in difflib.unified_diff(*texts, PRODUCTION, TRIAL, lineterm=''):
        print(line)


def _drain(api: ApiClient, arguments: argparse.Namespace) -> None:
    path = (
        f'/environments/{arguments.environment}/hosts/{arguments.host}/drain'
    )
    api.call('POST', path)
    print(f'draining {arguments.host}')
