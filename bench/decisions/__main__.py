"""Prints the reasons for which played days lost worth.

    python -m bench.decisions SHEET DAY...

DAY is the common path of a report and a log, without ``.json`` or ``.log``.
"""

import sys
from pathlib import Path
from typing import NamedTuple

from bench.decisions.day import Day, read_day, read_kinds, read_log, read_slots
from bench.decisions.losses import Reason, losses


class Column(NamedTuple):
    """A column of the table, which is one day."""

    name: str
    day: Day
    lost: dict[Reason, float]


def columns(sheet: Path, paths: list[str]) -> list[Column]:
    """Return a column for the day at each of ``paths``."""
    kinds, slots = read_kinds(sheet), read_slots(sheet)
    found = []
    for path in paths:
        day = read_day(Path(f'{path}.json'), kinds)
        log = read_log(Path(f'{path}.log'))
        found.append(Column(Path(path).name, day, losses(day, log, slots)))
    return found


def table(days: list[Column]) -> list[str]:
    """Return the table: a row for each reason, a cell for each day."""
    return [
        _row('reason', (each.name for each in days)),
        _row('---', ('---' for _ in days)),
        *(
            _row(
                reason.value,
                (f'{each.lost.get(reason, 0):.4f}' for each in days),
            )
            for reason in Reason
        ),
        _row('all', (f'{sum(each.lost.values()):.4f}' for each in days)),
    ]


def _row(name: str, cells: object) -> str:
    return f'| {name} | {" | ".join(cells)} |\n'


if __name__ == '__main__':
    sheet, *paths = sys.argv[1:]
    sys.stdout.writelines(table(columns(Path(sheet), paths)))
