"""Errors of settings files."""

from cardamomdeal.internal import errors


class SettingsError(errors.CardamomdealError):
    """Report a settings file that cannot be used."""
