"""Errors of the inner protocol."""

from cardamomdeal.internal import errors


class ProtocolError(errors.CardamomdealError):
    """Base of the errors of this package."""


class MessageTooLarge(ProtocolError):
    """Report a message over the size bound."""


class MessageDamaged(ProtocolError):
    """Report bytes that are no known message of this version."""
