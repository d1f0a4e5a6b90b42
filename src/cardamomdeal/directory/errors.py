"""Errors of the directory."""

from cardamomdeal import errors


class DirectoryError(errors.CardamomdealError):
    """Base of the errors of this package."""
