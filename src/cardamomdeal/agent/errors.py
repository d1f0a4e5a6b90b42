"""Errors of the agent."""

from cardamomdeal.internal import errors


class AgentError(errors.CardamomdealError):
    """Base of the errors of this package."""


class DocumentMissing(AgentError):
    """Report a record that names a document which is not stored."""
