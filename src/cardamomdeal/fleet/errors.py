"""Errors of the fleet's shared state."""

from cardamomdeal.internal import errors


class FleetError(errors.CardamomdealError):
    """Base class of the errors of this package."""


class InvalidEntry(FleetError):
    """A store entry that cannot be decoded or fails validation."""
