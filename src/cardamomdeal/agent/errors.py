"""Errors of the agent."""

from cardamomdeal.internal import errors


class AgentError(errors.CardamomdealError):
    """Base of the errors of this package."""


class DocumentMissing(AgentError):
    """The store has no document with the digest in the record."""
