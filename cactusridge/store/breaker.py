"""A circuit breaker with jittered exponential backoff."""

import random

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock

FAILURES_TO_OPEN = 3
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 4
GROWTH = 2


class Breaker:
    """Delays calls to the store after consecutive failures.

    All times are in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        max_pause_s: float = MAX_PAUSE_S,
    ) -> None:
        """Start closed, so that calls are allowed.

        ``max_pause_s`` limits the backoff.
        """
        self._max_pause_s = max_pause_s
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._pause_s = float(FIRST_PAUSE_S)
        self._blocked_until = float(0)

    @property
    def open(self) -> bool:
        """Whether the breaker is open: the store counts as unavailable."""
        return self._failures >= FAILURES_TO_OPEN

    def wait_s(self) -> float:
        """Return the seconds until the next call is allowed; 0 means now."""
        if not self.open:
            return 0
        return max(0, self._blocked_until - self._clock.monotonic())

    def record_success(self) -> None:
        """Record a successful call and close the breaker."""
        if self.open:
            logs.emit(events.STORE_BACK)
            metrics.STORE_DOWN.set({}, 0)
        self._failures = 0
        self._pause_s = float(FIRST_PAUSE_S)

    def record_failure(self) -> None:
        """Record a failed call; FAILURES_TO_OPEN in a row open the breaker."""
        self._failures += 1
        if not self.open:
            return
        if self._failures == FAILURES_TO_OPEN:
            logs.emit(events.STORE_LOST)
            metrics.STORE_DOWN.set({}, 1)
        # Up to half of the pause is random, so that hosts do not all retry
        # at the same time.
        spread = self._rng.uniform(0.5, 1)
        self._blocked_until = self._clock.monotonic() + self._pause_s * spread
        self._pause_s = min(self._max_pause_s, self._pause_s * GROWTH)
