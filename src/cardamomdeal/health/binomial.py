"""Tail probabilities of the binomial distribution."""

import math


def upper_tail(hits: int, trials: int, probability: float) -> float:
    """Return the probability of at least `hits` hits."""
    if hits <= 0:
        return 1.0
    return math.fsum(
        _probability_of(count, trials, probability)
        for count in range(hits, trials + 1)
    )


def lower_tail(hits: int, trials: int, probability: float) -> float:
    """Return the probability of at most `hits` hits."""
    return math.fsum(
        _probability_of(count, trials, probability)
        for count in range(hits + 1)
    )


def _probability_of(hits: int, trials: int, probability: float) -> float:
    if probability <= 0:
        return 1.0 if hits == 0 else 0.0
    if probability >= 1:
        return 1.0 if hits == trials else 0.0
    logarithm = (
        math.lgamma(trials + 1)
        - math.lgamma(hits + 1)
        - math.lgamma(trials - hits + 1)
        + hits * math.log(probability)
        + (trials - hits) * math.log1p(-probability)
    )
    return math.exp(logarithm)
