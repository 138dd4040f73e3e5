"""Detects expired leases by this host's clock alone."""

from collections import OrderedDict
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.store.table import Row

MAX_WATCHED = 10_000


class Seen(NamedTuple):
    """A row's version, and since when it was seen, in monotonic seconds."""

    version: int
    since: float


class LeaseWatch:
    """Records since when the row of each held span has not changed.

    Remembers the MAX_WATCHED rows that changed most recently.
    """

    def __init__(self, lease_s: float, clock: Clock) -> None:
        """Treat a lease as expired after ``lease_s`` seconds unchanged."""
        self._lease_s = lease_s
        self._clock = clock
        self._seen: OrderedDict[str, Seen] = OrderedDict()

    def may_take(self, row: Row) -> bool:
        """Return whether the span in ``row`` may be taken now.

        True if it has no holder or its row has been unchanged for longer
        than the lease.
        """
        if row.value is None:
            return False
        if not row.value['holder']:
            return True
        now = self._clock.monotonic()
        seen = self._seen.get(row.key)
        if seen is None or seen.version != row.version:
            self._record(row, now)
            return False
        return now - seen.since > self._lease_s

    def _record(self, row: Row, now: float) -> None:
        self._seen[row.key] = Seen(row.version, now)
        self._seen.move_to_end(row.key)
        if len(self._seen) > MAX_WATCHED:
            self._seen.popitem(last=False)
