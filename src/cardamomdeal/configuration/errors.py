"""Errors of the configuration's records."""

from cardamomdeal.internal import errors


class ConfigurationError(errors.CardamomdealError):
    """Report a stored record that cannot be read."""
