"""Errors of settings files."""

from cardamomdeal import errors


class SettingsError(errors.CardamomdealError):
    """Report a settings file that cannot be used."""
