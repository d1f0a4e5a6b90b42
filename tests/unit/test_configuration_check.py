"""Check of a platform's configuration before it is sent."""

import contextlib
import io
import json
import pathlib
import sys
import tempfile
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
from returns.result import Success

from cardamomdeal.admin import command
from cardamomdeal.fleet import configuration_check
from cardamomdeal.platform import configuration_report
from tests.unit import test_workspace_keys

BAKERY = test_workspace_keys.BAKERY
json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=8,
)


def configuration(**changes):
    """Return a configuration without faults, as JSON, but for changes."""
    value = json.loads(
        test_workspace_keys.stored(test_workspace_keys.table(BAKERY))
    )
    value['services'] = [{'name': 'lager', 'max_connections': 1}]
    route = value['routes'][0]
    value['routes'].append(
        route | {'name': 'c', 'prefix': '/c/'} | changes.pop('route', {})
    )
    return json.dumps(value | changes).encode()


class ConfigurationCheckTest(unittest.TestCase):
    def check(self, new, *options, in_force=None):
        """Run the command; return its exit code and its result."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory)
            (path / 'new').write_bytes(new)
            arguments = ['check-configuration', str(path / 'new'), '--json']
            if in_force is not None:
                (path / 'in-force').write_bytes(in_force)
                arguments += ['--in-force', str(path / 'in-force')]
            printed = io.StringIO()
            with (
                mock.patch.object(sys, 'argv', ['x', *arguments, *options]),
                contextlib.redirect_stdout(printed),
            ):
                try:
                    command.main()
                    code = 0
                except SystemExit as end:
                    code = end.code
        return code, json.loads(printed.getvalue())

    def test_configuration_without_faults_passes(self):
        code, found = self.check(configuration(), '--strict')
        self.assertEqual((0, []), (code, found['warnings']))

    def test_probable_mistakes_are_warnings(self):
        split = {'service': None, 'traffic_split': [
            {'service': 'lager', 'weight': 1},
            {'service': 'lager', 'weight': 0},
        ]}  # fmt: skip
        small = ['small', ['its-key'], 1, 0.5, 0.5]
        faults = (
            ('routes[0].prefix', {'route': {'prefix': '/'}}),
            ('routes[2].hostname', {'route': {'hostname': 'shop:80'}}),
            ('routes[2].prefix', {'route': {'prefix': '/c?/'}}),
            ('routes[2].traffic_split', {'route': split}),
            ('routes[2].service', {'route': {'service': 'nosuch'}}),
            (
                'routes[2].target_latency',
                {'route': {'target_latency': '2s', 'timeout': '1s'}},
            ),
            ('routes[1].public', {'tenants': None}),
            ('services[1].name', {'services': [
                {'name': name, 'max_connections': 1} for name in ('lager', 'x')
            ]}),
            ('tenants[0].api_keys', {'tenants': [{'name': 'a'}]}),
            ('tenants[0].burst', {
                'tenants': test_workspace_keys.table(small)
            }),
        )  # fmt: skip
        for path, changes in faults:
            with self.subTest(path):
                new = configuration(**changes)
                code, found = self.check(new, '--strict')
                self.assertEqual((1, []), (code, found['errors']))
                (warning,) = found['warnings']
                self.assertTrue(warning.startswith(f'{path}: '), warning)
                self.assertEqual(0, self.check(new)[0])

    def test_errors_name_the_field_and_no_key(self):
        two = test_workspace_keys.table(BAKERY, ['b', BAKERY[1], 1, 1, 1])
        weights = {'traffic_split': [{'service': 'lager', 'weight': 0}]}
        faults = (
            ('(file)', configuration()[:-1]),
            ('routes[2].kind', configuration(route={'kind': 'odd'})),
            (
                'routes[2].traffic_split',
                configuration(route=weights | {'service': None}),
            ),
            ('tenants', configuration(tenants=two)),
        )
        for path, new in faults:
            with self.subTest(path):
                code, found = self.check(new)
                self.assertEqual(2, code)
                self.assertTrue(found['errors'][0].startswith(f'{path}: '))
                self.assertNotIn('key-of', str(found))

    def test_differences_from_the_version_in_force_are_shown(self):
        new = configuration(
            version=2,
            route={'timeout': '1s', 'service': 'other'},
            tenants=test_workspace_keys.table(['bakery', ['k'], 1, 105, 30]),
        )
        _, found = self.check(new, in_force=configuration())
        moved, timeout, keys = found['differences']
        self.assertEqual('routes c: service lager (1) -> other (1)', moved)
        self.assertEqual('routes c: timeout (none) -> 1000', timeout)
        self.assertRegex(keys, 'tenants bakery: api_keys [0-9a-f, ]+ -> ')
        code, found = self.check(configuration(), in_force=new)
        self.assertEqual(2, code)
        self.assertIn('version', found['errors'][0])

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                ['version', 'routes', 'services', 'limits', 'tenants']
            ),
            json_values,
        )
    )
    def test_odd_values_are_problems_and_no_exceptions(self, changes):
        match configuration_report.read(configuration(**changes)):
            case Success(read):
                for finding in configuration_check.find(read, read):
                    configuration_report.describe(finding)
