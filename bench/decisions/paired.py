"""Differences between two variants in pairs of the same day and seed."""

import math
import statistics
from collections.abc import Callable, Iterable
from typing import NamedTuple

from bench.decisions.plays import Play

# Two-sided 95% quantiles of Student's t distribution for 1 to 30 degrees of
# freedom. Above 30, the quantile of the normal distribution is close enough.
T_95 = (
    *(12.71, 4.3, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23),
    *(2.2, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.1, 2.09, 2.09),
    *(2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05, 2.04),
)
T_NORMAL = 1.96

Measure = Callable[[Play], float]


class Difference(NamedTuple):
    """Mean of paired differences; ``half_width`` is half its 95% interval."""

    pairs: int
    before: float
    mean: float
    half_width: float

    @property
    def excludes_zero(self) -> bool:
        """Whether the interval excludes zero."""
        return abs(self.mean) > self.half_width


def difference(
    plays: Iterable[Play],
    before: str,
    after: str,
    measure: Measure,
) -> Difference:
    """Return the difference of ``after`` from ``before`` in a measure.

    Raises ValueError if there are fewer than two pairs.
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


def _t(degrees: int) -> float:
    return T_95[degrees - 1] if degrees <= len(T_95) else T_NORMAL
