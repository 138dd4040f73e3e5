"""Selects the entries that run batch requests at each replica.

In a large fleet, if every entry could start batch items at every replica, all
of them would compete for each slot that becomes free. Either they would send
each other all their claims, whose number grows with the square of the fleet,
or most items would be preempted right after their start.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.hashing import hash64, rendezvous
from cactusridge.peers.cells import LEAST_REPLICAS, Cells, ReplicaCells

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


class Share(NamedTuple):
    """The sharers of a service's replicas and the cells they derive from.

    ``sharers`` is filled on demand by incarnation key. ``mine`` are the
    replicas where this entry runs batch.
    """

    basis: ReplicaCells
    sharers: dict[str, frozenset[str]]
    mine: list[Replica]


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
        return self._share(service).mine

    def sharers_of(self, incarnation: str) -> frozenset[str]:
        """Return the names of the entries that run batch at a replica."""
        replica = self._fleet.get(incarnation)
        if replica is None:
            return frozenset()
        share = self._share(replica.service)
        if incarnation not in share.sharers:
            share.sharers[incarnation] = _sharers_in(share.basis, incarnation)
        return share.sharers[incarnation]

    def _share(self, service: str) -> Share:
        basis = self.cells.of_service(service)
        known = self._shares.get(service)
        # The basis is a new object whenever entries or replicas change.
        if known is None or known.basis is not basis:
            known = Share(basis, {}, [])
            self._shares[service] = known
            name = self.cells.name
            known.mine.extend(
                each
                for each in basis.ready
                if name in self.sharers_of(each.incarnation)
            )
        return known


def _sharers_in(basis: ReplicaCells, incarnation: str) -> frozenset[str]:
    """Return the sharers of a replica; none if it accepts no new work."""
    cell = basis.cells.get(incarnation)
    if cell is None:
        return frozenset()
    entries = basis.batch_entries[cell]
    replicas = sum(
        basis.batch_entries[each] == entries for each in basis.cells.values()
    )
    needed = math.ceil(LEAST_REPLICAS * len(entries) / replicas)
    local = sharers(incarnation, entries, max(SHARERS, needed))
    others = tuple(set(basis.division.cells) - set(entries))
    return local | sharers(incarnation, others, FAR_SHARERS)
