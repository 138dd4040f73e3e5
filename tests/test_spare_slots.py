"""When a waiting request may start at a replica."""

import unittest
from unittest import mock

from nose2.tools import params

from cactusridge.dispatch.attempts import Attempts
from cactusridge.dispatch.placement import Choice
from cactusridge.dispatch.policies import DispatchPolicies
from cactusridge.dispatch.spare_slots import has_spare_slot
from cactusridge.errors import NoReplica
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address
from cactusridge.peers.load import Load


def replica(name, slots):
    """Return a replica with some slots."""
    address = Address('127.0.0.1', 1)
    return Replica(name, 's', address, 'z', slots, ReplicaState.ready)


class TestNoReplica(unittest.TestCase):
    """A waiting request needs a replica."""

    def test_no_replica(self):
        """A service without replicas has no spare slot."""
        attempts = Attempts(*[None] * 6, DispatchPolicies(None, None, None))
        with mock.patch.object(attempts, '_best', side_effect=NoReplica):
            self.assertFalse(attempts.has_free_slot('s'))


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
        choice = Choice(replica('x', slots), load)
        self.assertEqual(wanted, has_spare_slot(choice))
