"""Errors of the gateway."""

from cardamomdeal.internal import errors


class GatewayError(errors.CardamomdealError):
    """Base of the errors of this package."""


class AnswerCutShort(GatewayError):
    """End an answer that was begun, so that it does not look whole."""


class RequestBodyTooLarge(GatewayError):
    """Report a request body over the limit of its kind of work."""
