"""Errors of the configuration's records."""

from cardamomdeal import errors


class ConfigurationError(errors.CardamomdealError):
    """Report a stored record that cannot be read."""
