"""Tests that versions never revert and serve only once confirmed."""

import unittest

from cardamomdeal.configuration import adoption
from cardamomdeal.document import check
from cardamomdeal.protocol import messages
from tests import support


def make_offer(version: int, deadline_ms: int = 1_000):
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
                self.adoption.offer(*make_offer(version))
                self.assertEqual(expected, self.adoption.version)

    def test_version_given_out_again_after_a_restore_is_adopted(self) -> None:
        # The store lost version 3, and the next change was given 3 as well.
        self.adoption.offer(*make_offer(3))
        self.adoption.confirm_from_store(3)
        decision = self.adoption.offer(*make_offer(3, deadline_ms=2_000))
        self.assertIsInstance(decision, adoption.Adopted)

    def test_an_invalid_document_is_rejected(self) -> None:
        raw = support.small_document()
        raw['services'][0]['floor_slots'] = 1000
        canonical = check.canonical_bytes(raw)
        head = messages.Head(1, check.digest_of(canonical))
        decision = self.adoption.offer(head, canonical)
        self.assertIsInstance(decision, adoption.Rejected)
        self.assertEqual(0, self.adoption.version)

    def test_a_corrupted_document_is_rejected(self) -> None:
        head, canonical = make_offer(1)
        decision = self.adoption.offer(head, canonical[:-1] + b' ')
        self.assertIsInstance(decision, adoption.Rejected)

    def test_readiness_requires_the_store_or_a_majority(self) -> None:
        cases = (
            ('no replies', (), 3, False),
            ('one of three', (2,), 3, False),
            ('half of four', (2, 2), 4, False),
            ('two of three', (2, 1), 3, True),
            ('a newer version exists', (2, 3), 3, False),
        )
        for name, versions, known, expected in cases:
            with self.subTest(name):
                adopter = adoption.Adoption()
                adopter.offer(*make_offer(2))
                adopter.confirm_from_peers(versions, known)
                self.assertEqual(expected, adopter.ready)
        for store_version, expected in ((2, True), (3, False)):
            with self.subTest(store_version=store_version):
                adopter = adoption.Adoption()
                adopter.offer(*make_offer(2))
                adopter.confirm_from_store(store_version)
                self.assertEqual(expected, adopter.ready)
