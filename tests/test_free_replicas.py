"""Tests where an entry of a large fleet runs batch items."""

import unittest
from types import SimpleNamespace

from cactusridge.clock import ManualClock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.jobs.free_replicas import FreeReplicas
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.load import Load
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.offers import CellOffer
from cactusridge.routing.outliers import NoEjection
from tests.cells_play import SERVICE, SLOTS, cells_of, put_replicas, spread

PEER = '10.0.0.2:1'


class TestFreeReplicas(unittest.TestCase):
    """The replica with the most room is chosen, in the local cell first."""

    def setUp(self):
        """Create the first of forty entries in two availability zones."""
        clock = ManualClock()
        fleet = FleetView()
        put_replicas(fleet, 20, 2)
        cells = cells_of(spread(40, 2), fleet, clock=clock)
        self.sharing = BatchSharing(fleet, cells)
        self.local = cells.of_service(SERVICE).local
        self.mine = {
            each.incarnation for each in self.sharing.replicas_of(SERVICE)
        }
        self.loads = LoadTable(clock)
        runner = SimpleNamespace(loads=self.loads, health=NoEjection())
        self.free = FreeReplicas(fleet, runner, self.sharing)
        share = SimpleNamespace(service=SERVICE, weight=1)
        self.route = SimpleNamespace(shares=[share])

    def fill_near(self):
        """Report all replicas of the local cell as full."""
        self.loads.set_peer_loads(PEER, dict.fromkeys(self.local, Load(SLOTS)))

    def found(self):
        """Return the key of the replica with the most room, or None."""
        replica = self.free.with_most_room(self.route)
        return replica and replica.incarnation

    def test_near_first(self):
        """A remote replica is not chosen while a local one has room."""
        far = self.mine - self.local
        self.loads.set_offer(CellOffer('z1/0', {}, list(far)))
        busy = dict.fromkeys(self.local, Load(SLOTS - 1))
        self.loads.set_peer_loads(PEER, busy)
        self.assertIn(self.found(), self.local)

    def test_unknown_is_not_empty(self):
        """A remote replica is not chosen before its counts are offered.

        Without counts a full remote replica would look empty.
        """
        self.fill_near()
        self.assertIsNone(self.found())
        far = min(self.mine - self.local)
        self.loads.set_offer(CellOffer('z1/0', {}, [far]))
        self.assertEqual(far, self.found())
        self.loads.set_peer_loads('10.0.0.1:1', {far: Load(SLOTS)})
        self.assertIsNone(self.found())

    def test_replica_that_interrupted_the_item(self):
        """It is chosen only if no other has room, also in its next life.

        A replica that goes down and up by turns has the most free slots.
        """
        flapping = min(self.mine & self.local)
        busy = dict.fromkeys(self.mine - {flapping}, Load(SLOTS - 1))
        self.loads.set_offer(CellOffer('z1/0', {}, list(self.mine)))
        self.loads.set_peer_loads(PEER, busy)
        self.assertEqual(flapping, self.found())
        replica_id = self.free.with_most_room(self.route).id
        found = self.free.with_most_room(self.route, avoided=replica_id)
        self.assertNotEqual(replica_id, found.id)
        full = dict.fromkeys(self.mine - {flapping}, Load(SLOTS))
        self.loads.set_peer_loads(PEER, full)
        found = self.free.with_most_room(self.route, avoided=replica_id)
        self.assertEqual(replica_id, found.id)
