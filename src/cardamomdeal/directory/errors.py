"""Errors of the directory."""

from cardamomdeal.internal import errors


class DirectoryError(errors.CardamomdealError):
    """Base of the errors of this package."""
