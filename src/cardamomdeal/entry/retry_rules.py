"""Rules for trying a request at another server."""

import collections
import random

from cardamomdeal.balancing import outcomes
from cardamomdeal.balancing import retry_budget
from cardamomdeal.entry import open_request
from cardamomdeal.entry import server_tracker
from cardamomdeal.fleet import model
from cardamomdeal.internal import clock
from cardamomdeal.settings import model as settings_model

# Attempts that did not reach a server use up neither the attempts of the
# route nor the retry budget, so they have a limit of their own.
MAX_UNSENT_ATTEMPTS = 6


class RetryRules:
    """Decides whether a request is retried, and has the retry budgets."""

    def __init__(
        self,
        settings: settings_model.EntrySettings,
        servers: server_tracker.ServerTracker,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._bounds = settings.bounds
        self._servers = servers
        self._time = time
        self._budgets: dict[str, retry_budget.RetryBudget] = (
            collections.defaultdict(
                lambda: retry_budget.RetryBudget(self._bounds, rng)
            )
        )

    def set_settings(self, settings: settings_model.EntrySettings) -> None:
        """Replace the settings."""
        self._bounds = settings.bounds
        for budget in self._budgets.values():
            budget.set_bounds(settings.bounds)

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._budgets[service].record_request(
            self._time.now_ms(), self._servers.host_count
        )

    def no_retry_reason(
        self, request: open_request.OpenRequest, result: outcomes.AttemptResult
    ) -> str | None:
        """Return why a failed attempt is the last, or count a retry."""
        now_ms = self._time.now_ms()
        if request.deadline_at_ms - now_ms < open_request.MIN_REMAINING_MS:
            return 'not enough time left for an attempt'
        match result:
            case outcomes.NotConnected():
                # No server received the request, so the next attempt does not
                # count as a retry.
                request.unsent_attempts += 1
                if request.unsent_attempts >= MAX_UNSENT_ATTEMPTS:
                    return 'too many servers unreachable'
                return None
            case _ if outcomes.may_have_run(result):
                match request.route.kind:
                    case model.NonIdempotent() | model.Upload():
                        return 'the request may have run'
        return self.no_budget_reason(request, now_ms)

    def no_budget_reason(
        self, request: open_request.OpenRequest, now_ms: int
    ) -> str | None:
        """Spend one retry, or return why there is none."""
        if request.sent_attempts >= request.route.max_attempts:
            return 'no attempts left'
        if not self._budgets[request.service].try_spend(
            now_ms, self._servers.host_count
        ):
            return 'retry budget exhausted'
        request.sent_attempts += 1
        return None
