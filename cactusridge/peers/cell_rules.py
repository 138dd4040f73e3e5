"""Rules that divide entries and replicas into cells."""

import abc
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from cactusridge.fleet.entry_place import EntryPlace
from cactusridge.fleet.replica import Replica
from cactusridge.hashing import hash64, rendezvous

# Largest number of entries that can notify each other of every request. A
# fleet of at most this size is one cell, whatever its availability zones.
MAX_ENTRIES = 20
# Name of the only cell of a small fleet.
SINGLE_CELL = ''


class CellRule(abc.ABC):
    """Divides entries and replicas into cells."""

    @abc.abstractmethod
    def of_entries(self, entries: Sequence[EntryPlace]) -> dict[str, str]:
        """Return the cell of each entry by name.

        All entries compute the same result.
        """

    @abc.abstractmethod
    def of_replicas(
        self,
        replicas: Sequence[Replica],
        zones: Mapping[str, Sequence[str]],
    ) -> dict[str, str]:
        """Return the cell of each replica by incarnation key.

        ``zones`` maps each availability zone to its cells.
        """


class ByZone(CellRule):
    """Divides large fleets by availability zone, and large zones further.

    An entry that joins or leaves does not move another entry while the number
    of cells of its zone stays the same. Replicas are distributed evenly over
    the cells of their zone, because the slots of a cell's replicas limit the
    load that the cell can take.
    """

    def of_entries(self, entries: Sequence[EntryPlace]) -> dict[str, str]:
        """Return the cell of each entry."""
        if len(entries) <= MAX_ENTRIES:
            return {each.name: SINGLE_CELL for each in entries}
        zones = defaultdict(list)
        for each in entries:
            zones[each.zone].append(each.name)
        found: dict[str, str] = {}
        for zone, names in zones.items():
            count = math.ceil(len(names) / MAX_ENTRIES)
            cells = [f'{zone}/{number}' for number in range(count)]
            found.update(
                (name, rendezvous(cells, hash64(name))[0]) for name in names
            )
        return found

    def of_replicas(
        self,
        replicas: Sequence[Replica],
        zones: Mapping[str, Sequence[str]],
    ) -> dict[str, str]:
        """Return the cell of each replica by incarnation key.

        Replicas in an availability zone without entries are distributed over
        all cells.
        """
        all_cells = sorted({cell for cells in zones.values() for cell in cells})
        if not all_cells:
            return {}
        by_zone = defaultdict(list)
        for replica in replicas:
            by_zone[replica.zone].append(replica.incarnation)
        found: dict[str, str] = {}
        for zone, incarnations in by_zone.items():
            found.update(
                _distribute_evenly(incarnations, zones.get(zone, all_cells))
            )
        return found


class OneCell(CellRule):
    """Naive rule: all entries are one cell and exchange every count."""

    def of_entries(self, entries: Sequence[EntryPlace]) -> dict[str, str]:
        """Return the one cell for each entry."""
        return {each.name: SINGLE_CELL for each in entries}

    def of_replicas(
        self,
        replicas: Sequence[Replica],
        zones: Mapping[str, Sequence[str]],
    ) -> dict[str, str]:
        """Return the one cell for each replica."""
        return {replica.incarnation: SINGLE_CELL for replica in replicas}


def _distribute_evenly(
    names: Iterable[str], cells: Sequence[str]
) -> dict[str, str]:
    """Assign the names to the cells in equal numbers."""
    order = sorted(names, key=hash64)
    return {
        name: cells[rank * len(cells) // len(order)]
        for rank, name in enumerate(order)
    }
