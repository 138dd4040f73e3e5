"""Keeps organisations to their limits, over all entries together.

Answers an organisation that sends many times what it may, to any entries,
beside others that send a request a second to one of many.
"""

import abc
from collections.abc import Callable

from cactusridge.clock import Clock
from cactusridge.organisations.errors import OverLimit
from cactusridge.organisations.organisation import Organisation, RateLimit
from cactusridge.organisations.token_bucket import TokenBucket

# Waits below this many seconds are told as this.
MIN_RETRY_S = 0.1


class Limiter(abc.ABC):
    """Says whether an organisation may have one more request run."""

    def check(self, organisation: Organisation, version: int) -> None:
        """Count a request; raise OverLimit or LimitUnsure.

        ``version`` is that of the configuration with its limit.
        """
        if organisation.limit is None:
            return
        wait_s = self.take(organisation.name, organisation.limit, version)
        if wait_s:
            raise OverLimit(
                f'{organisation.name} is over its limit',
                retry_after_s=max(MIN_RETRY_S, wait_s),
            )

    @abc.abstractmethod
    def give_back(self, name: str) -> None:
        """Take back the count of a request that has not run."""

    @abc.abstractmethod
    def take(self, name: str, limit: RateLimit, version: int) -> float:
        """Count a request; return 0, or the seconds until one may come.

        Raises LimitUnsure.
        """


class FixedShares(Limiter):
    """Naive: each entry has an equal share of every limit.

    Callers come unevenly, so much is refused that is within the limit, most
    of all where a share is less than one request.
    """

    def __init__(self, entries: Callable[[], int], clock: Clock) -> None:
        """Divide by the number of ``entries``."""
        self._entries = entries
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, name: str, limit: RateLimit, version: int) -> float:
        """Take a token of this entry's share."""
        now = self._clock.monotonic()
        entries = max(1, self._entries())
        share = RateLimit(limit.rate_per_s / entries, limit.burst / entries)
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = TokenBucket(share, share.burst, now)
            self._buckets[name] = bucket
        elif bucket.limit != share:
            bucket.change(share, now)
        return bucket.take(now)

    def give_back(self, name: str) -> None:
        """Put the token back."""
        self._buckets[name].put_back()


class NoLimits(Limiter):
    """Naive: everybody may send everything."""

    def take(self, name: str, limit: RateLimit, version: int) -> float:
        """Let it pass."""
        return 0

    def give_back(self, name: str) -> None:
        """Nothing was counted."""
