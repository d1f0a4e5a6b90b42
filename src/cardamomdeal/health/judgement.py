"""Judges backend servers by comparing their real work with their peers'."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import statistics as standard_statistics

from cardamomdeal.health import evidence
from cardamomdeal.health import statistics

SHORT_WINDOW_MS = 10_000
MIN_ATTEMPTS = 5
MIN_PEERS = 2
# Chance at which a well server may look this bad in one evaluation.
SIGNIFICANCE = 1e-8
PATH_SIGNIFICANCE = 0.01
EXPECTED_FAILURE_SHARE = 0.02
EXPECTED_SLOW_SHARE = 0.1
PEER_FACTOR = 2.0
# Two buckets are a factor of four in latency.
SLOW_BUCKETS = 2
MIN_SLOW_BUCKET = 4
MAX_TRIALS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Well:
    """Report nothing wrong."""


@dataclasses.dataclass(frozen=True, slots=True)
class BadServer:
    """Report a server that fails or is slow for all who use it."""

    reason: str
    chance: float


@dataclasses.dataclass(frozen=True, slots=True)
class BadPath:
    """Report a server that only some cannot reach well."""

    reason: str


Verdict = Well | BadServer | BadPath
Evidence = Mapping[evidence.Source, evidence.Tally]


@dataclasses.dataclass(frozen=True, slots=True)
class _Hits:
    """Count bad attempts among all, and what share is expected."""

    bad: int
    attempts: int
    expected_share: float


def judge(window: evidence.EvidenceWindow, now_ms: int) -> dict[str, Verdict]:
    """Return a verdict on each server with evidence."""
    verdicts: dict[str, Verdict] = {}
    for span_ms in (SHORT_WINDOW_MS, evidence.WINDOW_MS):
        seen = window.since(now_ms - span_ms)
        for server in {source.server for source in seen}:
            known = verdicts.get(server, Well())
            if not isinstance(known, BadServer):
                verdicts[server] = _judge_server(server, seen)
    return verdicts


def _judge_server(server: str, seen: Evidence) -> Verdict:
    path: BadPath | None = None
    kinds = {s.work_kind for s in seen if s.server == server}
    for kind in sorted(kinds):
        of_kind = {s: t for s, t in seen.items() if s.work_kind == kind}
        for test in (_failure_verdict, _slowness_verdict):
            match test(server, of_kind):
                case BadServer() as bad:
                    return bad
                case BadPath() as bad_path:
                    path = bad_path
                case Well():
                    pass
    return path or Well()


def _failure_verdict(server: str, of_kind: Evidence) -> Verdict:
    peers = _peer_totals(server, of_kind)
    if len(peers) < MIN_PEERS:
        return Well()
    peer_share = standard_statistics.median(
        peer.failures / peer.attempts for peer in peers
    )
    expected = max(EXPECTED_FAILURE_SHARE, PEER_FACTOR * peer_share)

    def hits(tally: evidence.Tally) -> _Hits:
        return _Hits(tally.failures, tally.attempts, expected)

    return _verdict('fails', server, of_kind, hits)


def _slowness_verdict(server: str, of_kind: Evidence) -> Verdict:
    peers = _peer_totals(server, of_kind)
    if len(peers) < MIN_PEERS:
        return Well()
    median = standard_statistics.median(_median_bucket(p) for p in peers)
    limit = max(MIN_SLOW_BUCKET, int(median) + SLOW_BUCKETS) - 1
    peer_share = standard_statistics.median(
        peer.slower_than(limit) / peer.attempts for peer in peers
    )
    expected = max(EXPECTED_SLOW_SHARE, PEER_FACTOR * peer_share)

    def hits(tally: evidence.Tally) -> _Hits:
        return _Hits(tally.slower_than(limit), tally.attempts, expected)

    return _verdict('slow', server, of_kind, hits)


def _verdict(reason, server: str, of_kind: Evidence, hits) -> Verdict:
    mine = {s: t for s, t in of_kind.items() if s.server == server}
    whole = hits(evidence.total(mine.values()))
    if whole.attempts < MIN_ATTEMPTS or whole.expected_share >= 1:
        return Well()
    chance = statistics.upper_tail(*_capped(whole))
    if chance >= SIGNIFICANCE:
        return Well()
    share = whole.bad / whole.attempts
    for group in _groups(mine):
        seen = hits(group)
        # A group that sees far less of it than all together do has a good
        # path to the server, so the fault is in the others' paths.
        if statistics.lower_tail(seen.bad, seen.attempts, share) < (
            PATH_SIGNIFICANCE
        ):
            return BadPath(reason)
    return BadServer(reason, chance)


def _capped(hits: _Hits) -> tuple[int, int, float]:
    if hits.attempts <= MAX_TRIALS:
        return hits.bad, hits.attempts, hits.expected_share
    scale = MAX_TRIALS / hits.attempts
    return int(hits.bad * scale), MAX_TRIALS, hits.expected_share


def _groups(mine: Evidence) -> Iterable[evidence.Tally]:
    """Sum by data centre, or by reporter where there is only one."""
    by_centre: dict[str, evidence.Tally] = {}
    by_reporter: dict[str, evidence.Tally] = {}
    for source, tally in mine.items():
        for sums, key in (
            (by_centre, source.data_centre),
            (by_reporter, source.reporter),
        ):
            sums.setdefault(key, evidence.Tally()).add(tally)
    return (by_centre if len(by_centre) > 1 else by_reporter).values()


def _peer_totals(server: str, of_kind: Evidence) -> list[evidence.Tally]:
    sums: dict[str, evidence.Tally] = {}
    for source, tally in of_kind.items():
        if source.server != server:
            sums.setdefault(source.server, evidence.Tally()).add(tally)
    return [tally for tally in sums.values() if tally.attempts]


def _median_bucket(tally: evidence.Tally) -> float:
    buckets = list(tally.latencies.elements())
    return standard_statistics.median(buckets) if buckets else 0.0
