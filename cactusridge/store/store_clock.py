"""This process's estimate of the store's monotonic clock."""

from cactusridge.clock import Clock

MS = 1000


class StoreClock:
    """Computes the store's time from its last reply and the time since.

    All entries use this one clock, so that the computed age of a job does
    not depend on the wall clock of an entry's host.
    """

    def __init__(self, clock: Clock) -> None:
        """Measure the time since the last reply by ``clock``."""
        self._clock = clock
        self._offset_ms = float(0)

    def note(self, now_ms: float) -> None:
        """Record the store's time ``now_ms`` of a reply just received."""
        self._offset_ms = now_ms - self._clock.monotonic() * MS

    def now_ms(self) -> int:
        """Return the store's time in milliseconds."""
        return int(self._clock.monotonic() * MS + self._offset_ms)
