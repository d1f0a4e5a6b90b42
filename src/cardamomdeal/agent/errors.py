"""Exceptions of the agent."""

from cardamomdeal.internal import errors


class AgentError(errors.CardamomdealError):
    """Base class of the exceptions of this package."""


class DocumentMissing(AgentError):
    """The store has no document with the digest in the record."""
