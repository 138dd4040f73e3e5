"""Tells expired leases from held ones by this host's clock alone."""

from collections import OrderedDict
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.store.table import Row

MAX_WATCHED = 10_000


class Seen(NamedTuple):
    """A row's version and when it was first seen, monotonic seconds."""

    version: int
    at: float


class LeaseWatch:
    """Remembers since when each held row has not changed."""

    def __init__(self, lease_s: float, clock: Clock) -> None:
        """Call a lease expired after ``lease_s`` without a change."""
        self._lease_s = lease_s
        self._clock = clock
        self._seen: OrderedDict[str, Seen] = OrderedDict()

    def free(self, row: Row) -> bool:
        """Tell whether the span in ``row`` may be taken now."""
        if row.value is None:
            return False
        if not row.value['holder']:
            return True
        now = self._clock.monotonic()
        seen = self._seen.get(row.key)
        if seen is None or seen.version != row.version:
            self._note(row, now)
            return False
        return now - seen.at > self._lease_s

    def _note(self, row: Row, now: float) -> None:
        self._seen[row.key] = Seen(row.version, now)
        self._seen.move_to_end(row.key)
        if len(self._seen) > MAX_WATCHED:
            self._seen.popitem(last=False)
