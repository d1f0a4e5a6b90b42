"""Errors of the gateway."""

from cardamomdeal import errors


class GatewayError(errors.CardamomdealError):
    """Base of the errors of this package."""


class AnswerCutShort(GatewayError):
    """End an answer that was begun, so that it does not look whole."""
