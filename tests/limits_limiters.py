"""The limiters that are played against each other."""

from cactusridge.organisations.home_limits import HomeLimits
from cactusridge.organisations.limit_ask import Asker
from cactusridge.organisations.limiter import FixedShares, Limiter
from cactusridge.organisations.token_bucket import TokenBucket
from tests.limits_fleet import Entry


class Direct(Asker):
    """Asks an entry of the same play."""

    def __init__(self, entry: Entry) -> None:
        """Ask for ``entry``."""
        self._entry = entry
        self._fleet = entry.fleet

    def ask(self, entry, asked):
        """Ask unless one of both is away."""
        self._fleet.messages += 2
        other = self._fleet.by_name[entry]
        if not self._entry.reaches(other):
            return None
        return other.home.answer(asked)

    def has_ended(self, entry):
        """Tell whether the entry's host refuses connections."""
        other = self._fleet.by_name[entry]
        near = other.side == self._entry.side
        return near and not (other.alive or other.dark)

    def give_back(self, entry, name):
        """Never needed here."""


class ToldCounts(Limiter):
    """Every entry has the whole limit, less what the others tell of."""

    def __init__(self, entry: Entry) -> None:
        """Tell the whole fleet."""
        self._entry = entry
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, name, limit, version):
        """Take a token here; the others hear of it a moment later."""
        fleet = self._entry.fleet
        wait_s = self._bucket(name, limit).take(fleet.clock.now)
        if not wait_s:
            fleet.tell(self._entry, name, limit)
        return wait_s

    def heard(self, name, limit):
        """Take a token for a request at another entry."""
        self._bucket(name, limit).take(self._entry.fleet.clock.now)

    def give_back(self, name):
        """Never needed here."""

    def _bucket(self, name, limit):
        if name not in self._buckets:
            now = self._entry.fleet.clock.now
            self._buckets[name] = TokenBucket(limit, limit.burst, now)
        return self._buckets[name]


def by_homes(entry: Entry) -> Limiter:
    """Return the limiter that asks the homes."""
    return HomeLimits(
        entry.name,
        entry.homes,
        entry.home,
        Direct(entry),
        entry.fleet.clock,
    )


def by_shares(entry: Entry) -> Limiter:
    """Return the naive limiter."""
    return FixedShares(lambda: len(entry.fleet.entries), entry.fleet.clock)
