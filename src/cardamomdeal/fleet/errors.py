"""Errors of the fleet's shared state."""

from cardamomdeal.internal import errors


class FleetError(errors.CardamomdealError):
    """Base of the errors of this package."""


class EntryDamaged(FleetError):
    """Report a stored entry that cannot be used."""
