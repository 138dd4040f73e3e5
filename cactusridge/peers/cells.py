"""Which entries and replicas of a large fleet belong together.

Answers fleets in which nobody can hear of every request in time: what an
entry reads would grow with the square of the fleet, or its counts would be
too old to place a burst by. Each cell has the entries of an availability
zone, or a part of them, and replicas of its own. Its entries tell each
other of every request at these replicas, and send theirs there first.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.hashing import hash64, rendezvous
from cactusridge.peers.cell_rules import WHOLE, CellRule, EntryPlace

# Replicas that an entry has for batch on average at least, so that a job
# spreads. Where cells have fewer, batch runs across cells.
LEAST_REPLICAS = 4
# The entries are listed anew this often, in seconds; they change when one
# starts or stops.
REFRESH_S = 0.25


class Division(NamedTuple):
    """The cells of the entries, and the entries of each cell."""

    entries: tuple[EntryPlace, ...]
    cells: dict[str, str]
    names: dict[str, frozenset[str]]
    zones: dict[str, tuple[str, ...]]


class Shape(NamedTuple):
    """What is logged of a division: cells, the own one, entries in it."""

    cells: int
    cell: str
    near: int


class ReplicaCells(NamedTuple):
    """The cells of a service's replicas, and what they were found from.

    ``near`` are the lives in this entry's cell. ``batch_entries`` has the
    entries that may run batch at a cell's replicas: its own, and those
    whose cell has no replica of the service; all entries where cells have
    few replicas.
    """

    ready: tuple[Replica, ...]
    division: Division
    cells: dict[str, str]
    near: frozenset[str]
    batch_entries: dict[str, tuple[str, ...]]


NOBODY = Division((), {}, {}, {})


class Cells:
    """The cells as one entry finds them from the entries and replicas."""

    def __init__(
        self,
        name: str,
        fleet: FleetView,
        entries: Callable[[], tuple[EntryPlace, ...]],
        rule: CellRule,
        clock: Clock,
    ) -> None:
        """Be the entry ``name``; ``entries`` returns all in one order."""
        self.name = name
        self._fleet = fleet
        self._list_entries = entries
        self._rule = rule
        self._clock = clock
        self._division = NOBODY
        self._listed_at: float | None = None
        self._replicas: dict[str, ReplicaCells] = {}

    @property
    def several(self) -> bool:
        """Whether the fleet is larger than one cell."""
        return len(self._current().names) > 1

    @property
    def own(self) -> str:
        """The cell of this entry."""
        return self._current().cells.get(self.name, WHOLE)

    def entries(self) -> tuple[EntryPlace, ...]:
        """Return all entries; the same tuple until one comes or goes."""
        return self._current().entries

    def near(self) -> frozenset[str]:
        """Return the entries of this entry's cell, itself among them."""
        return self._names_in(self.own)

    def far(self) -> tuple[str, ...]:
        """Return the entries of all other cells."""
        own = self.own
        cells = self._current().cells
        return tuple(name for name, cell in cells.items() if cell != own)

    def is_far(self, name: str) -> bool:
        """Tell whether an entry is known to be in another cell."""
        own = self.own
        return self._current().cells.get(name, own) != own

    def entries_at(self, life: str) -> frozenset[str]:
        """Return the entries of a replica's cell.

        They are told at once of each request there. A replica that takes
        no new work is told of in this entry's own cell.
        """
        return self._names_in(self.of_replica(life))

    def of_replica(self, life: str) -> str:
        """Return the cell of a replica, this entry's where it has none."""
        replica = self._fleet.get(life)
        if replica is None:
            return self.own
        return self.of_service(replica.service).cells.get(life, self.own)

    def of_service(self, service: str) -> ReplicaCells:
        """Return the cells of a service's replicas.

        The same object until an entry or a replica comes or goes.
        """
        division = self._current()
        ready = self._fleet.ready(service)
        known = self._replicas.get(service)
        # Both are replaced when they change.
        if known is not None:
            if known.ready is ready and known.division is division:
                return known
        cells = self._rule.of_replicas(ready, division.zones)
        own = division.cells.get(self.name, WHOLE)
        found = ReplicaCells(
            ready,
            division,
            cells,
            frozenset(life for life, cell in cells.items() if cell == own),
            _batch_entries(division, cells),
        )
        self._replicas[service] = found
        return found

    def near_replicas(self) -> Iterator[Replica]:
        """Return the replicas of this entry's cell that take new work."""
        for service in self._fleet.services():
            found = self.of_service(service)
            yield from (each for each in found.ready if each.life in found.near)

    def told_from_here(self, heard: Iterable[str]) -> Iterator[str]:
        """Yield the far entries that this one tells of the cell.

        Each is told by one entry of the cell, among those that live:
        ``heard`` has the ones that this entry has heard lately.
        """
        living = (self.near() & set(heard)) | {self.name}
        for name in self.far():
            if rendezvous(living, hash64(name))[0] == self.name:
                yield name

    def _names_in(self, cell: str) -> frozenset[str]:
        return self._current().names.get(cell, frozenset())

    def _current(self) -> Division:
        now = self._clock.monotonic()
        if self._listed_at is None or now - self._listed_at >= REFRESH_S:
            self._listed_at = now
            entries = self._list_entries()
            if entries != self._division.entries:
                self._divide(entries)
        return self._division

    def _divide(self, entries: tuple[EntryPlace, ...]) -> None:
        before = self._shape()
        self._division = _division_of(entries, self._rule)
        shape = self._shape()
        if shape != before:
            logs.emit(events.CELLS_DIVIDED, **shape._asdict())

    def _shape(self) -> Shape:
        cells = self._division.names
        cell = self._division.cells.get(self.name, WHOLE)
        return Shape(len(cells), cell, len(cells.get(cell, ())))


def _division_of(
    entries: tuple[EntryPlace, ...],
    rule: CellRule,
) -> Division:
    cells = rule.of_entries(entries)
    names = defaultdict(set)
    zones = defaultdict(set)
    for each in entries:
        names[cells[each.name]].add(each.name)
        zones[each.zone].add(cells[each.name])
    return Division(
        entries,
        cells,
        {cell: frozenset(found) for cell, found in names.items()},
        {zone: tuple(sorted(found)) for zone, found in zones.items()},
    )


def _batch_entries(
    division: Division,
    replicas: Mapping[str, str],
) -> dict[str, tuple[str, ...]]:
    """Return who may run batch at the replicas of each cell that has any."""
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
