"""Errors of the entry host."""

from cardamomdeal.internal import errors


class EntryError(errors.CardamomdealError):
    """Base class of the entry host's errors."""


class MalformedRequest(EntryError):
    """The request is contradictory or cannot be parsed."""


class RequestBodyTooLarge(EntryError):
    """The request body exceeds the configured limit."""


class OutOfMemoryBudget(EntryError):
    """There is no memory for the request body now."""


class RequestBodyTimedOut(EntryError):
    """The rest of the request body did not arrive in time."""
