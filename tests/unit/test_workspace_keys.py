"""Keys of workspaces: decoding, redaction, the index, authentication."""

import json
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
from returns.result import Failure

from cardamomdeal.balancing import outcomes
from cardamomdeal.entry import dispatcher
from cardamomdeal.entry import fleet_state
from cardamomdeal.entry import messages
from cardamomdeal.fleet import model
from cardamomdeal.fleet import routes
from cardamomdeal.internal import address
from cardamomdeal.internal import clock
from cardamomdeal.platform import configuration
from cardamomdeal.platform import credentials
from cardamomdeal.platform import redaction
from cardamomdeal.platform import store
from cardamomdeal.platform import wire
from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import authentication
from cardamomdeal.workspaces import keys
from cardamomdeal.workspaces import model as workspace_model

COLUMNS = ['name', 'api_keys', 'priority', 'rate_per_s', 'burst']
BAKERY = ['bakery', ['key-of-bakery', 'second-key'], 1, 105, 30]
CHURCH = ['church', ['key-of-church'], None, 0, None]
SECRET = 'a-secret-that-stays-here'


def stored(tenants, version=1):
    route = {
        'hostname': 'shop.example',
        'kind': 'safe',
        'service': 'lager',
        'priority': 4,
    }
    value = {
        'version': version,
        'routes': [
            route | {'name': 'all', 'prefix': '/'},
            route | {'name': 'open', 'prefix': '/open/', 'public': True},
        ],
        'services': [],
        'limits': {
            'max_header_bytes': 1,
            'max_body_bytes': 1,
            'header_timeout': '1s',
            'idle_timeout': '1s',
        },
    }
    if tenants is not None:
        value['tenants'] = tenants
    return json.dumps(value).encode()


def table(*rows):
    return {'columns': COLUMNS, 'rows': rows}


def redact(value):
    item = store.Item(wire.CONFIGURATION_KEY, value, 1)
    return redaction.redact(item).value


def read(*tenants, **options):
    return configuration.read_configuration(
        redact(stored(table(*tenants), **options))
    ).unwrap()


def key(text):
    return workspace_model.Key(keys.digest(text))


