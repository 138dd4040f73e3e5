"""Determines since when an entry has been a member without interruption."""

from typing import NamedTuple

from cactusridge.store.fields import Fields
from cactusridge.store.row_reader import RowReader
from cactusridge.store.store_clock import StoreClock
from cactusridge.store.table import Priority, Row, Table
from cactusridge.store.unreadable import UnreadableRecord

# Longest time in milliseconds between two renewals that does not interrupt the
# membership. It is shorter than the lease, after which other entries count an
# entry as dead.
MAX_RENEWAL_GAP_MS = 3000
RENEWED_FIELD = 'renewed_ms'


class _RowTimes(NamedTuple):
    """Times in an entry's row, in milliseconds of the store's clock."""

    since_ms: int
    renewed_ms: int


_NO_TIMES = _RowTimes(0, 0)


class MembershipStart:
    """Tracks since when an entry has renewed its row without interruption.

    A process that restarts before the lease has expired continues the
    membership of the previous process, since the other entries have not
    noticed the restart.
    """

    def __init__(self, clock: StoreClock) -> None:
        """Measure time with ``clock``, the store's clock."""
        self._clock = clock
        self._since_ms: int | None = None
        self._stamped_ms = 0
        self._renewed_ms = 0
        self._reader = RowReader()

    def since_ms(self, table: Table, key: str) -> int:
        """Return the start of the uninterrupted membership.

        It is in milliseconds of the store's clock. The first call reads
        the row of the previous process at ``key``. Raises
        StoreUnavailable.
        """
        if self._since_ms is None:
            row = table.read([key], Priority.lease)[0]
            found = self._previous_times(row)
            self._since_ms = found.since_ms
            self._renewed_ms = found.renewed_ms
        now_ms = self._clock.now_ms()
        if now_ms - self._renewed_ms > MAX_RENEWAL_GAP_MS:
            self._since_ms = now_ms
        return self._since_ms

    def renewal_field(self) -> dict[str, int]:
        """Return the field of the row with the time of the renewal."""
        self._stamped_ms = self._clock.now_ms()
        return {RENEWED_FIELD: self._stamped_ms}

    def confirm_renewal(self) -> None:
        """Record that the store has accepted the last stamped row."""
        self._renewed_ms = self._stamped_ms

    def _previous_times(self, row: Row) -> _RowTimes:
        """Return the times in the row of the previous process."""
        try:
            found = self._reader.read(row, _parse_times)
        except UnreadableRecord:
            return _NO_TIMES
        return found or _NO_TIMES


def _parse_times(row: Row) -> _RowTimes:
    fields = Fields(row.value)
    return _RowTimes(
        fields.integer('since_ms', 0), fields.integer(RENEWED_FIELD, 0)
    )
