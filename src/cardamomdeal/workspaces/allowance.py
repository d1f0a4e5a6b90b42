"""Divides what a quota's bound permits between those who hand it out."""

import dataclasses

from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import model

# Parts of what the bound permits on top of the quota. The rest is for hosts
# that learn of a new lender at different times.
LENDER_SHARE = 1 / 4
NEW_LENDER_SHARE = 1 / 8
FALLBACK_SHARE = 1 / 8
# A loan must outlast the way to the lender and back.
MIN_LAPSE_MS = 250
MAX_LAPSE_MS = 1_000
MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Allowance:
    """A quota and the figures that keep all hosts within its bound."""

    number: int
    name: str
    rate_per_s: float
    burst: float
    window_ms: int
    # Requests per window that the bound permits on top of the quota.
    free: float

    @property
    def rate_per_ms(self) -> float:
        """Return the rate per millisecond."""
        return self.rate_per_s / MS_PER_S

    @property
    def capacity(self) -> float:
        """Return the most tokens that may be left."""
        return max(1.0, self.burst)

    @property
    def per_window(self) -> float:
        """Return the requests that the quota permits in a window."""
        return self.rate_per_ms * self.window_ms + self.burst

    @property
    def lapse_ms(self) -> int:
        """Return how long a host may use a token after asking for it.

        Tokens are counted for a window and this time, so a long time takes
        away from the rate.
        """
        lapse_ms = LENDER_SHARE * self.free / self.rate_per_ms
        return round(max(MIN_LAPSE_MS, min(lapse_ms, MAX_LAPSE_MS)))

    @property
    def disputed_rate_per_ms(self) -> float:
        """Return the rate of each of two lenders that cannot agree."""
        extra = LENDER_SHARE * self.free / self.window_ms
        return min(self.rate_per_ms, self.rate_per_ms / 2 + extra)

    @property
    def initial_tokens(self) -> float:
        """Return the tokens that a new lender may lend at once."""
        return NEW_LENDER_SHARE * self.free

    def ceiling(self, rate_per_ms: float, burst: float) -> float:
        """Return the tokens that one lender may have out in a window."""
        lent = rate_per_ms * self.window_ms + burst
        return lent + LENDER_SHARE * self.free


def allowance(
    workspace: model.Workspace, bounds: settings_model.Bounds
) -> Allowance | None:
    """Return the allowance of a workspace, or None if it is not limited."""
    quota = workspace.quota
    if (
        quota is None
        or quota.rate_per_s <= 0
        or bounds.quota_window_ms is None
    ):
        return None
    window_ms = bounds.quota_window_ms
    per_window = quota.rate_per_s * window_ms / MS_PER_S + quota.burst
    return Allowance(
        workspace.number,
        workspace.name,
        quota.rate_per_s,
        quota.burst,
        window_ms,
        bounds.quota_overage * per_window + bounds.quota_slack,
    )


def fallback_tokens(limit: Allowance, host_index: int, host_count: int) -> int:
    """Return the requests per window of one host without any lender.

    The index numbers the hosts, so that all together get the whole share
    although most hosts get none.
    """
    share = FALLBACK_SHARE * limit.free / host_count
    position = (host_index + limit.number) % host_count
    return int((position + 1) * share) - int(position * share)
