"""Errors raised by the channel tasks."""

from cardamomdeal.internal import errors


class ChannelError(errors.CardamomdealError):
    """Base class of this package's errors."""


class AddressUnavailable(ChannelError):
    """Raised when the listen address cannot be bound."""
