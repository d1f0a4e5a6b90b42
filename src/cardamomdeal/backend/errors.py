"""Errors of exchanges with backend servers."""

from cardamomdeal.internal import errors


class BackendError(errors.CardamomdealError):
    """Base of the errors of this package."""


class ConnectFailed(BackendError):
    """Report that no connection was made, so nothing was sent."""


class ExchangeBroken(BackendError):
    """Report an exchange that broke after bytes may have been sent."""


class AnswerTimedOut(ExchangeBroken):
    """Report an answer that did not come in time."""


class AnswerBroken(ExchangeBroken):
    """Report an answer that is incomplete or not ours."""


class RequesterLeft(BackendError):
    """Report that the one who asked went away while the server worked."""


class RequestBodyLost(BackendError):
    """Report that the caller did not send its whole request."""
