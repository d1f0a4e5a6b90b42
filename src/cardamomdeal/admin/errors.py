"""Errors of the administration API."""

from cardamomdeal.internal import errors


class AdminError(errors.CardamomdealError):
    """Base of the errors of this package."""


class ChangeRefused(AdminError):
    """Report a change that was not accepted and never will be."""


class ChangeConflict(ChangeRefused):
    """Report a change that another change came before."""


class StoreUnavailable(AdminError):
    """Report that the store was away and nothing was written."""


class ChangeUnknown(AdminError):
    """Report a change that may have been accepted; ask again by its id."""


class CallFailed(AdminError):
    """Report a call of the command line that failed."""
