"""Which entries run batch at which replicas.

Answers large fleets: where every entry may start items at every replica,
all rush to each slot that comes free, and either they are told of each
other's claims, which grows with the square of the fleet, or most starts
are cut again (20 of 21 on a day of 31 entries and 21 replicas).
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.dispatch.fleet_view import FleetView
from cactusridge.dispatch.replica import Replica
from cactusridge.hashing import hash64, rendezvous

# Entries that run batch at one replica: enough that its slots find work
# though not all of them have any, few enough that what they tell each
# other does not grow with the fleet.
SHARERS = 10
# Replicas that an entry has on average at least, so that a job spreads.
LEAST_REPLICAS = 4
# The entries are listed anew this often, in seconds; they change when one
# starts or stops.
REFRESH_S = 0.25
# Replicas for which the answer is kept; some come and go all the time.
KEPT = 4096


def sharers(
    life: str,
    entries: tuple[str, ...],
    count: int,
) -> frozenset[str]:
    """Return ``count`` of ``entries``: those that run batch at a replica.

    Everybody finds the same ones. One that comes or goes changes little.
    """
    order = rendezvous(entries, hash64(life))
    return frozenset(order[:count])


class Share(NamedTuple):
    """An entry's replicas of a service, and what they were found from."""

    entry: str
    entries: tuple[str, ...]
    ready: tuple[Replica, ...]
    replicas: tuple[Replica, ...]


class BatchSharing:
    """Finds the sharers of each replica among the entries that live."""

    def __init__(
        self,
        fleet: FleetView,
        entries: Callable[[], tuple[str, ...]],
        clock: Clock,
    ) -> None:
        """``entries`` returns the names of all entries, in one order."""
        self._fleet = fleet
        self._list_entries = entries
        self._clock = clock
        self._entries: tuple[str, ...] = ()
        self._listed_at: float | None = None
        # By replica and count, until the entries change.
        self._found: dict[tuple[str, int], frozenset[str]] = {}
        self._shares: dict[str, Share] = {}

    def replicas_of(self, entry: str, service: str) -> tuple[Replica, ...]:
        """Return the ready replicas of a service where ``entry`` runs batch.

        Asked for at every look of the batch scheduler, a hundred times a
        second in a busy fleet: found anew only after a change.
        """
        entries = self._current()
        ready = self._fleet.ready(service)
        known = self._shares.get(service)
        if known is not None and known.entry == entry:
            # Both are replaced when they change.
            if known.entries is entries and known.ready is ready:
                return known.replicas
        replicas = tuple(each for each in ready if entry in self.of(each.life))
        self._shares[service] = Share(entry, entries, ready, replicas)
        return replicas

    def of(self, life: str) -> frozenset[str]:
        """Return the names of the entries that run batch at a replica."""
        entries = self._current()
        replica = self._fleet.get(life)
        if replica is None:
            return frozenset()
        replicas = len(self._fleet.ready(replica.service))
        needed = math.ceil(LEAST_REPLICAS * len(entries) / max(1, replicas))
        count = max(SHARERS, needed)
        found = self._found.get((life, count))
        if found is None:
            if len(self._found) >= KEPT:
                self._found.clear()
            found = sharers(life, entries, count)
            self._found[life, count] = found
        return found

    def _current(self) -> tuple[str, ...]:
        now = self._clock.monotonic()
        if self._listed_at is None or now - self._listed_at >= REFRESH_S:
            self._listed_at = now
            entries = self._list_entries()
            if entries != self._entries:
                self._entries = entries
                self._found.clear()
        return self._entries
