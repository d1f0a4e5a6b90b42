"""Errors of outlier detection and ejection."""

from cardamomdeal.internal import errors


class HealthError(errors.CardamomdealError):
    """Base of the errors of this package."""


class InvalidPermitRecord(HealthError):
    """The stored permit record cannot be decoded."""
