"""Differences between two variants, paired by day and seed."""

import math
import statistics
from collections.abc import Callable, Iterable
from typing import NamedTuple

from bench.decisions.plays import Play

# Two-sided 95% points of Student's t by degrees of freedom; from 30 on
# that of the normal distribution is near enough.
T_95 = (
    *(12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23),
    *(2.2, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.1, 2.09, 2.09),
    *(2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05, 2.04),
)
T_MANY = 1.96

Measure = Callable[[Play], float]


class Difference(NamedTuple):
    """The mean of the paired differences and half of its interval."""

    pairs: int
    before: float
    mean: float
    half: float

    @property
    def clear(self) -> bool:
        """Whether the interval leaves out zero."""
        return abs(self.mean) > self.half


def difference(
    plays: Iterable[Play],
    before: str,
    after: str,
    measure: Measure,
) -> Difference:
    """Return how ``after`` differs from ``before`` in a measure.

    Raises ValueError for fewer than two pairs.
    """
    found = {
        (play.variant, play.day, play.seed): measure(play) for play in plays
    }
    pairs = [
        (value, found[after, day, seed])
        for (variant, day, seed), value in found.items()
        if variant == before and (after, day, seed) in found
    ]
    if len(pairs) < 2:
        raise ValueError(f'{len(pairs)} pairs of {before} and {after}')
    gains = [late - early for early, late in pairs]
    error = statistics.stdev(gains) / math.sqrt(len(gains))
    return Difference(
        len(gains),
        statistics.mean(early for early, _ in pairs),
        statistics.mean(gains),
        _t(len(gains) - 1) * error,
    )


def _t(freedom: int) -> float:
    return T_95[freedom - 1] if freedom <= len(T_95) else T_MANY
