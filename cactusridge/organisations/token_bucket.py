"""Token bucket: limits the average rate and allows bursts."""

from cactusridge.organisations.organisation import RateLimit


class TokenBucket:
    """Token bucket that refills at a limit's rate, up to its burst.

    Each request takes one token.
    """

    def __init__(self, limit: RateLimit, tokens: float, now: float) -> None:
        """Start with ``tokens`` tokens at the clock time ``now`` (seconds)."""
        self.limit = limit
        self.tokens = tokens
        self._filled_at = now

    def take(self, now: float) -> float:
        """Take a token at the clock time ``now``.

        Returns 0 if a token was taken, else the seconds until one is
        available (infinity if the rate is 0).
        """
        self._fill(now)
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        if not self.limit.rate_per_s:
            return float('inf')
        return (1 - self.tokens) / self.limit.rate_per_s

    def lower_to(self, tokens: float, now: float) -> None:
        """Reduce the bucket to at most ``tokens`` at ``now``."""
        self._fill(now)
        self.tokens = min(self.tokens, tokens)

    def put_back(self) -> None:
        """Return the token of a request that has not run."""
        self.tokens += 1

    def change(self, limit: RateLimit, now: float) -> None:
        """Refill by ``limit`` from ``now`` on, and cap at its burst."""
        self._fill(now)
        self.limit = limit
        self.tokens = min(self.tokens, limit.burst)

    def _fill(self, now: float) -> None:
        more = max(0, now - self._filled_at) * self.limit.rate_per_s
        self._filled_at = max(now, self._filled_at)
        self.tokens = min(max(self.limit.burst, 1), self.tokens + more)
