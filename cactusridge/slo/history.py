"""Reads stored periods: merged hours where there are any, else single."""

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
    """Return the key of the row that names a merged hour's object."""
    return f'{HOURS_PREFIX}{hour:012}'


def _hour_in(row: Row) -> tuple[int, str]:
    """Return an hour and its object; raise UnreadableField."""
    hour = row.key.removeprefix(HOURS_PREFIX)
    if not hour.isdecimal():
        raise UnreadableField(f'no hour: {hour!r}')
    return int(hour), Fields(row.value).text('object')


class StoredName(NamedTuple):
    """The name of a single period and the hour it belongs to."""

    name: str
    hour: int


class SloHistory:
    """The periods that entries have stored, by time."""

    def __init__(self, objects: ObjectStore, table: Table) -> None:
        """Read periods from ``objects``; ``table`` names merged hours."""
        self._objects = objects
        self._table = table
        self._reader = RowReader()

    def periods(self, since: float) -> Iterator[Period]:
        """Yield every period that ended after ``since``, none twice."""
        began = int(max(0, since))
        merged = self.merged_hours(began)
        for name in merged.values():
            yield self._read(name)
        for single in self.single(began, merged):
            yield self._read(single.name)

    def merged_hours(self, since: int) -> dict[int, str]:
        """Return the object of each merged hour that ended after ``since``.

        By the start of the hour, Unix seconds.
        """
        after = hour_key(max(0, since - HOUR_S))
        rows = scan_all(self._table, HOURS_PREFIX, Priority.report, after)
        return dict(self._reader.readable(rows, _hour_in))

    def single(
        self,
        since: int,
        merged: dict[int, str],
    ) -> Iterator[StoredName]:
        """Yield the names of periods that no merged hour counts."""
        after = name_at(_next_open(since, merged))
        while names := self._objects.names(f'{PREFIX}/', after):
            for name in names:
                after = name
                hour = hour_of(name)
                if hour in merged:
                    # What is left of this hour needs no reading.
                    after = name_at(_next_open(hour, merged))
                    break
                yield StoredName(name, hour)

    def next_hour(self, since: int, merged: dict[int, str]) -> int | None:
        """Return the first hour from ``since`` on that is not merged."""
        found = next(self.single(since, merged), None)
        return None if found is None else found.hour

    def _read(self, name: str) -> Period:
        raw = self._objects.get(name, priority=Priority.report)
        return decode_period(raw)


def _next_open(when: int, merged: dict[int, str]) -> int:
    """Return the first time from ``when`` on that no merged hour holds."""
    while when - when % HOUR_S in merged:
        when += HOUR_S - when % HOUR_S
    return when
