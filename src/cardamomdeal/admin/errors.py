"""Exceptions of the administration API and its command line."""

from cardamomdeal.internal import errors


class AdminError(errors.CardamomdealError):
    """Base class of the exceptions of this package."""


class ChangeRejected(AdminError):
    """The change was not accepted and cannot take effect later."""


class ChangeConflict(ChangeRejected):
    """Another change was accepted first."""


class StoreUnavailable(AdminError):
    """The store is unavailable, and nothing was written."""


class ChangeOutcomeUnknown(AdminError):
    """The change may have been accepted; send its id again to find out."""


class CommandFailed(AdminError):
    """The command failed, for example because the API was not reachable."""
