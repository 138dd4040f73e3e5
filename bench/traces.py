"""Generates the traces from a seed."""

import random
from collections.abc import Callable, Iterable

from bench.trace import Event, Trace

SEED = 20261202
LENGTH_S = 12
FLOOD = (4, 8)
BATCH_ITEMS = 4000
BATCH_TOKENS = 64
GROUPS = 12


def arrivals(
    rng: random.Random,
    rate: Callable[[float], float],
    seconds: float,
    groups: int = GROUPS,
) -> Iterable[Event]:
    """Yield online requests with Poisson arrivals.

    ``rate`` returns the requests per second at a time in seconds.
    """
    at = float(0)
    while True:
        at += rng.expovariate(max(0.01, rate(at)))
        if at >= seconds:
            return
        yield Event(
            at=round(at, 4),
            group=rng.randrange(groups),
            prompt_tokens=rng.randrange(200, 1500),
            tokens=rng.randrange(24, 72),
        )


def steady(per_s: float) -> Callable[[float], float]:
    """Return a constant rate function."""
    return lambda _: per_s


def burst(per_s: float, factor: float) -> Callable[[float], float]:
    """Return a rate function ``factor`` times higher during ``FLOOD``."""

    def rate(at: float) -> float:  # noqa: WPS430
        flooded = FLOOD[0] <= at < FLOOD[1]
        return per_s * factor if flooded else per_s

    return rate


def big_job(at: float = 0, items: int = BATCH_ITEMS, due_s: int = 0) -> Event:
    """Return a batch job, by default large enough to fill the trace."""
    return Event(at, 'job', tokens=BATCH_TOKENS, items=items, due_s=due_s)


def make_traces() -> list[Trace]:
    """Return all traces."""
    rng = random.Random(SEED)
    return [
        _trace('evening', arrivals(rng, steady(20), LENGTH_S), 9),
        _trace('flood', arrivals(rng, burst(8, 6), LENGTH_S)),
        _cutoff(rng),
        _zone_lost(rng),
        _trace(
            'slow-replica',
            arrivals(rng, steady(20), LENGTH_S),
        )._replace(slow_replica=True),
        _retry_storm(rng),
        _trace(
            'one-prefix',
            arrivals(rng, steady(24), LENGTH_S, groups=2),
        ),
    ]


def _trace(name: str, events: Iterable[Event], replicas: int = 4) -> Trace:
    found = (big_job(), *events)
    return Trace(name, LENGTH_S, found, replicas)


def _cutoff(rng: random.Random) -> Trace:
    """Two jobs with an early due time, submitted after one without."""
    online = arrivals(rng, steady(8), LENGTH_S)
    jobs = (
        big_job(0, BATCH_ITEMS),
        big_job(1, 100, due_s=9),
        big_job(1.5, 100, due_s=9),
    )
    return Trace('cutoff', LENGTH_S, (*jobs, *online))


def _zone_lost(rng: random.Random) -> Trace:
    """A sidecar and its engine are killed under load and restarted."""
    online = arrivals(rng, steady(24), LENGTH_S)
    faults = (
        Event(4, 'lose', target=0),
        Event(8, 'return', target=0),
    )
    return Trace('zone-lost', LENGTH_S, (big_job(), *faults, *online))


def _retry_storm(rng: random.Random) -> Trace:
    """All engines close every connection for two seconds."""
    online = arrivals(rng, steady(30), LENGTH_S)
    faults = (
        Event(at, kind, target=number)
        for at, kind in ((4, 'cut'), (6, 'mend'))
        for number in range(4)
    )
    return Trace('retry-storm', LENGTH_S, (*faults, *online))
