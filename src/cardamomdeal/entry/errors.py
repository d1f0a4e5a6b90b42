"""Errors of the entry host."""

from cardamomdeal.internal import errors


class EntryError(errors.CardamomdealError):
    """Base class of the errors of this package."""


class MalformedRequest(EntryError):
    """Request that is contradictory or cannot be parsed."""


class BodyTooLarge(EntryError):
    """Request body larger than the configured limit."""
