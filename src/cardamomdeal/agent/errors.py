"""Errors of the agent."""

from cardamomdeal import errors


class AgentError(errors.CardamomdealError):
    """Base of the errors of this package."""
