"""Decoding of documents that are identified by a digest."""

import json

from returns.result import Failure
from returns.result import Result

from cardamomdeal.document import check
from cardamomdeal.document import errors
from cardamomdeal.document import model


def read_document(
    canonical: bytes, digest: str
) -> Result[model.Document, check.Problems]:
    """Return the document if it matches the digest and is valid."""
    actual = check.digest_of(canonical)
    if actual != digest:
        return Failure(
            (
                errors.Problem(
                    '(document)',
                    actual,
                    f'expected {digest}',
                    'resend the document',
                ),
            )
        )
    try:
        raw = json.loads(canonical)
    except ValueError as error:
        return Failure(
            (
                errors.Problem(
                    '(document)', 'bytes', str(error), 'correct the JSON'
                ),
            )
        )
    return check.check_document(raw)
