"""The tokens that an organisation has left, at one entry."""

from cactusridge.organisations.limit_messages import Ceder, HeldCount
from cactusridge.organisations.organisation import RateLimit
from cactusridge.organisations.token_bucket import TokenBucket

# Requests that an owner admits beyond the burst of a limit, because requests
# arrive in another order and at another pace than callers sent them.
BURST_TOLERANCE = 5


class LimitCount:
    """A token bucket and the catalog version that its limit is from."""

    def __init__(self, bucket: TokenBucket, version: int) -> None:
        """Wrap ``bucket``, whose limit is from catalog ``version``."""
        self.bucket = bucket
        self.version = version

    def apply_version(self, limit: RateLimit, version: int, now: float) -> None:
        """Switch to ``limit`` if ``version`` is newer."""
        if version > self.version:
            self.version = version
            self.bucket.change(limit, now)

    def handed_over(
        self, name: str, now: float, ceders: tuple[Ceder, ...]
    ) -> HeldCount:
        """Return the message that hands over this count at ``now``."""
        tolerant = self.bucket.limit
        limit = tolerant._replace(burst=tolerant.burst - BURST_TOLERANCE)
        tokens = self.bucket.tokens_at(now)
        return HeldCount(name, limit, self.version, tokens, ceders)


def with_tolerance(limit: RateLimit) -> RateLimit:
    """Return ``limit`` with the tolerance that its owner grants."""
    return limit._replace(burst=limit.burst + BURST_TOLERANCE)


def received(held: HeldCount, now: float) -> LimitCount:
    """Return the count that another entry has handed over."""
    limit = with_tolerance(held.limit)
    tokens = min(limit.burst, held.tokens)
    return LimitCount(TokenBucket(limit, tokens, now), held.version)
