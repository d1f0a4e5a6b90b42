"""Retry policy and retry budget."""

import dataclasses

from cardamomdeal.routing import outcomes

TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 10.0
MAX_ATTEMPTS = 3


class RetryBudget:
    """Token bucket that limits retries to a share of the requests."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def record_request(self) -> None:
        """Add the tokens that a new request earns."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def try_spend(self) -> bool:
        """Spend the token for one retry; return False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class RetryContext:
    """State of a request whose latest attempt may be retried."""

    idempotent: bool
    body_replayable: bool
    attempts: int
    remaining_ms: int


def may_retry(context: RetryContext, result: outcomes.AttemptResult) -> bool:
    """Return whether a retry is safe and the deadline allows it."""
    if context.attempts >= MAX_ATTEMPTS or context.remaining_ms <= 0:
        return False
    match result:
        case outcomes.NotConnected():
            return True
        case outcomes.RefusedByServer() | outcomes.Broken():
            # A refused request was not executed, but its bytes reached a
            # backend server, so only idempotent requests are retried.
            return context.idempotent and context.body_replayable
        case outcomes.Completed(status):
            failed = status >= outcomes.SERVER_ERROR_STATUS
            return failed and context.idempotent and context.body_replayable
        case outcomes.CallerLeft():
            return False
