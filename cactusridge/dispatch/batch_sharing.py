"""Which entries run batch at which replicas.

Answers large fleets: where every entry may start items at every replica,
all rush to each slot that comes free, and either they are told of each
other's claims, which grows with the square of the fleet, or most starts
are cut again (20 of 21 on a day of 31 entries and 21 replicas).
"""

import functools
import math
from collections.abc import Callable

from cactusridge.clock import Clock
from cactusridge.dispatch.fleet_view import FleetView
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
KEPT = 4096


@functools.lru_cache(maxsize=KEPT)
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

    def of(self, life: str) -> frozenset[str]:
        """Return the names of the entries that run batch at a replica."""
        entries = self._current()
        replica = self._fleet.get(life)
        if replica is None:
            return frozenset()
        replicas = len(self._fleet.ready(replica.service))
        needed = math.ceil(LEAST_REPLICAS * len(entries) / max(1, replicas))
        return sharers(life, entries, max(SHARERS, needed))

    def _current(self) -> tuple[str, ...]:
        now = self._clock.monotonic()
        if self._listed_at is None or now - self._listed_at >= REFRESH_S:
            self._entries = self._list_entries()
            self._listed_at = now
        return self._entries
