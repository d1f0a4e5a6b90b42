"""Judges backend servers by comparing their real work with their peers'."""

import dataclasses
import statistics

from cardamomdeal.health import binomial
from cardamomdeal.health import evidence

MIN_ATTEMPTS = 5
MIN_PEERS = 2
# One agent alone cannot tell a bad server from its own bad path.
MIN_WITNESSES = 2
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


@dataclasses.dataclass(frozen=True, slots=True)
class Failures:
    """Ask whether a server fails more often than its peers."""

    expected_share: float

    def bad(self, tally: evidence.Tally) -> int:
        """Return how many attempts failed."""
        return tally.failures


@dataclasses.dataclass(frozen=True, slots=True)
class Slowness:
    """Ask whether a server is slow more often than its peers."""

    expected_share: float
    limit_bucket: int

    def bad(self, tally: evidence.Tally) -> int:
        """Return how many answers were slow."""
        return tally.slower_than(self.limit_bucket)


Question = Failures | Slowness


def judge(window: evidence.EvidenceWindow) -> dict[str, Verdict]:
    """Return a verdict on each server with evidence."""
    verdicts: dict[str, Verdict] = {}
    for span_ms in evidence.SPANS_MS:
        sums = window.sums(span_ms)
        for kind in {work.kind for work in sums}:
            of_kind = {w: t for w, t in sums.items() if w.kind == kind}
            for work in of_kind:
                verdict = _judge_work(window, work, of_kind, span_ms)
                known = verdicts.get(work.server, Well())
                verdicts[work.server] = _worse(known, verdict)
    return verdicts


def _worse(one: Verdict, other: Verdict) -> Verdict:
    for kind in (BadServer, BadPath):
        for verdict in (one, other):
            if isinstance(verdict, kind):
                return verdict
    return Well()


def _judge_work(
    window: evidence.EvidenceWindow,
    work: evidence.Work,
    of_kind: dict[evidence.Work, evidence.Tally],
    span_ms: int,
) -> Verdict:
    peers = [
        tally
        for other, tally in of_kind.items()
        if other != work and tally.attempts
    ]
    if len(peers) < MIN_PEERS or of_kind[work].attempts < MIN_ATTEMPTS:
        return Well()
    verdict: Verdict = Well()
    for question in (_failures(peers), _slowness(peers)):
        answer = _answer(question, window, work, of_kind[work], span_ms)
        verdict = _worse(verdict, answer)
    return verdict


def _failures(peers: list[evidence.Tally]) -> Failures:
    share = statistics.median(peer.failures / peer.attempts for peer in peers)
    return Failures(max(EXPECTED_FAILURE_SHARE, PEER_FACTOR * share))


def _slowness(peers: list[evidence.Tally]) -> Slowness:
    median = statistics.median(peer.median_bucket() for peer in peers)
    limit = max(MIN_SLOW_BUCKET, int(median) + SLOW_BUCKETS) - 1
    share = statistics.median(
        peer.slower_than(limit) / peer.attempts for peer in peers
    )
    return Slowness(max(EXPECTED_SLOW_SHARE, PEER_FACTOR * share), limit)


def _answer(
    question: Question,
    window: evidence.EvidenceWindow,
    work: evidence.Work,
    tally: evidence.Tally,
    span_ms: int,
) -> Verdict:
    bad = question.bad(tally)
    if bad <= question.expected_share * tally.attempts:
        return Well()
    chance = _chance(bad, tally.attempts, question.expected_share)
    if chance >= SIGNIFICANCE:
        return Well()
    if _is_path(question, window, work, bad / tally.attempts, span_ms):
        return BadPath(_reason(question))
    return BadServer(_reason(question), chance)


def _is_path(
    question: Question,
    window: evidence.EvidenceWindow,
    work: evidence.Work,
    bad_share: float,
    span_ms: int,
) -> bool:
    """Return whether only some of those who use a server see it bad."""
    by_agent = window.by_agent(work, span_ms)
    witnesses = sum(question.bad(seen) > 0 for seen in by_agent.values())
    reporting = len(window.reporting_agents(span_ms))
    if witnesses < min(MIN_WITNESSES, reporting):
        return True
    by_centre = window.by_data_centre(work, span_ms)
    groups = by_centre if len(by_centre) > 1 else by_agent
    # A group that sees far less of it than all together do has a good path
    # to the server, so the fault is in the others' paths.
    return any(
        binomial.lower_tail(question.bad(group), group.attempts, bad_share)
        < PATH_SIGNIFICANCE
        for group in groups.values()
    )


def _chance(bad: int, attempts: int, expected_share: float) -> float:
    if attempts > MAX_TRIALS:
        bad = int(bad * MAX_TRIALS / attempts)
        attempts = MAX_TRIALS
    return binomial.upper_tail(bad, attempts, expected_share)


def _reason(question: Question) -> str:
    match question:
        case Failures():
            return 'fails'
        case Slowness():
            return 'slow'
