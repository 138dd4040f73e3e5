"""Counts of a stretch of time, as they lie in the object store."""

import itertools
from collections.abc import Iterable
from typing import Any, NamedTuple

from cactusridge import wire
from cactusridge.slo.window import ServiceWindow

PREFIX = 'slo'
HOUR_S = 3600
DAY_S = 24 * HOUR_S


class Run(NamedTuple):
    """Periods of one entry that follow each other without a gap.

    ``first`` and ``final`` number the periods; ``start`` and ``end`` are
    Unix times in seconds; ``last`` tells that the entry then stopped as
    planned.
    """

    entry: str
    first: int
    final: int
    start: int
    end: int
    last: bool


class Gap(NamedTuple):
    """A stretch of an entry's time that no period covers."""

    entry: str
    after: int
    serial: int


class Period(NamedTuple):
    """What some entries counted, by service, and when.

    One entry writes a period each ``period_s`` seconds; the periods of
    an hour are later merged into one.
    """

    end: int
    period_s: float
    runs: tuple[Run, ...]
    services: dict[str, Any]

    @property
    def start(self) -> int:
        """Return when the first of its runs began, Unix seconds."""
        return min(run.start for run in self.runs)


def period_name(end: int, entry: str, serial: int) -> str:
    """Return the object name of an entry's period; sorts by its end."""
    return f'{name_at(end)}/{entry}-{serial}'


def name_at(when: int) -> str:
    """Return what sorts before every period that ends at ``when``."""
    return f'{PREFIX}/{when:012}'


def hour_of(name: str) -> int:
    """Return the start of the hour in which a period ended."""
    end = int(name.split('/')[1])
    return end - end % HOUR_S


def encode_period(period: Period) -> bytes:
    """Return a period as it is stored."""
    runs = [list(run) for run in period.runs]
    return wire.encode({**period._asdict(), 'runs': runs})


def decode_period(raw: bytes) -> Period:
    """Return the period in a stored object."""
    message = wire.decode(raw)
    message['runs'] = tuple(Run(*run) for run in message['runs'])
    return Period(**message)


def merge_periods(periods: Iterable[Period]) -> Period:
    """Return one period that counts what all of them count.

    Takes them one at a time, so that an hour of a large fleet need not
    be in memory at once.
    """
    windows: dict[str, ServiceWindow] = {}
    bare: list[Period] = []
    for period in periods:
        bare.append(period._replace(services={}))
        for path, stored in period.services.items():
            known = windows.setdefault(path, ServiceWindow())
            known.merge(ServiceWindow.decode(stored))
    return Period(
        max(period.end for period in bare),
        max(period.period_s for period in bare),
        tuple(join_runs(bare)),
        {path: window.encode() for path, window in windows.items()},
    )


def join_runs(periods: Iterable[Period]) -> list[Run]:
    """Return the runs, those joined that follow each other."""
    joined: list[Run] = []
    for run in sorted(itertools.chain.from_iterable(_runs(periods))):
        before = joined[-1] if joined else None
        if before and _follows(before, run):
            joined[-1] = before._replace(
                final=run.final,
                end=run.end,
                last=run.last,
            )
        else:
            joined.append(run)
    return joined


def find_gaps(
    periods: Iterable[Period],
    now: float,
    period_s: float,
) -> list[Gap]:
    """Return what is missing: numbers left out, and ends never told."""
    gaps = []
    runs = join_runs(periods)
    for run, following in itertools.zip_longest(runs, runs[1:]):
        same = following is not None and following.entry == run.entry
        # Two periods of grace: one that runs, one on its way.
        silent = now - run.end > 2 * period_s
        if same or (silent and not run.last):
            gaps.append(Gap(run.entry, run.end, run.final + 1))
    return gaps


def _runs(periods: Iterable[Period]) -> list[tuple[Run, ...]]:
    return [period.runs for period in periods]


def _follows(before: Run, run: Run) -> bool:
    return before.entry == run.entry and before.final + 1 == run.first
