"""Merges the periods of an hour into one object, once it is over.

A quarter is then read in some 2,200 objects, however many entries there
were and however short their periods.
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
    """Any entry may merge any hour; the first to name its object wins.

    The object has a name of its own and the row that names it is
    inserted once, so an entry that is lost, or two at once, neither
    lose nor double an hour. An hour is merged only when no period of it
    can come any more.
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
        """Merge hours that ended ``sealed_after_s`` seconds ago.

        ``entries`` tells all entries by address, ``entry`` among them.
        """
        self._entry = entry
        self._entries = entries
        self._objects = objects
        self._table = table
        self._history = SloHistory(objects, table)
        self._sealed_after_s = sealed_after_s
        self._clock = clock
        # Every hour before this one is merged, or had no periods.
        self._settled = 0

    def step(self) -> int | None:
        """Merge the oldest hour that is due here; return its start."""
        merged = self._history.merged_hours(self._settled)
        hour = self._history.next_hour(self._settled, merged)
        self._settled = hour or self._settled
        while hour is not None and self._sealed_s(hour) > 0:
            if self._due(hour):
                self._merge(hour, self._names(hour))
                return hour
            hour = self._history.next_hour(hour + HOUR_S, merged)
        return None

    def _due(self, hour: int) -> bool:
        """Tell whether this entry should merge ``hour`` by now.

        The entry ranked first does so at once, each other an hour after
        the one before it, in case that one is gone.
        """
        rank = rendezvous(self._entries(), hour).index(self._entry)
        return self._sealed_s(hour) > rank * HOUR_S

    def _sealed_s(self, hour: int) -> float:
        """Return for how long no period of ``hour`` can have come."""
        ended_s = self._clock.wall() - (hour + HOUR_S)
        return ended_s - self._sealed_after_s

    def _names(self, hour: int) -> list[str]:
        following = self._history.single(hour, {})
        same = itertools.takewhile(lambda each: each.hour == hour, following)
        return [each.name for each in same]

    def _read(self, name: str) -> bytes:
        return self._objects.get(name, priority=Priority.report)

    def _merge(self, hour: int, names: list[str]) -> None:
        # Reading gives way to requests between one period and the next.
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
    """Merge every hour that is due; an outage puts the rest off."""
    try:
        for _ in iter(merger.step, None):
            gevent.sleep(0)
    except StoreUnavailable as exc:
        logs.emit(events.REPORT_LATE, error=str(exc))
