"""Plays of days by variants of the code, and their data files."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from bench.decisions.day import Day, Kind, read_day


class Play(NamedTuple):
    """One day played once.

    ``windows`` has the start in seconds, the number of requests and the share
    of worth earned for every 2 s.
    """

    variant: str
    day: str
    seed: int
    worth: float
    whole: float
    worst_windows: float
    prices: float
    processor_s: float
    late: int
    unserved: int
    broken: bool
    windows: list[tuple[float, int, float]]


def collect(folder: Path, kinds: dict[str, Kind]) -> list[Play]:
    """Return the plays in ``folder`` from files VARIANT,DAY,SEED.json."""
    found = []
    for report in sorted(folder.glob('*.json')):
        variant, name, seed = report.stem.split(',')
        day = read_day(report, kinds)
        found.append(_play(variant, name, int(seed), day))
    return found


def save(plays: Iterable[Play], path: Path) -> None:
    """Write the plays as JSON lines."""
    lines = (json.dumps(play._asdict()) for play in plays)
    path.write_text(''.join(f'{line}\n' for line in lines))


def read_plays(path: Path) -> list[Play]:
    """Return the plays in a file of JSON lines."""
    lines = path.read_text().splitlines()
    return [Play(**json.loads(line)) for line in lines]


def _play(variant: str, name: str, seed: int, day: Day) -> Play:
    return Play(
        variant=variant,
        day=name,
        seed=seed,
        worth=round(day.worth, 4),
        whole=round(day.whole, 4),
        worst_windows=round(day.worst_windows, 4),
        prices=round(sum(day.prices.values()), 4),
        processor_s=round(day.processor_s, 2),
        late=sum(each.late for each in day.outcomes),
        unserved=sum(each.refused + each.failed for each in day.outcomes),
        broken=day.broken,
        windows=[tuple(each) for each in day.windows],
    )
