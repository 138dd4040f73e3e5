"""Token bucket: limits the average rate and allows bursts."""

from cactusridge.organisations.organisation import RateLimit

# Longest wait in seconds that a refused caller is told. Tokens are not
# reserved, and most callers do not return after a longer time.
MAX_PROMISE_S = 5.0


class TokenBucket:
    """Token bucket that refills at a limit's rate, up to its burst.

    Each request takes one token.
    """

    def __init__(self, limit: RateLimit, tokens: float, now: float) -> None:
        """Start with ``tokens`` tokens at the clock time ``now`` (seconds)."""
        self.limit = limit
        self.tokens = tokens
        self._filled_at = now
        # The time at which the last refused caller was told to return.
        self._promised_at = float('-inf')

    def take(self, now: float) -> float:
        """Take a token at the clock time ``now``.

        Returns 0 if a token was taken, else the seconds until one is
        available after those that refused callers were told to return for,
        at most MAX_PROMISE_S more (infinity if the rate is 0).
        """
        self._fill(now)
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        if not self.limit.rate_per_s:
            return float('inf')
        rate_per_s = self.limit.rate_per_s
        first_at = now + (1 - self.tokens) / rate_per_s
        next_at = self._promised_at + 1 / rate_per_s
        self._promised_at = min(
            max(first_at, next_at), first_at + MAX_PROMISE_S
        )
        return self._promised_at - now

    def tokens_at(self, now: float) -> float:
        """Return how many tokens there are at ``now``."""
        self._fill(now)
        return self.tokens

    def lower_to(self, tokens: float, now: float) -> None:
        """Reduce the bucket to at most ``tokens`` at ``now``."""
        self._fill(now)
        self.tokens = min(self.tokens, tokens)

    def put_back(self) -> None:
        """Return the token of a request that has not run."""
        self.tokens += 1

    def charge(self, requests: int) -> None:
        """Take the tokens of requests that have run, also if there are none."""
        self.tokens -= requests

    def change(self, limit: RateLimit, now: float) -> None:
        """Refill by ``limit`` from ``now`` on, and cap at its burst.

        What refused callers were told by the limit before no longer holds.
        """
        self._fill(now)
        self._promised_at = float('-inf')
        self.limit = limit
        self.tokens = min(self.tokens, limit.burst)

    def _fill(self, now: float) -> None:
        more = max(0, now - self._filled_at) * self.limit.rate_per_s
        self._filled_at = max(now, self._filled_at)
        self.tokens = min(max(self.limit.burst, 1), self.tokens + more)
