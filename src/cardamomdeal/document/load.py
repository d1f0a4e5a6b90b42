"""Reads documents that arrive under a digest."""

import json

from returns.result import Failure
from returns.result import Result

from cardamomdeal.document import check
from cardamomdeal.document import errors
from cardamomdeal.document import model


def read_document(
    canonical: bytes, digest: str
) -> Result[model.Document, check.Problems]:
    """Return the document if its bytes match the digest and are valid."""
    actual = check.digest_of(canonical)
    if actual != digest:
        return Failure(
            (
                errors.Problem(
                    '(document)', actual, f'expected {digest}', 'send it again'
                ),
            )
        )
    try:
        raw = json.loads(canonical)
    except ValueError as error:
        return Failure(
            (errors.Problem('(document)', 'bytes', str(error), 'mend it'),)
        )
    return check.check_document(raw)
