"""The rate limit of the platform stand-in."""

import time

BURST_S = 1


class Rate:
    """A token bucket."""

    def __init__(self, per_s: float) -> None:
        """Allow ``per_s`` calls a second, in bursts of up to ``BURST_S``."""
        self.per_s = per_s
        self._tokens = per_s * BURST_S
        self._filled = time.monotonic()

    def take(self) -> bool:
        """Take a token; return False if the bucket is empty."""
        now = time.monotonic()
        gained = (now - self._filled) * self.per_s
        self._tokens = min(self.per_s * BURST_S, self._tokens + gained)
        self._filled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
