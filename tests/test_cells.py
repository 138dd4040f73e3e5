"""Who belongs together in a large fleet."""

import unittest
from collections import Counter
from unittest import mock

from nose2.tools import params

from cactusridge import events, logs
from cactusridge.clock import ManualClock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.cell_rules import (
    MAX_ENTRIES,
    SINGLE_CELL,
    ByZone,
    EntryPlace,
    OneCell,
)
from cactusridge.peers.cells import REFRESH_S, Cells
from tests.cells_play import (
    SERVICE,
    cells_of,
    places,
    put_replicas,
    spread,
    zone_of,
)


class TestDivision(unittest.TestCase):
    """Entries and replicas in cells."""

    @params((MAX_ENTRIES, 6, 1), (88, 6, 6), (300, 6, 18), (60, 1, 3))
    def test_of_entries(self, entries, zones, wanted):
        """A small fleet is one cell; large ones are cells of a zone."""
        found = ByZone().of_entries(spread(entries, zones))
        sizes = Counter(found.values())
        self.assertEqual(wanted, len(sizes))
        mean = entries / wanted
        self.assertLessEqual(max(sizes.values()), 2 * mean)
        self.assertGreaterEqual(min(sizes.values()), mean / 2)

    @params((88, 59, 6), (300, 200, 6), (44, 30, 3))
    def test_of_replicas(self, entries, replicas, zones):
        """Each replica has one cell, of its own zone, found alike by all."""
        fleet = FleetView()
        put_replicas(fleet, replicas, zones)
        all_entries = spread(entries, zones)
        first, last = (
            cells_of(all_entries, fleet, name=place.name)
            for place in (all_entries[0], all_entries[-1])
        )
        found = first.of_service(SERVICE).cells
        self.assertEqual(found, last.of_service(SERVICE).cells)
        self.assertEqual(replicas, len(found))
        for replica in fleet.ready(SERVICE):
            self.assertEqual(replica.zone, found[replica.life].split('/')[0])
        sizes = Counter(found.values()).values()
        self.assertLessEqual(max(sizes) - min(sizes), 2)

    def test_a_zone_without_entries(self):
        """Its replicas belong to the cells of the others."""
        fleet = FleetView()
        put_replicas(fleet, 30, 3)
        cells = cells_of(spread(40, 2), fleet)
        found = cells.of_service(SERVICE).cells
        self.assertEqual(30, len(found))
        self.assertEqual({'z0/0', 'z1/0'}, set(found.values()))

    def test_nobody_known(self):
        """Before entries are known no replica has a cell."""
        fleet = FleetView()
        put_replicas(fleet, 3)
        cells = Cells('x', fleet, tuple, ByZone(), ManualClock())
        self.assertEqual({}, cells.of_service(SERVICE).cells)
        self.assertEqual(frozenset(), cells.entries_of_replica('i-0'))

    def test_naive(self):
        """Without a division everybody is told of everything."""
        fleet = FleetView()
        put_replicas(fleet, 59, 6)
        cells = cells_of(spread(88, 6), fleet, rule=OneCell())
        self.assertFalse(cells.several)
        self.assertEqual(88, len(cells.entries_of_replica('i-0')))
        self.assertEqual(
            {SINGLE_CELL}, set(cells.of_service(SERVICE).cells.values())
        )


class TestCells(unittest.TestCase):
    """What one entry finds."""

    def setUp(self):
        """Be an entry of 88 in six zones, before 59 replicas."""
        self.clock = ManualClock()
        self.fleet = FleetView()
        put_replicas(self.fleet, 59, 6)
        self.entries = spread(88, 6)
        self.cells = Cells(
            self.entries[0].name,
            self.fleet,
            lambda: self.entries,
            ByZone(),
            self.clock,
        )

    def test_near_and_far(self):
        """Everybody is one or the other; all cells are told."""
        near, far = self.cells.local_entries(), set(self.cells.remote_entries())
        self.assertEqual({each.name for each in self.entries}, near | far)
        self.assertFalse(near & far)
        self.assertIn(self.cells.name, near)

    def test_audience_does_not_grow(self):
        """As many are told of a request in a fleet of 30 and of 300."""
        for count in (30, 88, 300):
            self.entries = spread(count, 6)
            self.clock.advance(REFRESH_S)
            told = self.cells.entries_of_replica('i-0')
            self.assertLessEqual(len(told), MAX_ENTRIES)
            self.assertTrue(told)

    def test_tellers(self):
        """One entry of a cell tells each far one; another if it is gone."""
        far = self.cells.remote_entries()
        views = {
            name: cells_of(self.entries, self.fleet, name)
            for name in self.cells.local_entries()
        }
        alive = set(views)
        for _ in range(2):
            for name in far:
                tellers = [
                    each
                    for each in alive
                    if name in views[each].offer_recipients(alive - {each})
                ]
                self.assertEqual(1, len(tellers))
            alive -= {tellers[0]}

    def test_work_is_shared(self):
        """Telling is spread over the entries of a cell."""
        near, far = self.cells.local_entries(), self.cells.remote_entries()
        counts = [
            len(
                list(
                    cells_of(self.entries, self.fleet, name).offer_recipients(
                        near,
                    ),
                ),
            )
            for name in near
        ]
        self.assertEqual(len(far), sum(counts))
        self.assertLess(max(counts), len(far) / 4)

    def test_leaving_replica(self):
        """One that takes no new work is told of in the own cell."""
        self.fleet.drop('i-1')
        self.assertEqual(
            self.cells.local_entries(), self.cells.entries_of_replica('i-1')
        )

    def test_cells_without_replicas(self):
        """Who has none near may run batch at those of the others."""
        fleet = FleetView()
        put_replicas(fleet, 10)
        entries = (*places('10.1.0.1:1', zone='z'), *spread(40, 2))
        cells = cells_of(tuple(sorted(entries)), fleet)
        found = cells.of_service(SERVICE)
        self.assertEqual({'z/0'}, set(found.cells.values()))
        self.assertEqual(41, len(found.batch_entries['z/0']))

    def test_a_lost_entry_moves_none(self):
        """In a zone of several cells the others stay where they are."""
        entries = spread(300, 6)
        before = ByZone().of_entries(entries)
        after = ByZone().of_entries(entries[1:])
        self.assertEqual(before, {**before, **after})

    def test_logged(self):
        """A new division is logged once, with this entry's part in it."""
        with mock.patch.object(logs, 'emit') as emit:
            self.cells.local_entries()
            self.clock.advance(REFRESH_S)
            self.cells.local_entries()
        emit.assert_called_once_with(
            events.CELLS_DIVIDED,
            cells=6,
            cell='z0/0',
            near=15,
        )

    def test_same_until_a_change(self):
        """What is found is kept until an entry or a replica comes."""
        found = self.cells.of_service(SERVICE)
        self.clock.advance(REFRESH_S)
        self.assertIs(found, self.cells.of_service(SERVICE))
        self.entries = (*self.entries, EntryPlace('x:1', zone_of(0)))
        self.clock.advance(REFRESH_S)
        self.assertIsNot(found, self.cells.of_service(SERVICE))
