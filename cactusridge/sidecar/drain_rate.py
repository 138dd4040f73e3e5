"""Estimates how fast the queue of an upstream drains."""

from cactusridge.clock import Clock

SMOOTHING_FACTOR = 0.2


class DrainRate:
    """Smoothed interval between two slot releases, in seconds.

    Only intervals during which requests were waiting are measured. While
    no request waits, the interval depends on how often requests arrive and
    not on how fast the upstream works.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with no measured interval."""
        self._clock = clock
        self._last = clock.monotonic()
        self._interval_s = float(0)
        self._had_waiters = False

    def record_release(self, waiting: bool) -> None:
        """Record that a slot was released.

        ``waiting`` is whether requests are still queued at this moment.
        """
        now = self._clock.monotonic()
        if self._had_waiters:
            self._observe(now - self._last)
        self._last = now
        self._had_waiters = waiting

    def expected_wait_s(self, ahead: int) -> float:
        """Return the expected seconds until ``ahead`` slots are released."""
        return self._interval_s * ahead

    def _observe(self, gap_s: float) -> None:
        if not self._interval_s:
            self._interval_s = gap_s
        self._interval_s += (gap_s - self._interval_s) * SMOOTHING_FACTOR
