"""Base class of all exceptions of the project."""


class CardamomdealError(Exception):
    """Base class of all exceptions of the project."""
