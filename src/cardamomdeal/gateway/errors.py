"""Exceptions of the gateway."""

from cardamomdeal.internal import errors


class GatewayError(errors.CardamomdealError):
    """Base class of the exceptions of this package."""


class ResponseTruncated(GatewayError):
    """The response ended early after its status was sent to the caller."""


class RequestBodyTooLarge(GatewayError):
    """The request body exceeds the limit of its kind of work."""
