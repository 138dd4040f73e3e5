"""Tests which entries run batch at which replicas."""

import unittest
from collections import Counter

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.batch_sharing import (
    FAR_SHARERS,
    SHARERS,
    BatchSharing,
)
from cactusridge.peers.cell_rules import ByZone
from cactusridge.peers.cells import REFRESH_S, Cells
from cactusridge.peers.divisions import LEAST_REPLICAS
from tests.cells_play import SERVICE, places, put_replicas


class TestBatchSharing(unittest.TestCase):
    """Each replica has few sharers, and each entry some replicas."""

    def setUp(self):
        """Create a fleet without entries and replicas."""
        self.clock = ManualClock()
        self.fleet = FleetView()
        self.entries = ()
        cells = Cells(
            '10.0.0.0:1',
            self.fleet,
            lambda: places(*self.entries),
            ByZone(),
            self.clock,
        )
        self.sharing = BatchSharing(self.fleet, cells)

    def grow(self, entries, replicas):
        """Create this many entries and replicas."""
        self.entries = tuple(f'10.0.0.{number}:1' for number in range(entries))
        put_replicas(self.fleet, replicas)

    @params((9, 9), (10, 1), (1, 5))
    def test_all_of_a_small_fleet(self, entries, replicas):
        """In a small fleet every entry runs batch at every replica."""
        self.grow(entries, replicas)
        self.assertEqual(set(self.entries), self.sharing.sharers_of('i-0'))

    @params((31, 21), (36, 25), (300, 300))
    def test_few_of_a_large_fleet(self, entries, replicas):
        """A replica has few sharers, and an entry shares some replicas."""
        self.grow(entries, replicas)
        found = [self.sharing.sharers_of(key) for key in self.fleet.ids()]
        self.assertEqual({SHARERS + FAR_SHARERS}, set(map(len, found)))
        counts = Counter(name for names in found for name in names)
        self.assertEqual(set(self.entries), set(counts))

    def test_few_replicas(self):
        """With few replicas each has more sharers, so that jobs spread."""
        self.grow(36, 5)
        found = [self.sharing.sharers_of(key) for key in self.fleet.ids()]
        mean = sum(map(len, found)) / len(self.entries)
        self.assertGreaterEqual(mean, LEAST_REPLICAS)

    def test_a_lost_entry(self):
        """An entry that leaves is replaced; the other sharers stay."""
        self.grow(31, 21)
        before = self.sharing.sharers_of('i-0')
        lost = min(before)
        self.entries = tuple(set(self.entries) - {lost})
        self.clock.advance(REFRESH_S)
        self.assertEqual(
            before - {lost}, before & self.sharing.sharers_of('i-0')
        )
        self.assertEqual(
            SHARERS + FAR_SHARERS, len(self.sharing.sharers_of('i-0'))
        )

    def test_some_of_other_cells(self):
        """Most sharers are in the replica's cell, a few in other cells."""
        self.grow(60, 40)
        for replica in self.fleet.ready(SERVICE):
            near = self.sharing.cells.entries_of_replica(replica.incarnation)
            found = self.sharing.sharers_of(replica.incarnation)
            self.assertEqual(SHARERS, len(found & near))
            self.assertEqual(FAR_SHARERS, len(found - near))