class DecodingTest(unittest.TestCase):
    def test_workspaces_are_decoded(self):
        bakery, church = read(BAKERY, CHURCH).workspaces
        self.assertEqual(
            ('bakery', 1, workspace_model.Quota(105, 30)),
            (bakery.name, bakery.priority, bakery.quota),
        )
        self.assertEqual((None, None), (church.priority, church.quota))
        self.assertEqual((keys.digest('key-of-church'),), church.key_digests)

    def test_routes_are_public_only_where_they_say_so(self):
        self.assertEqual(
            [False, True], [route.is_public for route in read().routes]
        )

    def test_configuration_without_workspaces_passes_unchanged(self):
        value = stored(None)
        self.assertIs(value, redact(value))
        decoded = configuration.read_configuration(value).unwrap()
        self.assertIsNone(decoded.workspaces)

    def test_bad_row_is_refused_by_its_field_and_not_repeated(self):
        cases = {
            'name': (['', [SECRET]], ['a\r\nb', [SECRET]], [7, [SECRET]]),
            'api_keys': (
                ['a', SECRET],
                ['a', ['', SECRET]],
                ['a', [SECRET, 'two words']],
                # A digest is no key: whoever saw one could pass it off.
                ['a', [credentials.encode_digest(keys.digest(SECRET))]],
                ['a', [SECRET, 9]],
            ),
            'priority': (['a', [SECRET], 'high'],),
            'rate_per_s': tuple(
                ['a', [SECRET], 1, rate] for rate in (-1, 1e-7, 2e9)
            ),
            'burst': tuple(
                ['a', [SECRET], 1, 5, burst] for burst in (float('inf'), 2e9)
            ),
            'tenants': (['a', [SECRET], 1, 1, 1, 1], 'row'),
            'share': (['a', [SECRET]], ['b', [SECRET]]),
        }
        for field, cut_rows in cases.items():
            tenants = [
                row + [None] * (5 - len(row)) if row != 'row' else row
                for row in cut_rows
            ]
            tables = [tenants] if field == 'share' else [[t] for t in tenants]
            for rows in tables:
                with self.subTest(field=field, rows=rows):
                    value = redact(stored(table(*rows)))
                    error = configuration.read_configuration(value).failure()
                    self.assertIn(field, str(error))
                    self.assertNotIn(SECRET, f'{error} {value}')

    def test_quotas_of_any_usable_size_are_accepted(self):
        rates = (1e-6, 1e9)
        rows = [[f'w-{r}', [f'key-{r}'], 1, r, 1e9] for r in rates]
        value = redact(stored(table(*rows)))
        decoded = configuration.read_configuration(value).unwrap()
        self.assertEqual(
            rates, tuple(w.quota.rate_per_s for w in decoded.workspaces)
        )

    def test_last_good_configuration_stays_in_force(self):
        state = fleet_state.FleetState()
        for revision, tenants in enumerate(
            ([BAKERY], [BAKERY, ['thief', ['second-key'], 0, 0, 0]]), start=1
        ):
            value = redact(stored(table(*tenants), version=revision))
            item = store.Item(wire.CONFIGURATION_KEY, value, revision)
            state.apply(item, 0)
        self.assertEqual(1, state.pop_new_routes().version)

    def test_value_that_cannot_be_searched_for_keys_is_not_kept(self):
        text = stored(table(['a', [SECRET], 1, 1, 1]))
        for value in (text[:-1], b'[' + text + b']', b'[' * 9_999, b'\xff'):
            replaced = redact(value)
            self.assertNotIn(SECRET.encode(), replaced)
            self.assertIsInstance(
                configuration.read_configuration(replaced), Failure
            )

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.integers()
            | strategies.just(SECRET),
            lambda inner: (
                strategies.lists(inner, max_size=3)
                | strategies.dictionaries(
                    strategies.sampled_from(['columns', 'rows', 'api_keys']),
                    inner,
                )
            ),
        )
    )
    def test_no_shape_of_the_table_lets_a_key_through(self, cells):
        for tenants in (
            {'api_keys': cells},
            [{'api_keys': cells}],
            {'columns': ['api_keys'], 'rows': cells},
        ):
            self.assertNotIn(SECRET.encode(), redact(stored(tenants)))


class CredentialsTest(unittest.TestCase):
    def test_only_one_whole_key_is_read(self):
        cases = (
            (None, False, workspace_model.NoKey),
            ('Token abc', False, workspace_model.Key),
            ('token abc', False, workspace_model.Key),
            ('Token abc', True, workspace_model.MalformedKey),
            *(
                (value, False, workspace_model.MalformedKey)
                for value in (
                    *('', 'Token', 'Token ', 'abc', 'Bearer abc', 'Tokenabc'),
                    *('Token  abc', 'Token abc def', 'Token abc,def'),
                    *('Token abc, Token def', 'Basic x, Token abc'),
                    *(
                        'Token "abc"',
                        'Token\tabc',
                        'Token \xe9',
                        'Token a\x00',
                    ),
                )
            ),
        )
        for value, is_repeated, expected in cases:
            with self.subTest(value=value, is_repeated=is_repeated):
                decoded = credentials.read_credentials(value, is_repeated)
                self.assertIsInstance(decoded, expected)
        self.assertEqual(
            key('abc'), credentials.read_credentials('Token abc', False)
        )


