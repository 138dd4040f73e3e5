"""Rate limit of this process's calls to the store, by priority."""

from cactusridge.clock import Clock
from cactusridge.store.table import Priority

BURST_S = 2
# The share of the bucket that a call leaves to each higher priority.
RESERVE_SHARE = 0.12


class StoreBudget:
    """A token bucket that reserves tokens for calls of higher priority."""

    def __init__(self, clock: Clock, calls_per_s: float) -> None:
        """Allow ``calls_per_s`` on average.

        A burst may have as many calls as BURST_S seconds allow.
        """
        self._clock = clock
        self._rate = calls_per_s
        self._capacity = calls_per_s * BURST_S
        self._tokens = self._capacity
        self._filled = clock.monotonic()

    def take(self, priority: Priority) -> bool:
        """Take a token for one call; return False if the call has to wait."""
        self._fill()
        reserve = self._capacity * RESERVE_SHARE * int(priority)
        if self._tokens - 1 < min(reserve, self._capacity - 1):
            return False
        self._tokens -= 1
        return True

    def wait_s(self, priority: Priority) -> float:
        """Return the seconds until a call of ``priority`` may get a token."""
        self._fill()
        reserve = self._capacity * RESERVE_SHARE * int(priority)
        missing = min(reserve, self._capacity - 1) + 1 - self._tokens
        return max(0, missing / self._rate)

    def _fill(self) -> None:
        now = self._clock.monotonic()
        gained = (now - self._filled) * self._rate
        self._tokens = min(self._capacity, self._tokens + gained)
        self._filled = now
