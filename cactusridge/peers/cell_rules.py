"""How entries and replicas are divided into cells."""

import abc
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from cactusridge.fleet.replica import Replica
from cactusridge.hashing import hash64, rendezvous

# Entries that can tell each other of every request. A fleet of no more is
# one cell, whatever its zones.
MAX_ENTRIES = 20
# The only cell of a small fleet.
WHOLE = ''


class EntryPlace(NamedTuple):
    """The name of an entry, its address for peers, and its zone."""

    name: str
    zone: str


class CellRule(abc.ABC):
    """Divides entries and replicas into cells."""

    @abc.abstractmethod
    def of_entries(self, entries: Sequence[EntryPlace]) -> dict[str, str]:
        """Return the cell of each entry by name; everybody finds the same."""

    @abc.abstractmethod
    def of_replicas(
        self,
        replicas: Sequence[Replica],
        zones: Mapping[str, Sequence[str]],
    ) -> dict[str, str]:
        """Return the cell of each life; ``zones`` has the cells of each."""


class ByZone(CellRule):
    """Large fleets by availability zone, large zones in parts.

    An entry that comes or goes moves no other. Replicas are dealt out
    evenly: their slots are what a cell can bear.
    """

    def of_entries(self, entries: Sequence[EntryPlace]) -> dict[str, str]:
        """Return the cell of each entry."""
        if len(entries) <= MAX_ENTRIES:
            return {each.name: WHOLE for each in entries}
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
        """Return the cell of each replica; one without a zone's gets any."""
        everywhere = sorted(
            {cell for cells in zones.values() for cell in cells}
        )
        if not everywhere:
            return {}
        by_zone = defaultdict(list)
        for replica in replicas:
            by_zone[replica.zone].append(replica.life)
        found: dict[str, str] = {}
        for zone, lives in by_zone.items():
            found.update(_dealt(lives, zones.get(zone, everywhere)))
        return found


class OneCell(CellRule):
    """Naive: everybody tells everybody of everything."""

    def of_entries(self, entries: Sequence[EntryPlace]) -> dict[str, str]:
        """Return the one cell for each entry."""
        return {each.name: WHOLE for each in entries}

    def of_replicas(
        self,
        replicas: Sequence[Replica],
        zones: Mapping[str, Sequence[str]],
    ) -> dict[str, str]:
        """Return the one cell for each replica."""
        return {replica.life: WHOLE for replica in replicas}


def _dealt(names: Iterable[str], cells: Sequence[str]) -> dict[str, str]:
    """Return a cell for each name, as many in each as in any other."""
    order = sorted(names, key=hash64)
    return {
        name: cells[rank * len(cells) // len(order)]
        for rank, name in enumerate(order)
    }
