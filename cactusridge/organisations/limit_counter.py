"""Counts requests of organisations at their owner and backup owners."""

from collections.abc import Callable

from cactusridge.clock import Clock
from cactusridge.organisations.limit_messages import (
    NOT_COUNTED,
    LimitCopy,
    LimitRequest,
    LimitResponse,
)
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.organisation import RateLimit
from cactusridge.organisations.token_bucket import TokenBucket

# Requests that an owner admits beyond the burst of a limit, because requests
# arrive in another order and at another pace than callers sent them.
BURST_TOLERANCE = 5
# Tokens that a new owner starts with, in addition to BURST_TOLERANCE: the
# number of seconds at the limit's rate.
TAKEOVER_START_S = 0.25
# What a backup owner admits while the owner may still be running: this many
# requests at once, and this share of the limit's rate.
BACKUP_BURST = 4
BACKUP_RATE_SHARE = 0.02


class _VersionedBucket:
    """A token bucket and the catalog version that its limit is from."""

    def __init__(self, bucket: TokenBucket, version: int) -> None:
        """Wrap ``bucket``, whose limit is from catalog ``version``."""
        self.bucket = bucket
        self.version = version


class LimitCounter:
    """Counts requests that this entry and others send to it for counting.

    After each request the owner sends the remaining tokens to the backup
    owners. A backup owner continues from that copy once the owner's process
    is known to have exited or the owner has left the membership list. Until
    then the owner may still be counting for entries that the backup owner
    cannot reach, so the backup owner admits only a few requests. A new owner
    without a copy also starts with few tokens, because it does not know what
    the previous owner admitted; so the two together stay within the limit.
    """

    def __init__(self, owners: LimitOwners, clock: Clock) -> None:
        """Count organisations that ``owners`` assigns to this entry."""
        self._owners = owners
        self._clock = clock
        self._changes = owners.changes
        self._owned_counts: dict[str, _VersionedBucket] = {}
        self._backup_copies: dict[str, _VersionedBucket] = {}
        self._backup_counts: dict[str, _VersionedBucket] = {}
        self._counted_listener: Callable[[LimitCopy], None] | None = None

    def on_counted(self, listener: Callable[[LimitCopy], None]) -> None:
        """Call ``listener`` with the remaining tokens after each request.

        Only requests that this entry counts as the owner are reported.
        """
        self._counted_listener = listener

    def count(self, request: LimitRequest) -> LimitResponse:
        """Count a request if this entry is the owner or a backup owner.

        Otherwise the response has ``counted`` set to False.
        """
        self._drop_foreign_counts()
        owned_s = self._owners.owned_s(request.name)
        if owned_s is not None:
            return self._count_as_owner(request, owned_s)
        if request.as_backup:
            return self._count_as_backup(request)
        return NOT_COUNTED

    def return_token(self, name: str) -> None:
        """Return the token of a request that has not run."""
        found = self._owned_counts.get(name)
        if found is not None:
            found.bucket.put_back()

    def store_copy(self, copy: LimitCopy) -> None:
        """Store the owner's remaining tokens if this is a backup owner."""
        self._drop_foreign_counts()
        if not self._owners.is_backup(copy.name):
            return
        now = self._clock.monotonic()
        limit = _with_tolerance(copy.limit)
        known = self._backup_copies.get(copy.name)
        if known is None:
            bucket = TokenBucket(limit, copy.tokens, now)
            self._backup_copies[copy.name] = _VersionedBucket(
                bucket, copy.version
            )
            return
        _apply_version(known, limit, copy.version, now)
        known.bucket.lower_to(copy.tokens, now)

    def _count_as_owner(
        self, request: LimitRequest, owned_s: float
    ) -> LimitResponse:
        """Count a request as the owner.

        ``owned_s`` is the number of seconds since this entry became owner.
        """
        now = self._clock.monotonic()
        limit = _with_tolerance(request.limit)
        found = self._owned_counts.get(request.name)
        if found is None:
            found = self._backup_copies.pop(request.name, None)
        if found is None:
            first = BURST_TOLERANCE + limit.rate_per_s * (
                TAKEOVER_START_S + owned_s
            )
            bucket = TokenBucket(limit, min(limit.burst, first), now)
            found = _VersionedBucket(bucket, request.version)
        self._owned_counts[request.name] = found
        _apply_version(found, limit, request.version, now)
        wait_s = found.bucket.take(now)
        if self._counted_listener is not None:
            tokens = found.bucket.tokens
            copy = LimitCopy(
                request.name, request.limit, request.version, tokens
            )
            self._counted_listener(copy)
        return LimitResponse(counted=True, wait_s=wait_s)

    def _count_as_backup(self, request: LimitRequest) -> LimitResponse:
        """Count a request as a backup owner of an unresponsive owner."""
        now = self._clock.monotonic()
        found = (
            self._backup_copies.get(request.name)
            if request.owners_exited
            else None
        )
        limit = _with_tolerance(request.limit)
        if found is None:
            found = self._backup_counts.get(request.name)
            limit = _backup_limit(request.limit)
        if found is None:
            bucket = TokenBucket(limit, limit.burst, now)
            found = _VersionedBucket(bucket, request.version)
            self._backup_counts[request.name] = found
        _apply_version(found, limit, request.version, now)
        return LimitResponse(counted=True, wait_s=found.bucket.take(now))

    def _drop_foreign_counts(self) -> None:
        """Drop counts of organisations that moved to other entries."""
        if self._owners.changes == self._changes:
            return
        self._changes = self._owners.changes
        for name in list(self._owned_counts):
            if self._owners.owned_s(name) is None:
                self._owned_counts.pop(name)
        for copied in list(self._backup_copies):
            if not self._is_owner_or_backup(copied):
                self._backup_copies.pop(copied)

    def _is_owner_or_backup(self, name: str) -> bool:
        """Return whether this entry counts ``name`` as owner or backup."""
        is_owner = self._owners.owned_s(name) is not None
        return is_owner or self._owners.is_backup(name)


def _apply_version(
    count: _VersionedBucket, limit: RateLimit, version: int, now: float
) -> None:
    """Switch ``count`` to ``limit`` if ``version`` is newer."""
    if version > count.version:
        count.version = version
        count.bucket.change(limit, now)


def _with_tolerance(limit: RateLimit) -> RateLimit:
    return limit._replace(burst=limit.burst + BURST_TOLERANCE)


def _backup_limit(limit: RateLimit) -> RateLimit:
    return RateLimit(limit.rate_per_s * BACKUP_RATE_SHARE, BACKUP_BURST)
