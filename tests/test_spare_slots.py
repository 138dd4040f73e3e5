"""When a waiting request may start at a replica."""

import unittest

from nose2.tools import params

from cactusridge.dispatch.placement import Choice
from cactusridge.dispatch.spare_slots import has_spare_slot
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address
from cactusridge.peers.load import Load


class TestSpareSlots(unittest.TestCase):
    """Waiting requests leave a quarter of the slots free."""

    @params(
        (8, Load(5), True),
        (8, Load(6), False),
        (8, Load(9), False),
        # Batch requests are preempted.
        (8, Load(0, 8), True),
        # A small replica has no spare slot, or it would serve no one.
        (1, Load(0), True),
        (1, Load(1), False),
        (2, Load(1), True),
        (2, Load(2), False),
        (4, Load(2), True),
        (4, Load(3), False),
    )
    def test_room(self, slots, load, wanted):
        """A slot taken by mistake holds up requests on time."""
        address = Address('127.0.0.1', 1)
        ready = ReplicaState.ready
        replica = Replica('x', 's', address, 'z', slots, ready)
        self.assertEqual(wanted, has_spare_slot(Choice(replica, load)))
