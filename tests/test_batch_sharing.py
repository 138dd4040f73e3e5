"""Which entries run batch at which replicas."""

import unittest
from collections import Counter

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch.batch_sharing import (
    LEAST_REPLICAS,
    REFRESH_S,
    SHARERS,
    BatchSharing,
)
from cactusridge.dispatch.fleet_view import FleetView
from cactusridge.dispatch.replica import Replica, ReplicaState
from cactusridge.http.client import Address

ADDRESS = Address('127.0.0.1', 1)


class TestBatchSharing(unittest.TestCase):
    """Few at each replica, and some replicas for each entry."""

    def setUp(self):
        """Start with nobody."""
        self.clock = ManualClock()
        self.fleet = FleetView()
        self.entries = ()
        self.sharing = BatchSharing(
            self.fleet,
            lambda: self.entries,
            self.clock,
        )

    def grow(self, entries, replicas):
        """Let there be so many entries and replicas."""
        self.entries = tuple(f'10.0.0.{number}:1' for number in range(entries))
        for number in range(replicas):
            replica = Replica(
                f'i-{number}',
                's',
                ADDRESS,
                'z',
                8,
                ReplicaState.ready,
            )
            self.fleet.put(replica)

    @params((9, 9), (10, 1), (1, 5))
    def test_all_of_a_small_fleet(self, entries, replicas):
        """In a small fleet every entry runs batch everywhere."""
        self.grow(entries, replicas)
        self.assertEqual(set(self.entries), self.sharing.of('i-0'))

    @params((31, 21), (36, 25), (300, 300))
    def test_few_of_a_large_fleet(self, entries, replicas):
        """A replica has few sharers, an entry some replicas."""
        self.grow(entries, replicas)
        found = [self.sharing.of(key) for key in self.fleet.ids()]
        self.assertEqual({SHARERS}, set(map(len, found)))
        counts = Counter(name for names in found for name in names)
        self.assertEqual(set(self.entries), set(counts))

    def test_few_replicas(self):
        """With few replicas each has more sharers, so that jobs spread."""
        self.grow(36, 5)
        found = [self.sharing.of(key) for key in self.fleet.ids()]
        mean = sum(map(len, found)) / len(self.entries)
        self.assertGreaterEqual(mean, LEAST_REPLICAS)

    def test_a_lost_entry(self):
        """An entry that goes is replaced; the other sharers stay."""
        self.grow(31, 21)
        before = self.sharing.of('i-0')
        lost = min(before)
        self.entries = tuple(set(self.entries) - {lost})
        self.clock.advance(REFRESH_S)
        self.assertEqual(before - {lost}, before & self.sharing.of('i-0'))
        self.assertEqual(SHARERS, len(self.sharing.of('i-0')))
