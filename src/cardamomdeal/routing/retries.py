"""Decides which attempts are repeated."""

import dataclasses

from cardamomdeal.routing import outcomes

TOKENS_PER_REQUEST = 0.1
MAX_TOKENS = 10.0
MAX_ATTEMPTS = 3


class RetryBudget:
    """Bound retries to a share of the requests."""

    def __init__(self) -> None:
        self._tokens = MAX_TOKENS

    def add_request(self) -> None:
        """Earn a share of a retry for a first attempt."""
        self._tokens = min(MAX_TOKENS, self._tokens + TOKENS_PER_REQUEST)

    def take(self) -> bool:
        """Spend one retry; return False when none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Attempted:
    """Describe the attempt that may be repeated."""

    idempotent: bool
    body_replayable: bool
    attempts: int
    left_ms: int


def may_retry(attempted: Attempted, result: outcomes.AttemptResult) -> bool:
    """Return whether sending the request again is safe and in time."""
    if attempted.attempts >= MAX_ATTEMPTS or attempted.left_ms <= 0:
        return False
    match result:
        case outcomes.NotConnected():
            return True
        case outcomes.RefusedByServer() | outcomes.Broken():
            # A refused request was not run, yet its bytes have reached a
            # backend server: only idempotent work is sent a second time.
            return attempted.idempotent and attempted.body_replayable
        case outcomes.Completed(status):
            failed = status >= outcomes.SERVER_ERROR_STATUS
            return (
                failed and attempted.idempotent and attempted.body_replayable
            )
        case outcomes.CallerLeft():
            return False
