"""Determines since when an entry has been a member without interruption."""

from collections.abc import Callable

from cactusridge.store.store_clock import StoreClock
from cactusridge.store.table import Priority, Table

# Longest time in milliseconds between two renewals that does not interrupt the
# membership. It is shorter than the lease, after which other entries count an
# entry as dead.
MAX_RENEWAL_GAP_MS = 3000
MS_PER_S = 1000


class MembershipStart:
    """Tracks since when an entry has renewed its row without interruption.

    A process that restarts begins its membership anew, even before the lease
    of the previous process has expired: that one may have handed over the
    right to count the limits of organisations.
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
        row at ``key``, so that the time of the store is known. Raises
        StoreUnavailable.
        """
        if self._since_ms is None:
            table.read([key], Priority.lease)
        now_ms = self._clock.now_ms()
        if self._since_ms is None or not self._can_continue(now_ms):
            self._since_ms = now_ms
        return self._since_ms

    def stamp_renewal(self) -> None:
        """Record the time at which a renewal is sent."""
        self._stamped_ms = self._clock.now_ms()

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
