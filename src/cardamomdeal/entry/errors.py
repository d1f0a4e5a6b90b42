"""Errors of an entry host's program."""

from cardamomdeal.internal import errors


class EntryError(errors.CardamomdealError):
    """Base of the errors of this package."""


class MalformedRequest(EntryError):
    """Report a request that says two things, or something unreadable."""


class BodyTooLarge(EntryError):
    """Report a request body over the operators' limit."""
