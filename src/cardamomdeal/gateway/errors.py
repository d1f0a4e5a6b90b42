"""Errors of the gateway."""

from cardamomdeal.internal import errors


class GatewayError(errors.CardamomdealError):
    """Base class of the gateway's errors."""


class ResponseTruncated(GatewayError):
    """The backend server broke off a response that is already being sent."""


class RequestBodyTooLarge(GatewayError):
    """The request body exceeds the limit of its kind of work."""
