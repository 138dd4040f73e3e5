"""Since when an entry has been in the list without a gap."""

from typing import NamedTuple

from cactusridge.store.fields import Fields
from cactusridge.store.row_reader import RowReader
from cactusridge.store.store_clock import StoreClock
from cactusridge.store.table import Priority, Row, Table
from cactusridge.store.unreadable import UnreadableRecord

# Nobody takes an entry for dead whose row changes after this long, in ms.
UNNOTICED_MS = 3000
STAMP = 'renewed_ms'


class _Stamps(NamedTuple):
    """What a row tells, in ms of the store's clock."""

    since_ms: int
    renewed_ms: int


_UNLISTED = _Stamps(0, 0)


class Tenure:
    """Tells an entry's row since when it has been renewed in time.

    A process that starts soon enough goes on with what the row of the one
    before it says: nobody has noticed that it was away.
    """

    def __init__(self, clock: StoreClock) -> None:
        """Count by the store's clock; nothing is known yet."""
        self._clock = clock
        self._since_ms: int | None = None
        self._stamped_ms = 0
        self._renewed_ms = 0
        self._reader = RowReader()

    def since_ms(self, table: Table, key: str) -> int:
        """Return the store's time since when the row at ``key`` counts.

        Raises StoreUnavailable.
        """
        if self._since_ms is None:
            row = table.read([key], Priority.lease)[0]
            found = self._found(row)
            self._since_ms = found.since_ms
            self._renewed_ms = found.renewed_ms
        now_ms = self._clock.now_ms()
        if now_ms - self._renewed_ms > UNNOTICED_MS:
            self._since_ms = now_ms
        return self._since_ms

    def stamp(self) -> dict[str, int]:
        """Return the field of the row that says when it is written."""
        self._stamped_ms = self._clock.now_ms()
        return {STAMP: self._stamped_ms}

    def renewed(self) -> None:
        """Note that the store has taken the row last stamped."""
        self._renewed_ms = self._stamped_ms

    def _found(self, row: Row) -> _Stamps:
        """Return what the row of a process before this one says."""
        try:
            found = self._reader.read(row, _stamps_in)
        except UnreadableRecord:
            return _UNLISTED
        return found or _UNLISTED


def _stamps_in(row: Row) -> _Stamps:
    fields = Fields(row.value)
    return _Stamps(fields.whole('since_ms', 0), fields.whole(STAMP, 0))
