"""Errors of the agent."""

from cardamomdeal.internal import errors


class AgentError(errors.CardamomdealError):
    """Base of the errors of this package."""
