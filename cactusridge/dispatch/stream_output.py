"""Measures the output of a stream."""

from cactusridge.clock import Clock


class StreamOutput:
    """The times of the output of one run of a stream."""

    def __init__(self, clock: Clock) -> None:
        """Start when the head of the answer has been received."""
        self._clock = clock
        self._head_at = clock.monotonic()
        self._first_at: float | None = None

    def record_events(self) -> None:
        """Record that complete events have been received."""
        if self._first_at is None:
            self._first_at = self._clock.monotonic()

    def lasted_s(self) -> float:
        """Return the seconds since the first event, or since the head."""
        first_at = self._first_at
        if first_at is None:
            first_at = self._head_at
        return self._clock.monotonic() - first_at

    def since_head_s(self) -> float:
        """Return the seconds since the head of the answer."""
        return self._clock.monotonic() - self._head_at
