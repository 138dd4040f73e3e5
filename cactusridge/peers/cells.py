"""Divides a large fleet into cells of entries and replicas.

In a large fleet an entry cannot receive a message about every request in time:
the messages it reads would grow with the square of the fleet, or its counts
would be too old to place a burst of requests. Each cell has the entries of an
availability zone, or part of them, and replicas of its own. The entries of a
cell notify each other of every request at these replicas, and prefer them for
their own requests.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.fleet.entry_place import EntryPlace
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.hashing import hash64, is_among_first
from cactusridge.peers.cell_rules import SINGLE_CELL, CellRule
from cactusridge.peers.divisions import (
    NO_ENTRIES,
    Division,
    ReplicaCells,
    batch_entries,
)

# Interval of reading the list of entries, in seconds. The list changes when an
# entry starts or stops.
REFRESH_S = 0.25


class Shape(NamedTuple):
    """Fields of the log line about a division of the fleet.

    These are the number of cells, the local cell, and the number of entries in
    the local cell.
    """

    cells: int
    cell: str
    near: int


class Cells:
    """The cells as one entry computes them from entries and replicas."""

    def __init__(
        self,
        name: str,
        fleet: FleetView,
        entries: Callable[[], tuple[EntryPlace, ...]],
        rule: CellRule,
        clock: Clock,
    ) -> None:
        """Create the cells as seen by the entry ``name``.

        ``entries`` returns all entries in a fixed order.
        """
        self.name = name
        self._fleet = fleet
        self._list_entries = entries
        self._rule = rule
        self._clock = clock
        self._division = NO_ENTRIES
        self._listed_at: float | None = None
        self._replicas: dict[str, ReplicaCells] = {}
        self._offers_basis: tuple[Division, frozenset[str]] | None = None
        self._offer_recipients: tuple[str, ...] = ()

    @property
    def has_several_cells(self) -> bool:
        """Whether the fleet has more than one cell."""
        return len(self._current().names) > 1

    @property
    def local_cell(self) -> str:
        """The local cell, that of this entry."""
        return self._current().cells.get(self.name, SINGLE_CELL)

    def entries(self) -> tuple[EntryPlace, ...]:
        """Return all entries; the same tuple object until they change."""
        return self._current().entries

    def local_names(self) -> frozenset[str]:
        """Return the names of the entries in the local cell, with this one."""
        return self._names_in(self.local_cell)

    def remote_names(self) -> tuple[str, ...]:
        """Return the names of the entries in all other cells."""
        own = self.local_cell
        cells = self._current().cells
        return tuple(name for name, cell in cells.items() if cell != own)

    def is_remote(self, name: str) -> bool:
        """Return whether an entry is known to be in another cell."""
        own = self.local_cell
        return self._current().cells.get(name, own) != own

    def entries_of_replica(self, incarnation: str) -> frozenset[str]:
        """Return the names of the entries in a replica's cell.

        These entries are notified at once of each request at the replica. A
        replica that accepts no new work counts as one of the local cell.
        """
        return self._names_in(self.of_replica(incarnation))

    def of_replica(self, incarnation: str) -> str:
        """Return the cell of a replica, or the local cell if it has none."""
        replica = self._fleet.get(incarnation)
        if replica is None:
            return self.local_cell
        return self.of_service(replica.service).cells.get(
            incarnation, self.local_cell
        )

    def of_service(self, service: str) -> ReplicaCells:
        """Return the cells of a service's replicas.

        The result is the same object until the entries or the replicas change.
        """
        division = self._current()
        ready = self._fleet.ready(service)
        known = self._replicas.get(service)
        # Both inputs are new objects whenever they change.
        if known is not None:
            if known.ready is ready and known.division is division:
                return known
        cells = self._rule.of_replicas(ready, division.zones)
        own = division.cells.get(self.name, SINGLE_CELL)
        found = ReplicaCells(
            ready,
            division,
            cells,
            frozenset(
                incarnation
                for incarnation, cell in cells.items()
                if cell == own
            ),
            batch_entries(division, cells),
        )
        self._replicas[service] = found
        return found

    def local_replicas(self) -> Iterator[Replica]:
        """Return the replicas of the local cell that accept new work."""
        for service in self._fleet.services():
            found = self.of_service(service)
            yield from (
                each for each in found.ready if each.incarnation in found.local
            )

    def offer_recipients(self, current_peers: Iterable[str]) -> tuple[str, ...]:
        """Return the remote entries that this entry sends the cell's offers to.

        Rendezvous hashing assigns each remote entry to one live entry of the
        local cell. ``current_peers`` are the peers whose counts are current.
        The result is cached until the entries or the live ones change.
        """
        live_names = self.local_names().intersection(current_peers)
        basis = (self._current(), live_names | {self.name})
        if self._offers_basis is None or basis != self._offers_basis:
            self._offers_basis = basis
            self._offer_recipients = tuple(
                name
                for name in self.remote_names()
                if is_among_first(1, self.name, live_names, hash64(name))
            )
        return self._offer_recipients

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
        cell = self._division.cells.get(self.name, SINGLE_CELL)
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
