"""Selects the entries that run batch requests at each replica.

In a large fleet, if every entry could start batch items at every replica, all
of them would compete for each slot that becomes free. Either they would send
each other all their claims, whose number grows with the square of the fleet,
or most items would be preempted right after their start.
"""

import math
from collections import Counter
from collections.abc import Sequence
from typing import NamedTuple

from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.hashing import hash64, is_among_first, rendezvous
from cactusridge.peers.cells import Cells
from cactusridge.peers.divisions import LEAST_REPLICAS, ReplicaCells

# Entries that run batch at one replica: enough that its slots are used even if
# some of the entries have no items, few enough that the messages between them
# do not grow with the fleet.
SHARERS = 10
# Entries of other cells that run batch at one replica in addition. The entries
# of a cell that has more items than free slots use slots of other cells.
FAR_SHARERS = 5


def sharers(
    incarnation: str,
    entries: tuple[str, ...],
    count: int,
) -> frozenset[str]:
    """Return the ``count`` of ``entries`` that run batch at a replica.

    Rendezvous hashing of the incarnation key ``incarnation`` selects them. All
    entries compute the same result, and an entry that joins or leaves changes
    little of it.
    """
    order = rendezvous(entries, hash64(incarnation))
    return frozenset(order[:count])


class Pool(NamedTuple):
    """The entries that may run batch at the replicas of a cell.

    ``count`` of ``entries`` run batch at each replica, and FAR_SHARERS of
    ``others``.
    """

    entries: tuple[str, ...]
    others: tuple[str, ...]
    count: int


class Share:
    """The sharers of a service's replicas and the cells they derive from.

    All but ``basis`` is filled on demand: ``sharers`` by incarnation key,
    ``pools`` by cell. ``mine`` are the replicas where this entry runs batch.
    """

    def __init__(self, basis: ReplicaCells) -> None:
        """Start without sharers."""
        self.basis = basis
        self.sharers: dict[str, frozenset[str]] = {}
        self.pools: dict[str, Pool] = {}
        self.mine: list[Replica] | None = None

    def sharers_of(self, incarnation: str) -> frozenset[str]:
        """Return the sharers of a replica; none if it accepts no new work."""
        found = self.sharers.get(incarnation)
        if found is None:
            pool = self._pool_of(incarnation)
            found = (
                frozenset()
                if pool is None
                else sharers(incarnation, pool.entries, pool.count)
                | sharers(incarnation, pool.others, FAR_SHARERS)
            )
            self.sharers[incarnation] = found
        return found

    def is_sharer(self, name: str, incarnation: str) -> bool:
        """Return whether an entry runs batch at a replica."""
        pool = self._pool_of(incarnation)
        if pool is None:
            return False
        key = hash64(incarnation)
        if name in pool.entries:
            return is_among_first(pool.count, name, pool.entries, key)
        is_listed = name in pool.others
        return is_listed and is_among_first(FAR_SHARERS, name, pool.others, key)

    def _pool_of(self, incarnation: str) -> Pool | None:
        cell = self.basis.cells.get(incarnation)
        if cell is None:
            return None
        if cell not in self.pools:
            self.pools[cell] = _pool_of_cell(self.basis, cell)
        return self.pools[cell]


class BatchSharing:
    """Computes which of the eligible entries run batch at each replica."""

    def __init__(self, fleet: FleetView, cells: Cells) -> None:
        """Select from the entries that ``cells`` allows for a replica."""
        self._fleet = fleet
        self.cells = cells
        self._shares: dict[str, Share] = {}

    def replicas_of(self, service: str) -> Sequence[Replica]:
        """Return a service's ready replicas where this entry runs batch.

        The result is cached until the cells change: in a busy fleet the batch
        scheduler polls a hundred times a second and calls this method each
        time.
        """
        share = self._share(service)
        if share.mine is None:
            share.mine = [
                each
                for each in share.basis.ready
                if share.is_sharer(self.cells.name, each.incarnation)
            ]
        return share.mine

    def sharers_of(self, incarnation: str) -> frozenset[str]:
        """Return the names of the entries that run batch at a replica."""
        replica = self._fleet.get(incarnation)
        if replica is None:
            return frozenset()
        return self._share(replica.service).sharers_of(incarnation)

    def _share(self, service: str) -> Share:
        basis = self.cells.of_service(service)
        known = self._shares.get(service)
        # The basis is a new object whenever entries or replicas change.
        if known is None or known.basis is not basis:
            known = Share(basis)
            self._shares[service] = known
        return known


def _pool_of_cell(basis: ReplicaCells, cell: str) -> Pool:
    entries = basis.batch_entries[cell]
    counts = Counter(basis.cells.values())
    replicas = sum(
        count
        for each, count in counts.items()
        if basis.batch_entries[each] == entries
    )
    needed = math.ceil(LEAST_REPLICAS * len(entries) / replicas)
    others = tuple(set(basis.division.cells) - set(entries))
    return Pool(entries, others, max(SHARERS, needed))
