"""A limit on average with room for bursts."""

from cactusridge.organisations.organisation import RateLimit


class TokenBucket:
    """Fills at the rate of a limit, up to its burst; a request takes one."""

    def __init__(self, limit: RateLimit, tokens: float, now: float) -> None:
        """Start with ``tokens`` at ``now``, in seconds."""
        self.limit = limit
        self.tokens = tokens
        self._filled_at = now

    def take(self, now: float) -> float:
        """Take a token; return 0, or the seconds until there is one."""
        self._fill(now)
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        if not self.limit.rate_per_s:
            return float('inf')
        return (1 - self.tokens) / self.limit.rate_per_s

    def lower_to(self, tokens: float, now: float) -> None:
        """Have no more than ``tokens`` at ``now``."""
        self._fill(now)
        self.tokens = min(self.tokens, tokens)

    def put_back(self) -> None:
        """Put back a token that was taken for nothing."""
        self.tokens += 1

    def change(self, limit: RateLimit, now: float) -> None:
        """Fill by another limit from now on."""
        self._fill(now)
        self.limit = limit
        self.tokens = min(self.tokens, limit.burst)

    def _fill(self, now: float) -> None:
        more = max(0, now - self._filled_at) * self.limit.rate_per_s
        self._filled_at = max(now, self._filled_at)
        self.tokens = min(max(self.limit.burst, 1), self.tokens + more)
