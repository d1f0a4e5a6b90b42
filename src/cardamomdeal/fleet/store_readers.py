"""Decides which entry hosts read the store on behalf of all."""

from collections.abc import Mapping
import dataclasses

from cardamomdeal.membership import rendezvous

RENDEZVOUS_KEY = 'store-reader'
# Two hosts watch the store, so that one can fail without a gap.
READER_COUNT = 2
# A reader is replaced if no progress report has come from it for this long.
REPORT_TIMEOUT_MS = 900
# A reader whose view is older than this counts as cut off from the store.
MAX_VIEW_AGE_MS = 1_600


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressReport:
    """Time of a reader's last report and the age of its view then."""

    received_at_ms: int
    view_age_ms: int

    @property
    def valid_at_ms(self) -> int:
        """Return as of when the reader's view was complete."""
        return self.received_at_ms - self.view_age_ms


class StoreReaders:
    """Ranking of the hosts as store readers, and their last reports.

    Hosts need no vote: each one reads the store unless enough hosts that
    rank before it report that they do. While hosts disagree
    there may be additional readers, but never none. A reader sends each
    change to all hosts, so those with the fastest links rank first.
    """

    def __init__(self, name: str, started_at_ms: int = 0) -> None:
        self._name = name
        self._link_mbps: Mapping[str, float] = {name: 0.0}
        self._ranked: list[str] = [name]
        self._reports: dict[str, ProgressReport] = {}
        self._preferred_since_ms = started_at_ms

    def set_hosts(self, link_mbps: Mapping[str, float], now_ms: int) -> None:
        """Rank the hosts, given with their links and including this one."""
        if link_mbps == self._link_mbps:
            return
        previous = self.preferred()
        self._link_mbps = link_mbps
        self._ranked = sorted(
            rendezvous.ranked(RENDEZVOUS_KEY, link_mbps),
            key=lambda name: link_mbps[name],
            reverse=True,
        )
        if self.preferred() != previous:
            self._preferred_since_ms = now_ms

    def preferred(self) -> list[str]:
        """Return the hosts that read the store while none has failed."""
        return self._ranked[:READER_COUNT]

    def record_report(self, name: str, view_age_ms: int, now_ms: int) -> None:
        """Record a host's report of the age of its view of the store."""
        self._reports[name] = ProgressReport(now_ms, view_age_ms)

    def reading(self, now_ms: int) -> list[str]:
        """Return the other hosts that read the store, best view first."""
        names = [
            name
            for name in self._reports
            if name != self._name and self._is_reading(name, now_ms)
        ]
        return sorted(names, key=lambda name: self._reports[name].valid_at_ms)[
            ::-1
        ]

    def is_reader(self, now_ms: int) -> bool:
        """Return whether this host must read the store itself."""
        preferred = self._ranked[: self._ranked.index(self._name)]
        reading = sum(self._is_reading(name, now_ms) for name in preferred)
        return reading < READER_COUNT

    def should_send_changes(self, now_ms: int) -> bool:
        """Return whether this host sends the changes that it reads.

        Hosts that start together all read until they hear from those that
        rank before them; if all of them sent, each change would reach every
        host many times. Reports tell of changes that nobody has sent.
        """
        if self.is_preferred_reader():
            return True
        could_report = now_ms - self._preferred_since_ms > REPORT_TIMEOUT_MS
        return could_report and self.is_reader(now_ms)

    def is_settled_reader(self, now_ms: int) -> bool:
        """Return whether this host has been a preferred reader for a while.

        Each of many hosts that start together is one until it has read the
        entries of the others.
        """
        settled = now_ms - self._preferred_since_ms > REPORT_TIMEOUT_MS
        return settled and self.is_preferred_reader()

    def is_preferred_reader(self) -> bool:
        """Return whether this host is a reader while no host has failed."""
        return self._name in self.preferred()

    def _is_reading(self, name: str, now_ms: int) -> bool:
        report = self._reports.get(name)
        if (
            report is None
            or now_ms - report.received_at_ms > REPORT_TIMEOUT_MS
        ):
            return False
        return (
            report.view_age_ms + now_ms - report.received_at_ms
            <= MAX_VIEW_AGE_MS
        )
