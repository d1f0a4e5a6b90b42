"""Exception from which those of all packages derive."""


class CardamomdealError(Exception):
    """Base class of all exceptions of the project."""
