"""Errors of the platform's service."""

from cardamomdeal.internal import errors


class PlatformError(errors.CardamomdealError):
    """Base of the errors of this package."""


class PlatformUnavailable(PlatformError):
    """Report a call without an answer; a write may have taken effect."""


class RevisionConflict(PlatformError):
    """Report a write refused because the key had changed."""
