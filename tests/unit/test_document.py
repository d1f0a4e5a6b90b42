"""Tests of document validation, which reports every problem."""

import unittest

from cardamomdeal.document import check
from cardamomdeal.document import model
from devel import fleet
from tests import support

EXAMPLES = ('examples/hrisey.jsonc', 'examples/puden.jsonc')


class DocumentTest(unittest.TestCase):
    def test_the_examples_are_valid(self) -> None:
        for path, servers in zip(EXAMPLES, (38, 32), strict=True):
            with self.subTest(path):
                document = fleet.check_model(fleet.load_document(path))
                self.assertEqual(servers, len(document.backend_servers))

    def test_each_problem_names_its_field(self) -> None:
        cases = (
            ('services[0].floor_slots', 'services', 0, 'floor_slots', 99),
            ('services[0].floor_slots', 'services', 0, 'floor_slots', -1),
            ('services[0].name', 'services', 0, 'name', 'Pantanir!'),
            ('backend_servers[1].slots', 'backend_servers', 1, 'slots', 0),
            ('backend_servers[1].slots', 'backend_servers', 1, 'slots', '3'),
            (
                'backend_servers[1].service',
                'backend_servers',
                1,
                'service',
                'unknown',
            ),
            (
                'backend_servers[0].data_centre',
                'backend_servers',
                0,
                'data_centre',
                'nordur-z',
            ),
            (
                'backend_servers[0].address',
                'backend_servers',
                0,
                'address',
                'host:80',
            ),
            (
                'backend_servers[1].name',
                'backend_servers',
                1,
                'name',
                'pantanir-1',
            ),
            ('work_kinds[0].methods[0]', 'work_kinds', 0, 'methods', ['GIT']),
            (
                'work_kinds[1].idempotent',
                'work_kinds',
                1,
                'idempotent',
                'no',
            ),
            ('work_kinds[0].deadline_ms', 'work_kinds', 0, 'deadline_ms', 0),
            ('work_kinds[2].colour', 'work_kinds', 2, 'colour', 'blue'),
            (
                'work_kinds[0].path_prefix',
                'work_kinds',
                0,
                'path_prefix',
                'stock',
            ),
        )
        for path, section, index, field, value in cases:
            with self.subTest(path=path, value=value):
                document = support.small_document()
                document[section][index][field] = value
                problems = check.check_document(document).failure()
                self.assertIn(path, [problem.path for problem in problems])

    def test_all_problems_are_reported_together(self) -> None:
        document = support.small_document()
        document['services'][0]['floor_slots'] = -1
        document['backend_servers'][0]['slots'] = 'x'
        del document['work_kinds'][0]['idempotent']
        problems = check.check_document(document).failure()
        self.assertEqual(
            {
                'services[0].floor_slots',
                'backend_servers[0].slots',
                'work_kinds[0].idempotent',
            },
            {problem.path for problem in problems},
        )

    def test_duplicate_routes_are_rejected(self) -> None:
        document = support.small_document()
        document['work_kinds'][1]['path_prefix'] = '/stock'
        document['work_kinds'][1]['methods'] = ['GET']
        (problem,) = check.check_document(document).failure()
        self.assertEqual('work_kinds[1].path_prefix', problem.path)

    def test_comments_are_allowed_and_invalid_syntax_is_rejected(self) -> None:
        self.assertEqual(
            {'a': 1}, check.parse_text('// note\n{"a": 1,}').unwrap()
        )
        for text in ('{', '[]', 'nonsense here'):
            with self.subTest(text=text):
                (problem,) = check.parse_text(text).failure()
                self.assertEqual('(file)', problem.path)

    def test_the_digest_does_not_depend_on_the_order_of_fields(self) -> None:
        document = support.small_document()
        reordered = dict(reversed(document.items()))
        self.assertEqual(
            check.canonical_bytes(document), check.canonical_bytes(reordered)
        )

    def test_uploads_have_an_idle_timeout(self) -> None:
        kinds = fleet.check_model(support.small_document()).work_kinds
        self.assertEqual(model.UploadWork(2_000, 60_000), kinds[2].work_class)
