"""Counts the requests of the organisations whose home an entry is."""

from collections.abc import Callable

from cactusridge.clock import Clock
from cactusridge.organisations.homes import Homes
from cactusridge.organisations.limit_ask import (
    NOT_COUNTED,
    LimitAsk,
    LimitCopy,
    LimitTold,
)
from cactusridge.organisations.organisation import RateLimit
from cactusridge.organisations.token_bucket import TokenBucket

# Requests beyond the burst that a home lets pass: they arrive in another
# order and at another pace than they were sent.
TOLERANCE = 5
# What a home that has just taken over begins with beside these, in seconds
# at the rate of the limit.
TAKEN_OVER_S = 0.25
# What somebody who stands in may let pass while the home may live: so many
# requests at once, and this share of the rate.
STAND_IN_BURST = 4
STAND_IN_SHARE = 0.02


class _Count:
    """A bucket, and the version of the configuration it follows."""

    def __init__(self, bucket: TokenBucket, version: int) -> None:
        """Follow the limit of ``version``."""
        self.bucket = bucket
        self.version = version


class LimitHome:
    """Answers what other entries, and this one, ask about limits.

    What is left after each request is told to who stand in for the home.
    They go on from that once it has ended for certain, or is out of the
    list; until then it may count where they cannot reach it, and they let
    few pass. A home that takes over without a copy starts with few too:
    what was let pass before is not known, and at the rate of the limit
    both together stay under it.
    """

    def __init__(self, homes: Homes, clock: Clock) -> None:
        """Count for those whose home this entry is by ``homes``."""
        self._homes = homes
        self._clock = clock
        self._changes = homes.changes
        self._held: dict[str, _Count] = {}
        self._copies: dict[str, _Count] = {}
        self._stood_in: dict[str, _Count] = {}
        self._on_counted: Callable[[LimitCopy], None] | None = None

    def on_counted(self, listener: Callable[[LimitCopy], None]) -> None:
        """Call ``listener`` with what is left after each request."""
        self._on_counted = listener

    def answer(self, asked: LimitAsk) -> LimitTold:
        """Count a request that is asked about, if it is counted here."""
        self._forget_others()
        held_s = self._homes.held_s(asked.name)
        if held_s is not None:
            return self._count(asked, held_s)
        if asked.stand_in:
            return self._stand_in(asked)
        return NOT_COUNTED

    def give_back(self, name: str) -> None:
        """Take back a request that has not run."""
        found = self._held.get(name)
        if found is not None:
            found.bucket.put_back()

    def copied(self, copy: LimitCopy) -> None:
        """Take what the home of an organisation has left."""
        self._forget_others()
        if not self._homes.stands_in(copy.name):
            return
        now = self._clock.monotonic()
        limit = _tolerant(copy.limit)
        known = self._copies.get(copy.name)
        if known is None:
            bucket = TokenBucket(limit, copy.tokens, now)
            self._copies[copy.name] = _Count(bucket, copy.version)
            return
        _follow(known, limit, copy.version, now)
        known.bucket.lower_to(copy.tokens, now)

    def _count(self, asked: LimitAsk, held_s: float) -> LimitTold:
        """Count as the home."""
        now = self._clock.monotonic()
        limit = _tolerant(asked.limit)
        found = self._held.get(asked.name)
        if found is None:
            found = self._copies.pop(asked.name, None)
        if found is None:
            first = TOLERANCE + limit.rate_per_s * (TAKEN_OVER_S + held_s)
            bucket = TokenBucket(limit, min(limit.burst, first), now)
            found = _Count(bucket, asked.version)
        self._held[asked.name] = found
        _follow(found, limit, asked.version, now)
        wait_s = found.bucket.take(now)
        if self._on_counted is not None:
            tokens = found.bucket.tokens
            copy = LimitCopy(asked.name, asked.limit, asked.version, tokens)
            self._on_counted(copy)
        return LimitTold(counted=True, wait_s=wait_s)

    def _stand_in(self, asked: LimitAsk) -> LimitTold:
        """Count for a home that does not answer."""
        now = self._clock.monotonic()
        found = self._copies.get(asked.name) if asked.alone else None
        limit = _tolerant(asked.limit)
        if found is None:
            found = self._stood_in.get(asked.name)
            limit = _stood_in(asked.limit)
        if found is None:
            bucket = TokenBucket(limit, limit.burst, now)
            found = _Count(bucket, asked.version)
            self._stood_in[asked.name] = found
        _follow(found, limit, asked.version, now)
        return LimitTold(counted=True, wait_s=found.bucket.take(now))

    def _forget_others(self) -> None:
        """Forget the counts that are another entry's now."""
        if self._homes.changes == self._changes:
            return
        self._changes = self._homes.changes
        for name in list(self._held):
            if self._homes.held_s(name) is None:
                self._held.pop(name)
        for copied in list(self._copies):
            if not self._is_near(copied):
                self._copies.pop(copied)

    def _is_near(self, name: str) -> bool:
        """Tell whether this entry is the home or stands in for it."""
        is_home = self._homes.held_s(name) is not None
        return is_home or self._homes.stands_in(name)


def _follow(count: _Count, limit: RateLimit, version: int, now: float) -> None:
    """Go by the limit of a newer version of the configuration."""
    if version > count.version:
        count.version = version
        count.bucket.change(limit, now)


def _tolerant(limit: RateLimit) -> RateLimit:
    return limit._replace(burst=limit.burst + TOLERANCE)


def _stood_in(limit: RateLimit) -> RateLimit:
    return RateLimit(limit.rate_per_s * STAND_IN_SHARE, STAND_IN_BURST)
