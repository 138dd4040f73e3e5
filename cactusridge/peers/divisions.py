"""The division of entries into cells, and the cells of replicas."""

from collections.abc import Mapping
from typing import NamedTuple

from cactusridge.fleet.entry_place import EntryPlace
from cactusridge.fleet.replica import Replica

# Replicas at which an entry can run batch, at least this many on average, so
# that the items of a job spread. If cells have fewer, batch runs across cells.
LEAST_REPLICAS = 4


class Division(NamedTuple):
    """The cell of each entry, and the entries and zones of the cells.

    ``cells`` maps entry names to cells, ``names`` cells to entry names, and
    ``zones`` availability zones to their cells.
    """

    entries: tuple[EntryPlace, ...]
    cells: dict[str, str]
    names: dict[str, frozenset[str]]
    zones: dict[str, tuple[str, ...]]


class ReplicaCells(NamedTuple):
    """The cells of a service's replicas and the inputs they derive from.

    ``cells`` maps incarnation keys to cells, and ``local`` has the keys in the
    local cell. ``batch_entries`` maps a cell to the entries that may run batch
    at its replicas: the entries of the cell, and those whose cell has no
    replica of the service. Where cells have few replicas, it has all entries.
    """

    ready: tuple[Replica, ...]
    division: Division
    cells: dict[str, str]
    local: frozenset[str]
    batch_entries: dict[str, tuple[str, ...]]


NO_ENTRIES = Division((), {}, {}, {})


def batch_entries(
    division: Division,
    replicas: Mapping[str, str],
) -> dict[str, tuple[str, ...]]:
    """Return the entries that may run batch in each cell with replicas.

    ``replicas`` maps incarnation keys to cells.
    """
    served = set(replicas.values())
    if len(replicas) < LEAST_REPLICAS * len(division.names):
        return dict.fromkeys(served, tuple(division.cells))
    without = [
        name for name, cell in division.cells.items() if cell not in served
    ]
    return {
        cell: (*sorted(division.names.get(cell, ())), *without)
        for cell in served
    }
