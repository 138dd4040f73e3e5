"""The limiters that the simulation compares with each other."""

from cactusridge.organisations.limit_messages import LimitClient
from cactusridge.organisations.limiter import FixedShares, Limiter
from cactusridge.organisations.owner_limiter import OwnerLimiter
from cactusridge.organisations.token_bucket import TokenBucket
from tests.limits_entry import Entry


class DirectAsker(LimitClient):
    """LimitClient that calls another entry of the same simulation directly."""

    def __init__(self, entry: Entry) -> None:
        """Send requests on behalf of ``entry``."""
        self._entry = entry
        self._fleet = entry.fleet

    def request(self, entry, request):
        """Return the response, or None if the other entry is unreachable."""
        self._fleet.messages += 2
        other = self._fleet.by_name[entry]
        if not self._entry.reaches(other):
            return None
        return other.process.counter.count(request)

    def has_exited(self, entry):
        """Return whether the entry's host is reachable but refuses."""
        return self._entry.has_seen_exit(entry)

    def pause(self, length_s):
        """Do nothing, since simulated messages arrive at once."""

    def return_token(self, entry, name):
        """Do nothing, since no simulated request is returned."""


class BroadcastCounts(Limiter):
    """Each entry applies the whole limit and broadcasts what it admits.

    Every entry also counts the requests that the other entries report.
    """

    def __init__(self, entry: Entry) -> None:
        """Create the limiter of ``entry``, which broadcasts to its fleet."""
        self._entry = entry
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, name, limit, version):
        """Take a local token; the others receive the report with a delay."""
        fleet = self._entry.fleet
        wait_s = self._bucket(name, limit).take(fleet.clock.now)
        if not wait_s:
            fleet.broadcast(self._entry, name, limit)
        return wait_s

    def receive(self, name, limit):
        """Take a token for a request that another entry admitted."""
        self._bucket(name, limit).take(self._entry.fleet.clock.now)

    def return_token(self, name, counted_by):
        """Do nothing, since no simulated request is returned."""

    def _bucket(self, name, limit):
        if name not in self._buckets:
            now = self._entry.fleet.clock.now
            self._buckets[name] = TokenBucket(limit, limit.burst, now)
        return self._buckets[name]


def by_owners(entry: Entry) -> Limiter:
    """Return the limiter that sends each request to the owner."""
    return OwnerLimiter(
        entry.name,
        entry.process.owners,
        entry.process.counter,
        DirectAsker(entry),
        entry.fleet.clock,
    )


def by_shares(entry: Entry) -> Limiter:
    """Return the naive limiter with equal shares for all entries."""
    return FixedShares(lambda: len(entry.fleet.entries), entry.fleet.clock)
