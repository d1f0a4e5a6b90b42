"""Errors of the inner protocol."""

from cardamomdeal.internal import errors


class ProtocolError(errors.CardamomdealError):
    """Base class of the inner protocol's errors."""


class MessageTooLarge(ProtocolError):
    """Raised for a message above the size limit."""


class InvalidMessage(ProtocolError):
    """Raised for bytes that do not decode to a message of this version."""
