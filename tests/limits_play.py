"""Simulation of rate limits over a fleet of entries, without a network.

The request rates of the organisations follow Zipf's law, and each request
goes to an entry chosen at random.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.organisations.limiter import Limiter
from cactusridge.organisations.organisation import RateLimit
from cactusridge.organisations.token_bucket import TokenBucket
from tests.limits_fleet import Entry, Fleet, Loss

WINDOW_S = 5.0
OVERAGE = 0.1
ALLOWANCE = 20
# An organisation's limit relative to its usual request rate.
LIMIT_SHARE = 1.6
ORGANISATIONS = 60
START_S = 20.0


class PlayResult(NamedTuple):
    """Result of one simulation.

    ``over`` is by how many requests the worst window exceeded the bound, 0
    or less if none did. ``within_limit`` counts the requests within their
    limits at entries that were not partitioned, and ``refused`` those of
    them that were rejected. ``admitted_over`` counts the requests that were
    admitted although they exceeded the limit.
    """

    over: float
    within_limit: int
    refused: int
    admitted_over: int
    messages: int


def requests(
    seed: int,
    length_s: float,
    total_per_s: float,
    surge_factor: float,
) -> list[tuple[float, int]]:
    """Return the times at which organisations send requests, sorted.

    During the surge, organisations 0 and 9 send ``surge_factor`` times
    their usual rate.
    """
    rng = random.Random(seed)
    found = []
    for number, rate_per_s in enumerate(usual_rates(total_per_s)):
        at = START_S
        while at < START_S + length_s:
            surge = START_S + 5 <= at < START_S + 12 and number in {0, 9}
            times = surge_factor if surge else 1
            at += rng.expovariate(rate_per_s * times)
            found.append((at, number))
    return sorted(found)


def usual_rates(total_per_s: float) -> list[float]:
    """Return the usual rates of the organisations, largest first."""
    weights = [1 / (rank + 1) for rank in range(ORGANISATIONS)]
    return [total_per_s * each / sum(weights) for each in weights]


def play(
    entries: int,
    make: Callable[[Entry], Limiter],
    seed: int,
    losses: Sequence[Loss] = (),
    surge_factor: float = 7.5,
    length_s: float = 20.0,
) -> PlayResult:
    """Simulate a fleet of ``entries`` entries for ``length_s`` seconds."""
    fleet = Fleet(entries, make, seed)
    total_per_s = 4.0 * max(10, entries)
    limits = [
        RateLimit(LIMIT_SHARE * each, max(1.0, LIMIT_SHARE * each))
        for each in usual_rates(total_per_s)
    ]
    exact = [TokenBucket(each, each.burst, START_S) for each in limits]
    passed: defaultdict[int, list[float]] = defaultdict(list)
    tally: Counter[str] = Counter()
    for at, number in requests(seed, length_s, total_per_s, surge_factor):
        fleet.advance_to(at, losses)
        alive = [each for each in fleet.entries if each.alive]
        if not alive:
            continue
        within = not exact[number].take(at)
        entry = fleet.rng.choice(alive)
        admitted = _passes(entry, number, limits[number])
        if admitted:
            passed[number].append(at)
        tally['admitted_over'] += admitted and not within
        tally['within_limit'] += within and not entry.partitioned
        tally['refused'] += within and not (entry.partitioned or admitted)
    over = max(
        _worst_window(times) - _bound(limits[number])
        for number, times in passed.items()
    )
    return PlayResult(
        over,
        tally['within_limit'],
        tally['refused'],
        tally['admitted_over'],
        fleet.messages,
    )


def _passes(entry: Entry, number: int, limit: RateLimit) -> bool:
    try:
        return not entry.limiter.take(f'o{number}', limit, 1)
    except LimitUnavailable:
        return False


def _bound(limit: RateLimit) -> float:
    allowed = limit.rate_per_s * WINDOW_S + limit.burst
    return allowed * (1 + OVERAGE) + ALLOWANCE


def _worst_window(times: list[float]) -> int:
    worst = 0
    first = 0
    for last, at in enumerate(times):
        while times[first] < at - WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
