"""Errors of the channel tasks."""

from cardamomdeal.internal import errors


class ChannelError(errors.CardamomdealError):
    """Base of the errors of this package."""


class AddressUnavailable(ChannelError):
    """Report an address that could not be listened on."""
