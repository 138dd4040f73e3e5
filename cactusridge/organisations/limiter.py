"""Rate limiters that apply an organisation's limit across all entries.

A limiter must handle both an organisation that sends many times its limit
to any number of entries and one that sends about one request per second to
a single entry of many.
"""

import abc
from collections.abc import Callable

from cactusridge.clock import Clock
from cactusridge.organisations.errors import OverLimit
from cactusridge.organisations.organisation import Organisation, RateLimit
from cactusridge.organisations.token_bucket import TokenBucket

# Smallest retry_after_s, in seconds, of an OverLimit error.
MIN_RETRY_S = 0.1


class Limiter(abc.ABC):
    """Decides whether one more request of an organisation may run."""

    def check(self, organisation: Organisation, version: int) -> str:
        """Count a request; return the entry that counted it, or ''.

        ``version`` is the catalog version that contains its limit. Raises
        OverLimit if the limit is exceeded, and LimitUnavailable if no entry
        that counts the organisation could be reached.
        """
        if organisation.limit is None:
            return ''
        wait_s = self.take(organisation.name, organisation.limit, version)
        if wait_s:
            raise OverLimit(
                f'{organisation.name} has exceeded its rate limit',
                retry_after_s=max(MIN_RETRY_S, wait_s),
            )
        return self.counted_by(organisation.name)

    def counted_by(self, name: str) -> str:
        """Return the entry that counted the last request of ``name``.

        It is empty if no entry did, or if the limiter keeps no record of it.
        No greenlet switch may lie between ``take`` and this call.
        """
        return ''

    @abc.abstractmethod
    def return_token(self, name: str, counted_by: str) -> None:
        """Return the token of a request that has not run.

        ``counted_by`` is what ``check`` returned for the request.
        """

    @abc.abstractmethod
    def take(self, name: str, limit: RateLimit, version: int) -> float:
        """Take a token for one request of the organisation ``name``.

        Returns 0 if the request may run, else the seconds until the next
        token is available. Raises LimitUnavailable.
        """


class FixedShares(Limiter):
    """Naive limiter: each entry has an equal share of every limit.

    Callers are spread unevenly over entries, so many requests within the
    limit are rejected, most of all when a share is less than one request.
    """

    def __init__(self, entries: Callable[[], int], clock: Clock) -> None:
        """Divide each limit by the number that ``entries`` returns."""
        self._entries = entries
        self._clock = clock
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, name: str, limit: RateLimit, version: int) -> float:
        """Take a token from this entry's share of the limit."""
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

    def return_token(self, name: str, counted_by: str) -> None:
        """Return a token to this entry's share."""
        self._buckets[name].put_back()


class NoLimits(Limiter):
    """Naive limiter: no request is ever rejected."""

    def take(self, name: str, limit: RateLimit, version: int) -> float:
        """Admit the request without counting it."""
        return 0

    def return_token(self, name: str, counted_by: str) -> None:
        """Do nothing, since no request is counted."""
