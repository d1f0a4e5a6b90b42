"""Tests of route lookup, server selection, limits and retries."""

import collections
import random
import unittest

from cardamomdeal.backend import header_fields
from cardamomdeal.document import model
from cardamomdeal.routing import limits
from cardamomdeal.routing import outcomes
from cardamomdeal.routing import retries
from cardamomdeal.routing import selection
from cardamomdeal.routing import servers
from cardamomdeal.routing import table
from devel import fleet
from tests import support

SHORT = model.ShortWork(1_000)
UPLOAD = model.UploadWork(1_000, 60_000)
REPORTED_STATE = header_fields.ReportedState(None, False, None)
SEED = 20261204


def find_by_linear_search(kinds, method: str, path: str) -> str | None:
    """Find the longest matching prefix by trying every kind of work."""
    best = None
    for kind in kinds:
        prefix = kind.path_prefix.rstrip('/')
        inside = path.rstrip('/') == prefix or path.startswith(prefix + '/')
        longer = best is None or len(prefix) > len(
            best.path_prefix.rstrip('/')
        )
        if method in kind.methods and inside and longer:
            best = kind
    return best.name if best else None


class RouteTableTest(unittest.TestCase):
    def test_lookup_agrees_with_linear_search(self) -> None:
        rng = random.Random(SEED)
        words = ('a', 'b', 'ab')
        prefixes = sorted(
            {
                '/' + '/'.join(rng.choices(words, k=rng.randrange(4)))
                for _ in range(40)
            }
        )
        kinds = tuple(
            model.WorkKind(
                name=prefix,
                service='s',
                methods=frozenset(rng.sample(['GET', 'PUT'], 1)),
                path_prefix=prefix,
                idempotent=True,
                work_class=SHORT,
                max_body_bytes=0,
            )
            for prefix in prefixes
        )
        routes = table.RouteTable(kinds)
        for _ in range(2_000):
            path = '/' + '/'.join(rng.choices(words, k=rng.randrange(6)))
            method = rng.choice(['GET', 'PUT'])
            found = routes.find(method, path)
            name = (
                found.kind.name
                if isinstance(found, table.RouteFound)
                else None
            )
            self.assertEqual(
                find_by_linear_search(kinds, method, path), name, path
            )


class SelectionTest(unittest.TestCase):
    def setUp(self) -> None:
        document = fleet.check_model(support.small_document(4))
        self.views = [
            servers.ServerView(server) for server in document.backend_servers
        ]
        self.rng = random.Random(SEED)

    def choose(self, statuses=None, excluded=(), work_class=SHORT):
        return selection.choose_server(
            self.views,
            statuses or {},
            selection.Requirements(
                work_class, 'nordur-a', frozenset(excluded), True
            ),
            10_000,
            self.rng,
        )

    def shares(self, statuses=None) -> dict[str, float]:
        counts = collections.Counter(
            self.choose(statuses).server.name for _ in range(2_000)
        )
        return {name: count / 2_000 for name, count in counts.items()}

    def test_work_is_distributed_evenly(self) -> None:
        for share in self.shares().values():
            self.assertAlmostEqual(0.25, share, delta=0.05)

    def test_ineligible_servers_receive_no_work(self) -> None:
        self.views[1].draining_until_ms = 20_000
        self.views[2].unreachable_until_ms = 20_000
        statuses = {'pantanir-4': servers.ServerStatus(ejected=True)}
        self.assertEqual({'pantanir-1': 1.0}, self.shares(statuses))
        self.assertIsNone(self.choose(statuses, ['pantanir-1']))

    def test_a_low_weight_server_receives_a_small_share(self) -> None:
        statuses = {'pantanir-2': servers.ServerStatus(weight=0.05)}
        self.assertLess(self.shares(statuses)['pantanir-2'], 0.05)

    def test_full_servers_are_skipped_and_uploads_leave_a_slot(self) -> None:
        for view in self.views:
            view.in_flight = 2
        self.assertIsNotNone(self.choose())
        self.assertIsNone(self.choose(work_class=UPLOAD))
        for view in self.views:
            view.in_flight = 3
        self.assertIsNone(self.choose())

    def test_a_remote_data_centre_is_used_once_the_local_one_is_full(
        self,
    ) -> None:
        remote = self.views[3]
        remote.server = model.BackendServer(
            'remote', 's', 'nordur-b', remote.server.address, 3, 100
        )
        self.assertNotIn('remote', self.shares())
        for view in self.views[:3]:
            view.in_flight = 3
        self.assertEqual({'remote': 1.0}, self.shares())

    def test_load_of_other_gateways_expires(self) -> None:
        view = self.views[0]
        view.in_flight = 1
        view.record_reported_state(
            header_fields.ReportedState(header_fields.Load(3, 3), False, None),
            10_000,
        )
        self.assertFalse(limits.has_free_slot(view, SHORT, True, 10_500))
        self.assertTrue(limits.has_free_slot(view, SHORT, True, 12_000))


class RetriesTest(unittest.TestCase):
    def test_retry_policy(self) -> None:
        refused = outcomes.RefusedByServer(
            header_fields.Refusal.SHED, REPORTED_STATE
        )
        cases = (
            # result, idempotent, replayable, attempts, remaining_ms, expected
            (outcomes.NotConnected(), False, False, 1, 100, True),
            (outcomes.NotConnected(), True, True, 3, 100, False),
            (outcomes.NotConnected(), True, True, 1, 0, False),
            (refused, False, True, 1, 100, False),
            (refused, True, True, 1, 100, True),
            (refused, True, False, 1, 100, False),
            (outcomes.Broken(5, 'reset', False), False, True, 1, 100, False),
            (outcomes.Broken(5, 'reset', True), False, True, 1, 100, False),
            (outcomes.Broken(5, 'reset', False), True, True, 1, 100, True),
            (
                outcomes.Completed(500, 5, REPORTED_STATE),
                True,
                True,
                1,
                100,
                True,
            ),
            (
                outcomes.Completed(500, 5, REPORTED_STATE),
                False,
                True,
                1,
                100,
                False,
            ),
            (
                outcomes.Completed(499, 5, REPORTED_STATE),
                True,
                True,
                1,
                100,
                False,
            ),
            (outcomes.CallerLeft(), True, True, 1, 100, False),
        )
        for (
            result,
            idempotent,
            replayable,
            attempts,
            remaining_ms,
            expected,
        ) in cases:
            with self.subTest(result=result, idempotent=idempotent):
                context = retries.RetryContext(
                    idempotent, replayable, attempts, remaining_ms
                )
                self.assertEqual(expected, retries.may_retry(context, result))

    def test_retries_are_limited_to_a_tenth_of_the_requests(self) -> None:
        budget = retries.RetryBudget()
        retried = 0
        for _ in range(10_000):
            budget.record_request()
            retried += budget.try_spend()
        self.assertLessEqual(retried, 1_010)
