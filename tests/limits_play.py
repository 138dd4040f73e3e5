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
from tests.limits_entry import Entry
from tests.limits_fleet import Fleet, Loss, Outage, Roll

WINDOW_S = 5.0
OVERAGE = 0.1
ALLOWANCE = 20
# An organisation's limit relative to its usual request rate.
LIMIT_SHARE = 1.6
ORGANISATIONS = 60
START_S = 20.0
# Organisations that exceed their usual rates for a time.
SURGING = frozenset((0, 9))
ADMITTED = 'admitted'
REFUSED = 'refused'
UNAVAILABLE = 'unavailable'


class Course(NamedTuple):
    """What happens to the fleet besides losses of entries.

    ``surge_s`` is how long two organisations exceed their usual rates.
    """

    roll: Roll | None = None
    outages: tuple[Outage, ...] = ()
    has_handover: bool = True
    lost_share: float = 0
    surge_s: float = 7.0


QUIET_COURSE = Course()


class PlayResult(NamedTuple):
    """Result of one simulation.

    ``over`` is by how many requests the worst window exceeded the bound, 0
    or less if none did. ``within_limit`` counts the requests within their
    limits at entries that were not partitioned, and ``refused`` those of
    them that were rejected. ``admitted_over`` counts the requests that were
    admitted although they exceeded the limit. ``unavailable`` counts the
    requests that no entry counted.

    Of the organisations that keep to their usual rates, ``usual_refused`` of
    ``usual_within`` requests within the limit were rejected. That comparison
    is of no use for the others: two buckets that are always empty admit
    different requests. ``surge_missing`` counts how many fewer than the
    limit these were admitted. ``doubles`` is how often two entries could
    count an organisation at its full rate when one of its requests came.
    """

    over: float
    within_limit: int
    refused: int
    admitted_over: int
    messages: int
    unavailable: int = 0
    usual_within: int = 0
    usual_refused: int = 0
    surge_missing: int = 0
    doubles: int = 0

    @property
    def usual_refused_share(self) -> float:
        """The share of requests within the limit that were rejected."""
        return self.usual_refused / max(1, self.usual_within)


def requests(
    seed: int,
    length_s: float,
    total_per_s: float,
    surge_factor: float,
    surge_s: float,
) -> list[tuple[float, int]]:
    """Return the times at which organisations send requests, sorted.

    During the surge, those in SURGING send ``surge_factor`` times
    their usual rate.
    """
    rng = random.Random(seed)
    found = []
    for number, rate_per_s in enumerate(usual_rates(total_per_s)):
        at = START_S
        while at < START_S + length_s:
            surge = (
                START_S + 5 <= at < START_S + 5 + surge_s and number in SURGING
            )
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
    course: Course = QUIET_COURSE,
) -> PlayResult:
    """Simulate a fleet of ``entries`` entries for ``length_s`` seconds."""
    fleet = Fleet(entries, make, seed, course.has_handover, course.lost_share)
    total_per_s = 4.0 * max(10, entries)
    limits = [
        RateLimit(LIMIT_SHARE * each, max(1.0, LIMIT_SHARE * each))
        for each in usual_rates(total_per_s)
    ]
    exact = [TokenBucket(each, each.burst, START_S) for each in limits]
    passed: defaultdict[int, list[float]] = defaultdict(list)
    tally: Counter[str] = Counter()
    sent = requests(seed, length_s, total_per_s, surge_factor, course.surge_s)
    for at, number in sent:
        fleet.advance_to(at, losses, course.outages, course.roll)
        alive = [each for each in fleet.entries if each.serves]
        if not alive:
            continue
        within = not exact[number].take(at)
        entry = fleet.rng.choice(alive)
        tally['doubles'] += fleet.holders(f'o{number}') > 1
        answer = _answer(entry, number, limits[number])
        admitted = answer == ADMITTED
        if admitted:
            passed[number].append(at)
        tally['admitted_over'] += admitted and not within
        tally['within_limit'] += within and not entry.partitioned
        if number in SURGING:
            tally['surge_missing'] += within - admitted
        else:
            tally['usual_within'] += within
            tally['usual_refused'] += within and not admitted
        tally['unavailable'] += answer == UNAVAILABLE
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
        tally['unavailable'],
        tally['usual_within'],
        tally['usual_refused'],
        max(0, tally['surge_missing']),
        tally['doubles'],
    )


def _answer(entry: Entry, number: int, limit: RateLimit) -> str:
    try:
        wait_s = entry.limiter.take(f'o{number}', limit, 1)
    except LimitUnavailable:
        return UNAVAILABLE
    return REFUSED if wait_s else ADMITTED


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
