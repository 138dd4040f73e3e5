"""The store's steady clock, as this process reckons it."""

from cactusridge.clock import Clock

MS = 1000


class StoreClock:
    """Tells the store's time from its answers and the time since.

    All entries reckon from one clock, so that the age of a job does not
    depend on the time of day of the host that looks at it.
    """

    def __init__(self, clock: Clock) -> None:
        """Go on from the last answer by ``clock``."""
        self._clock = clock
        self._offset_ms = float(0)

    def note(self, now_ms: float) -> None:
        """Take the time in an answer that has just come."""
        self._offset_ms = now_ms - self._clock.monotonic() * MS

    def now_ms(self) -> int:
        """Return the store's time in milliseconds."""
        return int(self._clock.monotonic() * MS + self._offset_ms)
