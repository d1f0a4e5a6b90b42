"""Decides whether the configuration in force is proved to be recent."""

import dataclasses

from cardamomdeal.settings import model as settings_model
from cardamomdeal.workspaces import model

# Part of `revoke_ms` in which no request runs: clocks differ in speed, and
# times are in whole milliseconds.
MARGIN_SHARE = 0.05
# A host without a proof asks for one several times in this time.
MIN_RETRY_AFTER_MS = 300
# While the store is away for long, callers return less often.
MAX_RETRY_AFTER_MS = 2_000
RETRY_AFTER_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """The configuration's newest revision as of some time of this host."""

    revision: int
    proved_at_ms: int


class ConfigurationProof:
    """Newest proof that holds for the configuration in force.

    A proof dates from the moment at which the question was asked whose answer
    it is, so an answer that is late, repeated or out of order is worth no
    more than it says.
    """

    def __init__(self, bounds: settings_model.Bounds) -> None:
        self._bounds = bounds
        self._applied_revision: int | None = None
        self._proof: Proof | None = None
        # Holds once the configuration that it is about is in force.
        self._pending: Proof | None = None

    def set_bounds(self, bounds: settings_model.Bounds) -> None:
        """Use other bounds from now on."""
        self._bounds = bounds

    @property
    def current(self) -> Proof | None:
        """Return the newest proof that holds here, or None."""
        return self._proof

    @property
    def pending_revision(self) -> int | None:
        """Return the revision that is known of but not in force here."""
        return self._pending.revision if self._pending else None

    def record_applied(self, revision: int) -> bool:
        """Record the revision in force; return whether the proof is newer."""
        self._applied_revision = max(self._applied_revision or 0, revision)
        pending = self._pending
        if pending is None or pending.revision > self._applied_revision:
            return False
        self._pending = None
        return self.record(pending)

    def record(self, proof: Proof) -> bool:
        """Add a proof; return whether it is newer and holds here."""
        current = self._proof
        if current is not None and proof.proved_at_ms <= current.proved_at_ms:
            return False
        applied = self._applied_revision
        if applied is None or proof.revision > applied:
            pending = self._pending
            if pending is None or proof.proved_at_ms > pending.proved_at_ms:
                self._pending = proof
            return False
        self._proof = proof
        return True

    def age_ms(self, now_ms: int) -> int | None:
        """Return the age of the proof, rounded up; None without one."""
        if self._proof is None:
            return None
        return max(0, now_ms - self._proof.proved_at_ms) + 1

    def is_valid(self, now_ms: int) -> bool:
        """Return whether requests with a key may run."""
        limit_ms = self._limit_ms()
        age_ms = self.age_ms(now_ms)
        return limit_ms is None or (age_ms is not None and age_ms <= limit_ms)

    def check(self, now_ms: int) -> model.Unproven | None:
        """Return why a request with a key must not run, or None."""
        if self.is_valid(now_ms):
            return None
        age_ms = self.age_ms(now_ms)
        return model.Unproven(
            self.reason(now_ms), _retry_after_ms(age_ms, self._limit_ms() or 0)
        )

    def reason(self, now_ms: int) -> str:
        """Describe the proof for a log line."""
        if self._pending is not None:
            return (
                f'configuration of revision {self._pending.revision} is not '
                'in force here'
            )
        if self._proof is None:
            return 'configuration not yet proved to be the newest'
        return f'configuration last proved {self.age_ms(now_ms)} ms ago'

    def _limit_ms(self) -> int | None:
        if not self._bounds.fail_closed or self._bounds.revoke_ms is None:
            return None
        return round(self._bounds.revoke_ms * (1 - MARGIN_SHARE))


def _retry_after_ms(age_ms: int | None, limit_ms: int) -> int:
    """Return when to come back; later the longer the proof is missing."""
    if age_ms is None:
        return MIN_RETRY_AFTER_MS
    missing_ms = age_ms - limit_ms
    return max(
        MIN_RETRY_AFTER_MS,
        min(MAX_RETRY_AFTER_MS, round(missing_ms * RETRY_AFTER_SHARE)),
    )
