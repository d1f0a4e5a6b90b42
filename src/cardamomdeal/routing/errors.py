"""Errors of the routing decisions."""

from cardamomdeal import errors


class RoutingError(errors.CardamomdealError):
    """Base of the errors of this package."""
