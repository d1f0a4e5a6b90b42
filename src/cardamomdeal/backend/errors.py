"""Errors of exchanges with backend servers."""

from cardamomdeal.internal import errors


class BackendError(errors.CardamomdealError):
    """Base class of the errors of this package."""


class ConnectFailed(BackendError):
    """The connection could not be opened; nothing was sent."""


class ExchangeBroken(BackendError):
    """The exchange failed after bytes may have been sent."""


class AnswerTimedOut(ExchangeBroken):
    """The response did not arrive within the time limit."""


class AnswerBroken(ExchangeBroken):
    """The response is incomplete or belongs to another request."""


class CallerDisconnected(BackendError):
    """The caller disconnected before the response was received."""


class RequestBodyIncomplete(BackendError):
    """The caller did not send its complete request body."""
