"""Base of the errors that the packages raise."""


class CardamomdealError(Exception):
    """Base of every error of this project."""
