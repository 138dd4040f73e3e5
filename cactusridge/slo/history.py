"""Reads the stored periods, from merged hours where they exist."""

from collections.abc import Iterator
from typing import NamedTuple

from cactusridge.slo.period import (
    HOUR_S,
    PREFIX,
    Period,
    decode_period,
    hour_of,
    name_at,
)
from cactusridge.store.fields import Fields
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import Priority, Row, Table, scan_all
from cactusridge.store.unreadable import UnreadableField

HOURS_PREFIX = 'slo-hours/'


def hour_key(hour: int) -> str:
    """Return the key of the row that names the object of a merged hour."""
    return f'{HOURS_PREFIX}{hour:012}'


def _parse_hour_row(row: Row) -> tuple[int, str]:
    """Return the start of a merged hour and the name of its object.

    Raises UnreadableField if the row has no valid hour or object.
    """
    hour = row.key.removeprefix(HOURS_PREFIX)
    if not hour.isdecimal():
        raise UnreadableField(f'not an hour: {hour!r}')
    return int(hour), Fields(row.value).text('object')


class StoredName(NamedTuple):
    """The object name of a period and the hour in which it ended."""

    name: str
    hour: int


class SloHistory:
    """The periods that all entries have stored, ordered by time."""

    def __init__(self, objects: ObjectStore, table: Table) -> None:
        """Read periods from ``objects``; ``table`` lists merged hours."""
        self._objects = objects
        self._table = table
        self._reader = RowReader()

    def periods(self, since: float) -> Iterator[Period]:
        """Yield every period that ended after ``since`` exactly once."""
        since_s = int(max(0, since))
        merged = self.merged_hours(since_s)
        for name in merged.values():
            yield self._read(name)
        for stored in self.unmerged_periods(since_s, merged):
            yield self._read(stored.name)

    def merged_hours(self, since: int) -> dict[int, str]:
        """Return the object names of merged hours that ended after ``since``.

        The keys are the starts of the hours, in Unix seconds.
        """
        after = hour_key(max(0, since - HOUR_S))
        rows = scan_all(self._table, HOURS_PREFIX, Priority.report, after)
        return dict(self._reader.readable(rows, _parse_hour_row))

    def unmerged_periods(
        self,
        since: int,
        merged: dict[int, str],
    ) -> Iterator[StoredName]:
        """Yield the names of the periods that no merged hour includes."""
        after = name_at(_next_unmerged_time(since, merged))
        while names := self._objects.names(f'{PREFIX}/', after):
            for name in names:
                after = name
                hour = hour_of(name)
                if hour in merged:
                    # The merged hour includes all other periods of this hour.
                    after = name_at(_next_unmerged_time(hour, merged))
                    break
                yield StoredName(name, hour)

    def next_unmerged_hour(
        self, since: int, merged: dict[int, str]
    ) -> int | None:
        """Return the first hour from ``since`` on with an unmerged period.

        Returns None if there is no such hour.
        """
        found = next(self.unmerged_periods(since, merged), None)
        return None if found is None else found.hour

    def _read(self, name: str) -> Period:
        raw = self._objects.get(name, priority=Priority.report)
        return decode_period(raw)


def _next_unmerged_time(when: int, merged: dict[int, str]) -> int:
    """Return the first time from ``when`` on that is in no merged hour."""
    while when - when % HOUR_S in merged:
        when += HOUR_S - when % HOUR_S
    return when
