"""Measures the output of a stream."""

from cactusridge.clock import Clock


class StreamOutput:
    """The times of the output of one run of a stream."""

    def __init__(self, clock: Clock) -> None:
        """Start when the head of the answer has been received."""
        self._clock = clock
        self._head_at = clock.monotonic()
        self._first_at: float | None = None
        self._passed_on_at = self._head_at
        # Events after those received first.
        self.later_events = 0
        # Seconds in which the caller did not take what was passed on.
        self.delayed_s = float(0)

    def record_events(self, count: int) -> None:
        """Record ``count`` events that are now passed on to the caller."""
        self._passed_on_at = self._clock.monotonic()
        if self._first_at is None:
            self._first_at = self._passed_on_at
        else:
            self.later_events += count

    def record_taken(self) -> None:
        """Record that the caller has taken the events passed on last."""
        self.delayed_s += self._clock.monotonic() - self._passed_on_at

    def lasted_s(self) -> float:
        """Return the seconds since the first event, or since the head."""
        first_at = self._first_at
        if first_at is None:
            first_at = self._head_at
        return self._clock.monotonic() - first_at

    def since_head_s(self) -> float:
        """Return the seconds since the head of the answer."""
        return self._clock.monotonic() - self._head_at
