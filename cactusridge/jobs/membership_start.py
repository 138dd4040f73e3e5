"""Determines since when an entry has been a member without interruption."""

from collections.abc import Callable
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
MS_PER_S = 1000
RENEWED_FIELD = 'renewed_ms'
# Added to the start of a membership that a restarted process continues. Other
# entries tell the two processes apart by it: what the previous one handed over
# is not attributed to this one.
RESTART_STEP_MS = 1


class _RowTimes(NamedTuple):
    """Times in an entry's row, in milliseconds of the store's clock."""

    since_ms: int
    renewed_ms: int


class MembershipStart:
    """Tracks since when an entry has renewed its row without interruption.

    A process that restarts before the lease of the previous one has expired
    continues its membership, since the other entries have not noticed the
    restart. Otherwise nobody could count limits for some seconds after a
    restart of all entries.
    """

    def __init__(self, clock: StoreClock) -> None:
        """Measure time with ``clock``, the store's clock."""
        self._clock = clock
        self._since_ms: int | None = None
        self._stamped_ms = 0
        self._renewed_ms: int | None = None
        self._is_irreplaceable: Callable[[], bool] | None = None

    def continue_while(self, is_irreplaceable: Callable[[], bool]) -> None:
        """Continue the membership after a gap if no entry used it.

        ``is_irreplaceable`` returns whether no other entry can have taken the
        place of this one since its last renewal.
        """
        self._is_irreplaceable = is_irreplaceable

    def since_ms(self, table: Table, key: str) -> int:
        """Return the start of the uninterrupted membership.

        It is in milliseconds of the store's clock. The first call reads the
        row of the previous process at ``key``. Raises StoreUnavailable.
        """
        if self._since_ms is None:
            self._continue_previous(table.read([key], Priority.lease)[0])
        now_ms = self._clock.now_ms()
        if self._since_ms is None or not self._can_continue(now_ms):
            self._since_ms = now_ms
        return self._since_ms

    def renewal_field(self) -> dict[str, int]:
        """Return the field of the row with the time of the renewal."""
        self._stamped_ms = self._clock.now_ms()
        return {RENEWED_FIELD: self._stamped_ms}

    def confirm_renewal(self) -> None:
        """Record that the store has accepted the last stamped renewal."""
        self._renewed_ms = self._stamped_ms

    def member_s(self) -> float:
        """Return the seconds from the start to the last renewal."""
        if self._renewed_ms is None or self._since_ms is None:
            return 0
        return (self._renewed_ms - self._since_ms) / MS_PER_S

    def _can_continue(self, now_ms: int) -> bool:
        if self._renewed_ms is None:
            return False
        if now_ms - self._renewed_ms <= MAX_RENEWAL_GAP_MS:
            return True
        return self._is_irreplaceable is not None and self._is_irreplaceable()

    def _continue_previous(self, row: Row) -> None:
        """Take over the times in the row of the previous process."""
        try:
            found = RowReader().read(row, _parse_times)
        except UnreadableRecord:
            return
        if found is not None and found.renewed_ms:
            self._since_ms = found.since_ms + RESTART_STEP_MS
            self._renewed_ms = found.renewed_ms


def _parse_times(row: Row) -> _RowTimes:
    fields = Fields(row.value)
    return _RowTimes(
        fields.integer('since_ms', 0), fields.integer(RENEWED_FIELD, 0)
    )
