"""Copies of what other entries have left, and what this one admits for them."""

from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.organisations.limit_count import LimitCount, with_tolerance
from cactusridge.organisations.limit_messages import (
    LimitCopy,
    LimitRequest,
    LimitResponse,
)
from cactusridge.organisations.organisation import RateLimit
from cactusridge.organisations.token_bucket import TokenBucket

# What a backup owner admits while the owner may still be running: this many
# requests at once, and this share of the limit's rate.
BACKUP_BURST = 4
BACKUP_RATE_SHARE = 0.02
# Seconds after which the owner need not count what a backup owner admitted.
FORGET_S = 5.0


class _Uncharged(NamedTuple):
    """Requests that a backup owner has admitted, the last one at ``at``."""

    requests: int
    at: float


class LimitCopies:
    """What a backup owner knows and has admitted of each organisation."""

    def __init__(self, clock: Clock) -> None:
        """Start without any."""
        self._clock = clock
        self._copies: dict[str, LimitCount] = {}
        self._allowances: dict[str, LimitCount] = {}
        self._uncharged: dict[str, _Uncharged] = {}

    def names(self) -> list[str]:
        """Return the organisations of which there is a copy."""
        return list(self._copies)

    def pop(self, name: str) -> LimitCount | None:
        """Remove and return the copy of an organisation, if there is one."""
        return self._copies.pop(name, None)

    def store(self, copy: LimitCopy) -> None:
        """Store what the entry that counts an organisation has left."""
        now = self._clock.monotonic()
        limit = with_tolerance(copy.limit)
        known = self._copies.get(copy.name)
        if known is None:
            bucket = TokenBucket(limit, copy.tokens, now)
            self._copies[copy.name] = LimitCount(bucket, copy.version)
            return
        known.apply_version(limit, copy.version, now)
        known.bucket.lower_to(copy.tokens, now)

    def count(self, request: LimitRequest) -> LimitResponse:
        """Count a request for an owner that does not respond.

        If it has exited, the copy is continued, else there is a small
        allowance. Once that is used up, requests are not counted: the owner
        may respond again long before the allowance has grown.
        """
        copy = self._copies.get(request.name)
        if copy is not None and request.owners_exited:
            return self._take(copy, request, with_tolerance(request.limit))
        now = self._clock.monotonic()
        limit = _backup_limit(request.limit)
        found = self._allowances.get(request.name)
        if found is None:
            bucket = TokenBucket(limit, limit.burst, now)
            found = LimitCount(bucket, request.version)
            self._allowances[request.name] = found
        response = self._take(found, request, limit)
        if response.wait_s:
            return response._replace(counted=False)
        admitted = self.pop_uncharged(request.name) + 1
        self._uncharged[request.name] = _Uncharged(admitted, now)
        return response

    def pop_uncharged(self, name: str) -> int:
        """Return how many requests were admitted that no owner has counted.

        Those that do not matter for the limit any more are forgotten.
        """
        found = self._uncharged.pop(name, None)
        if found is None or self._clock.monotonic() - found.at > FORGET_S:
            return 0
        return found.requests

    def continued(self, request: LimitRequest) -> LimitCount | None:
        """Return the copy that ``count`` continues for a request, if any."""
        return self._copies.get(request.name) if request.owners_exited else None

    def _take(
        self, count: LimitCount, request: LimitRequest, limit: RateLimit
    ) -> LimitResponse:
        now = self._clock.monotonic()
        count.apply_version(limit, request.version, now)
        return LimitResponse(counted=True, wait_s=count.bucket.take(now))


def _backup_limit(limit: RateLimit) -> RateLimit:
    return RateLimit(limit.rate_per_s * BACKUP_RATE_SHARE, BACKUP_BURST)
