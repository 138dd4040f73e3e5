"""This process's estimate of the store's monotonic clock."""

from gevent.event import Event

from cactusridge.clock import Clock
from cactusridge.errors import StoreUnavailable

MS = 1000


class StoreTimeUnknown(StoreUnavailable):
    """The store has not stated its time since this process started."""

    code = 'store_time_unknown'


class StoreClock:
    """Computes the store's time from its last reply and the time since.

    All entries use this one clock, so that the computed age of a job does
    not depend on the clock of an entry's host. The two clocks need not have
    the same start: until the store's first reply its time is unknown.
    """

    def __init__(self, clock: Clock) -> None:
        """Measure the time since the last reply by ``clock``."""
        # Whether the store has stated its time since this process started.
        self.is_known = False
        self._clock = clock
        self._offset_ms = float(0)
        self._first_reply = Event()

    def note(self, now_ms: float) -> None:
        """Record the store's time ``now_ms`` of a reply just received."""
        self._offset_ms = now_ms - self._clock.monotonic() * MS
        self.is_known = True
        self._first_reply.set()

    def now_ms(self) -> int:
        """Return the store's time in milliseconds; raise StoreTimeUnknown."""
        if not self.is_known:
            raise StoreTimeUnknown
        return int(self._clock.monotonic() * MS + self._offset_ms)

    def wait_known(self, timeout_s: float) -> bool:
        """Wait up to ``timeout_s`` for the first reply; return ``is_known``."""
        self._first_reply.wait(timeout_s)
        return self.is_known
