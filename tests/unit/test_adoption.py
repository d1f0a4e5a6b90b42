"""Adopted versions never go back and are only served when confirmed."""

import unittest

from cardamomdeal.configuration import adoption
from cardamomdeal.document import check
from cardamomdeal.protocol import messages
from tests import support


def offer(version: int, deadline_ms: int = 1_000):
    raw = support.small_document(deadline_ms=deadline_ms)
    canonical = check.canonical_bytes(raw)
    head = messages.Head(version, check.digest_of(canonical))
    return head, canonical


class AdoptionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.adoption = adoption.Adoption()

    def test_only_newer_versions_are_adopted(self) -> None:
        for version, expected in ((3, 3), (2, 3), (3, 3), (4, 4)):
            with self.subTest(version=version):
                self.adoption.offer(*offer(version))
                self.assertEqual(expected, self.adoption.version)

    def test_a_document_outside_the_rules_is_refused(self) -> None:
        raw = support.small_document()
        raw['services'][0]['floor_slots'] = 1000
        canonical = check.canonical_bytes(raw)
        head = messages.Head(1, check.digest_of(canonical))
        decision = self.adoption.offer(head, canonical)
        self.assertIsInstance(decision, adoption.Refused)
        self.assertEqual(0, self.adoption.version)

    def test_a_document_that_was_damaged_is_refused(self) -> None:
        head, canonical = offer(1)
        decision = self.adoption.offer(head, canonical[:-1] + b' ')
        self.assertIsInstance(decision, adoption.Refused)

    def test_readiness_needs_the_store_or_a_majority(self) -> None:
        cases = (
            ('nothing heard', (), 3, False),
            ('one of three', (2,), 3, False),
            ('half of four', (2, 2), 4, False),
            ('two of three', (2, 1), 3, True),
            ('a newer one exists', (2, 3), 3, False),
        )
        for name, versions, known, expected in cases:
            with self.subTest(name):
                fresh = adoption.Adoption()
                fresh.offer(*offer(2))
                fresh.confirm_from_peers(versions, known)
                self.assertEqual(expected, fresh.ready)
        for store_version, expected in ((2, True), (3, False)):
            with self.subTest(store_version=store_version):
                fresh = adoption.Adoption()
                fresh.offer(*offer(2))
                fresh.confirm_from_store(store_version)
                self.assertEqual(expected, fresh.ready)
