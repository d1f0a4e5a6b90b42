"""Errors of the routing decisions."""

from cardamomdeal.internal import errors


class RoutingError(errors.CardamomdealError):
    """Base of the errors of this package."""
