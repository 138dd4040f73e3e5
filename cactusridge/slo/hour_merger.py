"""Merges the stored periods of each past hour into one object.

A report over a quarter then reads some 2,200 objects, independent of the
number of entries and the length of their periods.
"""

import itertools
from collections.abc import Callable, Sequence

import gevent

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import StoreUnavailable
from cactusridge.hashing import rendezvous
from cactusridge.identity import new_id
from cactusridge.slo.history import SloHistory, hour_key
from cactusridge.slo.period import (
    HOUR_S,
    decode_period,
    encode_period,
    merge_periods,
)
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.table import (
    ABSENT,
    Condition,
    Priority,
    Table,
    Write,
)
from cactusridge.store.writer import insert_once


class HourMerger:
    """Merges hours; any entry may merge any hour.

    An entry writes the merged hour to an object with a unique name and then
    inserts the row that names this object. The row can be inserted only
    once, so the hour is neither lost when an entry fails in between nor
    counted twice when two entries merge it at the same time. An hour is
    merged only when no more of its periods can be stored.
    """

    def __init__(
        self,
        objects: ObjectStore,
        table: Table,
        entry: str,
        entries: Callable[[], Sequence[str]],
        sealed_after_s: float,
        clock: Clock,
    ) -> None:
        """Merge hours that ended at least ``sealed_after_s`` seconds ago.

        ``entries`` returns the addresses of all entries, including
        ``entry``, the address of this one.
        """
        self._entry = entry
        self._entries = entries
        self._objects = objects
        self._table = table
        self._history = SloHistory(objects, table)
        self._sealed_after_s = sealed_after_s
        self._clock = clock
        # Each hour that starts before this time is merged or has no periods.
        self._merged_before = 0

    def merge_next_due(self) -> int | None:
        """Merge the oldest hour that is due at this entry.

        Returns the start of the hour in Unix seconds, or None if no hour is
        due.
        """
        merged = self._history.merged_hours(self._merged_before)
        hour = self._history.next_unmerged_hour(self._merged_before, merged)
        self._merged_before = hour or self._merged_before
        while hour is not None and self._sealed_for_s(hour) > 0:
            if self._is_due(hour):
                self._merge_hour(hour, self._period_names(hour))
                return hour
            hour = self._history.next_unmerged_hour(hour + HOUR_S, merged)
        return None

    def _is_due(self, hour: int) -> bool:
        """Return whether this entry should merge ``hour`` now.

        Rendezvous hashing ranks the entries for the hour. The first one
        merges it at once, and each further one takes over an hour after the
        entry before it, in case that entry has failed.
        """
        rank = rendezvous(self._entries(), hour).index(self._entry)
        return self._sealed_for_s(hour) > rank * HOUR_S

    def _sealed_for_s(self, hour: int) -> float:
        """Return the seconds since the last period of ``hour`` could arrive.

        Negative while more periods can still be stored.
        """
        ended_s = self._clock.wall() - (hour + HOUR_S)
        return ended_s - self._sealed_after_s

    def _period_names(self, hour: int) -> list[str]:
        following = self._history.unmerged_periods(hour, {})
        same = itertools.takewhile(lambda each: each.hour == hour, following)
        return [each.name for each in same]

    def _read(self, name: str) -> bytes:
        return self._objects.get(name, priority=Priority.report)

    def _merge_hour(self, hour: int, names: list[str]) -> None:
        # Reading an object lets other greenlets run, so requests are served
        # between one period and the next.
        periods = (decode_period(self._read(name)) for name in names)
        unique = new_id('h', self._clock)
        name = f'slo-merged/{hour:012}-{unique}'
        body = encode_period(merge_periods(periods))
        self._objects.put(name, body, Priority.report)
        key = hour_key(hour)
        version = insert_once(
            self._table,
            [Condition(key, ABSENT)],
            [Write(key, {'object': name})],
            Priority.report,
        )
        logs.emit(
            events.HOUR_MERGED,
            hour=hour,
            periods=len(names),
            won=version != ABSENT,
        )


def merge_due_hours(merger: HourMerger) -> None:
    """Merge every hour that is due.

    If the store is unavailable, the remaining hours are left to a later call.
    """
    try:
        for _ in iter(merger.merge_next_due, None):
            gevent.sleep(0)
    except StoreUnavailable as exc:
        logs.emit(events.REPORT_LATE, error=str(exc))
