"""How fast an upstream works off its queue."""

from cactusridge.clock import Clock

WEIGHT = 0.2


class DrainRate:
    """A smoothed time between two releases of a slot, in seconds.

    Only stretches in which others waited count: how far apart requests
    end while there is nothing more to do says nothing of how fast a
    queue would go.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a measurement."""
        self._clock = clock
        self._last = clock.monotonic()
        self._gap_s = float(0)
        self._full = False

    def released(self, waiting: bool) -> None:
        """Note that a slot became free, and whether one waited for it."""
        now = self._clock.monotonic()
        if self._full:
            self._observe(now - self._last)
        self._last = now
        self._full = waiting

    def wait_s(self, ahead: int) -> float:
        """Return the seconds until ``ahead`` slots have become free."""
        return self._gap_s * ahead

    def _observe(self, gap_s: float) -> None:
        if not self._gap_s:
            self._gap_s = gap_s
        self._gap_s += (gap_s - self._gap_s) * WEIGHT
