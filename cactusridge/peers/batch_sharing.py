"""Which entries run batch at which replicas.

Answers large fleets: where every entry may start items at every replica,
all rush to each slot that comes free, and either they are told of each
other's claims, which grows with the square of the fleet, or most starts
are cut again.
"""

import math
from collections.abc import Sequence
from typing import NamedTuple

from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.hashing import hash64, rendezvous
from cactusridge.peers.cells import LEAST_REPLICAS, Cells, ReplicaCells

# Entries that run batch at one replica: enough that its slots find work
# though not all of them have any, few enough that what they tell each
# other does not grow with the fleet.
SHARERS = 10
# Of other cells besides: where a cell has more items than free slots, its
# entries find some in the others.
FAR_SHARERS = 5


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
    """What was found of a service, and the cells it was found from.

    ``sharers`` fills up by life as it is asked for; ``mine`` are the
    replicas where this entry runs batch.
    """

    basis: ReplicaCells
    sharers: dict[str, frozenset[str]]
    mine: list[Replica]


class BatchSharing:
    """Finds the sharers of each replica among the entries that may."""

    def __init__(self, fleet: FleetView, cells: Cells) -> None:
        """Choose among the entries that ``cells`` has for a replica."""
        self._fleet = fleet
        self.cells = cells
        self._shares: dict[str, Share] = {}

    def replicas_of(self, service: str) -> Sequence[Replica]:
        """Return the ready replicas of a service where this entry runs batch.

        Asked for at every look of the batch scheduler, a hundred times a
        second in a busy fleet: found anew only after a change.
        """
        return self._share(service).mine

    def of(self, life: str) -> frozenset[str]:
        """Return the names of the entries that run batch at a replica."""
        replica = self._fleet.get(life)
        if replica is None:
            return frozenset()
        share = self._share(replica.service)
        if life not in share.sharers:
            share.sharers[life] = _sharers_in(share.basis, life)
        return share.sharers[life]

    def _share(self, service: str) -> Share:
        basis = self.cells.of_service(service)
        known = self._shares.get(service)
        # Replaced when entries or replicas change.
        if known is None or known.basis is not basis:
            known = Share(basis, {}, [])
            self._shares[service] = known
            name = self.cells.name
            known.mine.extend(
                each for each in basis.ready if name in self.of(each.life)
            )
        return known


def _sharers_in(basis: ReplicaCells, life: str) -> frozenset[str]:
    """Return the sharers of a replica; none if it takes no new work."""
    cell = basis.cells.get(life)
    if cell is None:
        return frozenset()
    entries = basis.batch_entries[cell]
    replicas = sum(
        basis.batch_entries[each] == entries for each in basis.cells.values()
    )
    needed = math.ceil(LEAST_REPLICAS * len(entries) / replicas)
    near = sharers(life, entries, max(SHARERS, needed))
    others = tuple(set(basis.division.cells) - set(entries))
    return near | sharers(life, others, FAR_SHARERS)
