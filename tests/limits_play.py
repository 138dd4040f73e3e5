"""Limits over a fleet of entries, played without a network.

Organisations send by Zipf's law to entries chosen at random.
"""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cactusridge.organisations.errors import LimitUnsure
from cactusridge.organisations.limiter import Limiter
from cactusridge.organisations.organisation import RateLimit
from cactusridge.organisations.token_bucket import TokenBucket
from tests.limits_fleet import Entry, Fleet, Loss

WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
# The limit by what an organisation usually sends.
LIMIT_SHARE = 1.6
ORGANISATIONS = 60
BEGIN_S = 20.0


class Played(NamedTuple):
    """What came of a play.

    ``over`` is by how many requests the worst window was over the bound,
    0 or less if none was; ``owed`` requests were within their limits, at
    entries that were not cut off, of
    which ``refused`` were not let pass; ``beyond`` were over and passed.
    """

    over: float
    owed: int
    refused: int
    beyond: int
    messages: int


def requests(
    seed: int,
    length_s: float,
    total_per_s: float,
    hot: float,
) -> list[tuple[float, int]]:
    """Return when organisations send; the first ``hot`` times its usual."""
    rng = random.Random(seed)
    found = []
    for number, rate_per_s in enumerate(usual(total_per_s)):
        at = BEGIN_S
        while at < BEGIN_S + length_s:
            surge = BEGIN_S + 5 <= at < BEGIN_S + 12 and number in {0, 9}
            times = hot if surge else 1
            at += rng.expovariate(rate_per_s * times)
            found.append((at, number))
    return sorted(found)


def usual(total_per_s: float) -> list[float]:
    """Return what organisations send, the largest first."""
    weights = [1 / (rank + 1) for rank in range(ORGANISATIONS)]
    return [total_per_s * each / sum(weights) for each in weights]


def play(
    entries: int,
    make: Callable[[Entry], Limiter],
    seed: int,
    losses: Sequence[Loss] = (),
    hot: float = 7.5,
    length_s: float = 20.0,
) -> Played:
    """Play one day."""
    fleet = Fleet(entries, make, seed)
    total_per_s = 4.0 * max(10, entries)
    limits = [
        RateLimit(LIMIT_SHARE * each, max(1.0, LIMIT_SHARE * each))
        for each in usual(total_per_s)
    ]
    exact = [TokenBucket(each, each.burst, BEGIN_S) for each in limits]
    passed: defaultdict[int, list[float]] = defaultdict(list)
    tally: Counter[str] = Counter()
    for at, number in requests(seed, length_s, total_per_s, hot):
        fleet.move_to(at, losses)
        alive = [each for each in fleet.entries if each.alive]
        if not alive:
            continue
        within = not exact[number].take(at)
        entry = fleet.rng.choice(alive)
        let_in = _passes(entry, number, limits[number])
        if let_in:
            passed[number].append(at)
        tally['beyond'] += let_in and not within
        tally['owed'] += within and not entry.cut
        tally['refused'] += within and not (entry.cut or let_in)
    over = max(
        _worst_window(times) - _bound(limits[number])
        for number, times in passed.items()
    )
    return Played(
        over,
        tally['owed'],
        tally['refused'],
        tally['beyond'],
        fleet.messages,
    )


def _passes(entry: Entry, number: int, limit: RateLimit) -> bool:
    try:
        return not entry.limiter.take(f'o{number}', limit, 1)
    except LimitUnsure:
        return False


def _bound(limit: RateLimit) -> float:
    allowed = limit.rate_per_s * WINDOW_S + limit.burst
    return allowed * (1 + OVERAGE) + SLACK


def _worst_window(times: list[float]) -> int:
    worst = 0
    first = 0
    for last, at in enumerate(times):
        while times[first] < at - WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
