"""Periods: counts of an interval as stored in the object store."""

import itertools
from collections.abc import Iterable
from typing import Any, NamedTuple

from cactusridge import wire
from cactusridge.slo.window import ServiceWindow

PREFIX = 'slo'
HOUR_S = 3600
DAY_S = 24 * HOUR_S


class Run(NamedTuple):
    """Consecutive periods of one entry without a gap.

    ``first`` and ``final`` are the serial numbers of its first and last
    period, ``start`` and ``end`` Unix times in seconds. ``last`` is set if
    the entry shut down as planned after the final period.
    """

    entry: str
    first: int
    final: int
    start: int
    end: int
    last: bool


class Gap(NamedTuple):
    """A time of an entry that no stored period covers.

    It starts at ``after``, in Unix seconds; ``serial`` is the number of the
    first missing period.
    """

    entry: str
    after: int
    serial: int


class Period(NamedTuple):
    """Encoded windows by service, with the runs that they count.

    Each entry writes a period every ``period_s`` seconds; the periods of an
    hour are later merged into one. ``end`` is in Unix seconds.
    """

    end: int
    period_s: float
    runs: tuple[Run, ...]
    services: dict[str, Any]

    @property
    def start(self) -> int:
        """Return the start of the earliest run, in Unix seconds."""
        return min(run.start for run in self.runs)


def period_name(end: int, entry: str, serial: int) -> str:
    """Return the object name of a period; names sort by ``end``."""
    return f'{name_at(end)}/{entry}-{serial}'


def name_at(when: int) -> str:
    """Return the prefix that sorts before all periods that end at ``when``."""
    return f'{PREFIX}/{when:012}'


def hour_of(name: str) -> int:
    """Return the start of the hour in which a period ended, Unix seconds.

    ``name`` is the object name of the period.
    """
    end = int(name.split('/')[1])
    return end - end % HOUR_S


def encode_period(period: Period) -> bytes:
    """Return the stored form of ``period``."""
    runs = [list(run) for run in period.runs]
    return wire.encode({**period._asdict(), 'runs': runs})


def decode_period(raw: bytes) -> Period:
    """Return the period from its stored form ``raw``."""
    message = wire.decode(raw)
    message['runs'] = tuple(Run(*run) for run in message['runs'])
    return Period(**message)


def merge_periods(periods: Iterable[Period]) -> Period:
    """Return one period with the sum of the counts of ``periods``.

    ``periods`` is consumed one at a time, so that the periods of a large
    fleet need not be in memory at once.
    """
    windows: dict[str, ServiceWindow] = {}
    without_services: list[Period] = []
    for period in periods:
        without_services.append(period._replace(services={}))
        for path, stored in period.services.items():
            known = windows.setdefault(path, ServiceWindow())
            known.merge(ServiceWindow.decode(stored))
    return Period(
        max(period.end for period in without_services),
        max(period.period_s for period in without_services),
        tuple(join_runs(without_services)),
        {path: window.encode() for path, window in windows.items()},
    )


def join_runs(periods: Iterable[Period]) -> list[Run]:
    """Return the runs of ``periods``, with consecutive runs joined."""
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
    """Return the gaps in ``periods`` at ``now``, in Unix seconds.

    A gap is a missing serial number, or an entry that stopped writing periods
    without a planned shutdown.
    """
    gaps = []
    runs = join_runs(periods)
    for run, following in itertools.zip_longest(runs, runs[1:]):
        same = following is not None and following.entry == run.entry
        # Allows two periods: one being counted and one being stored.
        silent = now - run.end > 2 * period_s
        if same or (silent and not run.last):
            gaps.append(Gap(run.entry, run.end, run.final + 1))
    return gaps


def _runs(periods: Iterable[Period]) -> list[tuple[Run, ...]]:
    return [period.runs for period in periods]


def _follows(before: Run, run: Run) -> bool:
    return before.entry == run.entry and before.final + 1 == run.first
