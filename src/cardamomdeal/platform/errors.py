"""Exceptions of the platform client."""

from cardamomdeal.internal import errors


class PlatformError(errors.CardamomdealError):
    """Base class of the exceptions of this package."""


class PlatformUnavailable(PlatformError):
    """The call failed or got no response; a write may have taken effect."""


class PlatformRateLimited(PlatformError):
    """The platform refused the call because of too many requests."""


class RevisionConflict(PlatformError):
    """The write was refused because the key had changed."""


class NotFound(PlatformError):
    """The key or lease does not exist."""


class RevisionCompacted(PlatformError):
    """The store no longer has the history since the watched revision."""


class StoreRestored(RevisionCompacted):
    """The watched revision dates from before the store was restored."""


class InvalidEra(PlatformError):
    """The era that the store states is missing, invalid or an earlier one."""
