"""Tests the order of growth of an idle entry's work in a large fleet.

Cost is the number of function calls. docs/CAPACITY.md has the orders.
"""

import unittest
from types import SimpleNamespace

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.http.client import parse_address
from cactusridge.organisations.limit_messages import Candidate
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.peers.audience import Audience
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.loads import LoadTable
from tests.call_counts import calls_of, calls_once
from tests.cells_play import SERVICE, cells_of, put_replicas, spread

FEW = 30
MANY = 300
MS_PER_S = 1000
# Period in which all entries of a fleet start, in milliseconds.
START_MS = 4500
# Calls that an update of the owners may take for each member that has been
# listed for long enough since the last one.
CALLS_PER_CHANGE = 120
ZONES = 4
REPLICAS = 100
# Calls for the share of an entry in the slots of one replica, and for one hash
# of a name.
CALLS_PER_SHARE = 12
CALLS_PER_HASH = 6


class TestOwners(unittest.TestCase):
    """Updates of owners while a fleet starts."""

    def owners_of(self, entries, clock):
        """Return the owners among entries that start one after another."""
        listed = [
            Candidate(f'10.0.{number}.1:1', START_MS * number // entries)
            for number in range(entries)
        ]
        return LimitOwners(
            listed[0].name,
            lambda: listed,
            SimpleNamespace(is_known=True, now_ms=lambda: clock.now * MS_PER_S),
            lambda: True,
            clock,
        )

    @params(FEW, MANY)
    def test_due(self, entries):
        """An update for one more member does not examine all the others.

        A fleet has four such updates for each entry that starts. With a look
        at all members each, they grow with the square of the fleet.
        """
        clock = ManualClock(0)
        owners = self.owners_of(entries, clock)
        owners.update()
        calls = 0
        while clock.now * MS_PER_S < 3 * START_MS:
            clock.advance(1 / MS_PER_S)
            calls += calls_once(owners.update_if_due)
        self.assertEqual(len(owners.listed), entries)
        steps = 3 * START_MS * 4
        self.assertLessEqual(calls - steps, 4 * entries * CALLS_PER_CHANGE)


class TestOffers(unittest.TestCase):
    """The repeated offers of slots to the entries of other cells."""

    def setUp(self):
        """Create an entry of a large fleet that hears from its cell."""
        entries = spread(MANY, ZONES)
        clock = ManualClock(0)
        fleet = FleetView()
        put_replicas(fleet, REPLICAS, ZONES)
        self.cells = cells_of(entries, fleet, clock=clock)
        loads = LoadTable(clock)
        for name in self.cells.local_names() - {self.cells.name}:
            loads.set_peer_loads(name, {})
        self.sharing = BatchSharing(fleet, self.cells)
        address = parse_address(self.cells.name)
        targets = frozenset(parse_address(each.name) for each in entries)
        self.audience = Audience(address, loads, lambda: targets, self.sharing)

    def test_repeat(self):
        """An offer costs calls by its replicas, not by the entries.

        Otherwise each entry computes twice a second which entry of its cell
        serves each entry of the fleet.
        """
        calls = calls_of(lambda: list(self.audience.offers()))
        offers = len(list(self.audience.offers()))
        replicas = len(list(self.cells.local_replicas()))
        self.assertGreater(offers, 0)
        self.assertLessEqual(calls, CALLS_PER_SHARE * (offers + 8) * replicas)

    def test_first(self):
        """The first offers do not compute who runs batch at every replica.

        While a fleet starts, each read of the members changes the cells.
        """
        replicas = len(list(self.cells.local_replicas()))
        calls = calls_once(lambda: list(self.audience.offers()))
        hashes = MANY * (replicas + 2)
        self.assertLessEqual(calls, CALLS_PER_HASH * hashes)

    def test_batch_replicas(self):
        """An entry does not rank all entries to find its batch replicas."""
        calls = calls_once(lambda: self.sharing.replicas_of(SERVICE))
        self.assertLessEqual(calls, REPLICAS * MANY)
