"""Errors of stored configuration records."""

from cardamomdeal.internal import errors


class ConfigurationError(errors.CardamomdealError):
    """Stored record that cannot be decoded."""