class AuthenticationTest(unittest.TestCase):
    def test_workspace_is_that_of_the_key(self):
        index = keys.build(read(BAKERY, CHURCH).workspaces)
        nobody = workspace_model.Unauthenticated
        cases = (
            (key('second-key'), False, workspace_model.Authenticated),
            (key('second-ke'), False, nobody),
            (key(''), False, nobody),
            (workspace_model.NoKey(), False, nobody),
            (workspace_model.MalformedKey('x'), False, nobody),
            (key('unknown'), True, workspace_model.Unrestricted),
        )
        for sent, is_public, expected in cases:
            with self.subTest(sent=sent, is_public=is_public):
                result = authentication.authenticate(index, is_public, sent)
                self.assertIsInstance(result, expected)
        authenticated = authentication.authenticate(
            index, False, key('second-key')
        )
        self.assertEqual('bakery', authenticated.workspace.name)

    def test_requests_need_no_key_without_workspaces(self):
        self.assertEqual(
            workspace_model.Unrestricted(),
            authentication.authenticate(None, False, key('any')),
        )

    def test_unchanged_workspaces_are_not_copied(self):
        first = routes.build(read(BAKERY, CHURCH))
        same = routes.build(read(BAKERY, CHURCH, version=2), first)
        self.assertIs(first.key_index, same.key_index)
        moved = ['church', ['new-key'], None, 0, None]
        changed = routes.build(read(BAKERY, moved, version=3), same)
        digest = keys.digest('second-key')
        self.assertIs(
            first.key_index.find(digest), changed.key_index.find(digest)
        )
        old_digest = keys.digest('key-of-church')
        self.assertIsNone(changed.key_index.find(old_digest))


class DispatcherTest(unittest.TestCase):
    """Each request, and each attempt, is checked by itself."""

    def setUp(self):
        settings = mock.Mock(
            place=settings_model.Place('host', 'r', 'a'),
            bounds=settings_model.Bounds(
                2_500, 6_000, 5_000, 1.0, 10_000, 9, 0
            ),
        )
        self.dispatcher = dispatcher.Dispatcher(
            settings, mock.Mock(), clock.ManualClock(1_000), mock.Mock()
        )
        servers = tuple(
            model.BackendServer(
                f'i-{n}',
                1,
                'lager',
                address.Address('127.0.0.1', 1),
                'a',
                3,
                model.ServerState.READY,
                0,
            )
            for n in range(3)
        )
        self.dispatcher.receive(messages.ServersUpdated(servers, 1))

    def update(self, *tenants):
        self.dispatcher.receive(
            messages.RoutesUpdated(routes.build(read(*tenants)))
        )

    def admit(self, sent, path='/x'):
        return self.dispatcher.receive(
            messages.Admit('r', 'shop.example', path, None, 1_000, sent)
        )

    def retry(self, assigned):
        failed = outcomes.NotConnected('refused')
        return self.dispatcher.receive(
            messages.Retry(assigned.admission_id, failed)
        )

    def test_unknown_key_gets_401_only_by_a_configuration(self):
        self.assertEqual(503, self.admit(key('key-of-bakery')).status)
        self.update(BAKERY)
        self.assertEqual(401, self.admit(key('other')).status)
        self.assertEqual(401, self.admit(workspace_model.NoKey()).status)
        assigned = self.admit(key('key-of-bakery'))
        self.assertEqual(
            ('bakery', True), (assigned.workspace, assigned.withholds_key)
        )
        assigned = self.admit(workspace_model.NoKey(), '/open/x')
        self.assertEqual(
            (None, True), (assigned.workspace, assigned.withholds_key)
        )

    def test_attempt_after_the_key_was_removed_is_not_sent(self):
        self.update(BAKERY)
        assigned = self.admit(key('second-key'))
        self.assertEqual('bakery', self.retry(assigned).workspace)
        self.update(['bakery', ['key-of-bakery'], 1, 0, 0])
        self.assertIsInstance(self.retry(assigned), messages.NoRetry)

    def test_attempt_is_of_the_workspace_that_holds_the_key_now(self):
        self.update(BAKERY)
        assigned = self.admit(key('second-key'))
        self.update(['church', ['second-key'], 1, 0, 0])
        self.assertEqual('church', self.retry(assigned).workspace)

    def test_priority_of_the_workspace_goes_before_that_of_the_route(self):
        self.update(BAKERY, CHURCH)
        for sent in ('key-of-bakery', 'key-of-church'):
            self.admit(key(sent))
        requests = self.dispatcher._requests.values()
        self.assertEqual([1, 4], [request.priority for request in requests])
