"""Errors raised for settings files."""

from cardamomdeal.internal import errors


class SettingsError(errors.CardamomdealError):
    """Raised for a settings file that is unreadable or invalid."""
