"""Errors of the permits to eject."""

from cardamomdeal.internal import errors


class HealthError(errors.CardamomdealError):
    """Base of the errors of this package."""


class PermitRecordDamaged(HealthError):
    """Report a stored record of permits that cannot be read."""
