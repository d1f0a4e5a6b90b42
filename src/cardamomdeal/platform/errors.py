"""Errors of the platform's service."""

from cardamomdeal.internal import errors


class PlatformError(errors.CardamomdealError):
    """Base of the errors of this package."""


class PlatformUnavailable(PlatformError):
    """Report a call without an answer; a write may have taken effect."""


class PlatformBusy(PlatformError):
    """Report a call that was refused because there were too many."""


class RevisionConflict(PlatformError):
    """Report a write refused because the key had changed."""


class NotFound(PlatformError):
    """Report a key or lease that does not exist."""


class HistoryLost(PlatformError):
    """Report a watch from a revision that the store no longer keeps."""
