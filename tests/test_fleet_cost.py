"""Tests that the cost and the rate of selections are bounded in a fleet.

Cost is the number of function calls, including resumed generators. It is the
same on every machine and under every load.
"""

import unittest
from types import SimpleNamespace
from unittest import mock

from nose2.tools import params

from cactusridge.clock import ManualClock, SystemClock
from cactusridge.dispatch.attempts import Attempts
from cactusridge.dispatch.capacity import CompletedRun
from cactusridge.dispatch.catalog import RouteKind
from cactusridge.dispatch.observed_capacity import ObservedCapacity
from cactusridge.dispatch.online_call import Progress
from cactusridge.dispatch.policies import make_policies
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.jobs.free_replicas import FreeReplicas
from cactusridge.jobs.pass_pacer import PassPacer
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.load import Load
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.speed_observations import SpeedObservations
from cactusridge.routing.outliers import NoEjection
from cactusridge.startup.models import DirectPolicy
from tests.call_counts import calls_of
from tests.cells_play import cells_of, places

FEW = 8
MANY = 36
REPLICAS = 25
SLOTS = 7
SERVICE = 's'
# Factor by which a selection may cost more with four times as many entries.
MARGIN = 1.1
DATAGRAM_S = 0.005
# Function calls that a selection may take, by kind of request.
BOUNDS = {'online': 600, 'batch': 250}


class Entry:
    """The parts of an entry that select replicas, among ``entries`` entries."""

    def __init__(self, entries):
        """Create an entry with counts of all peers at all replicas."""
        clock = SystemClock()
        fleet = FleetView()
        ids = [f'r{number}' for number in range(REPLICAS)]
        for name in ids:
            address = ('127.0.0.1', 1)
            ready = ReplicaState.ready
            fleet.put(Replica(name, SERVICE, address, 'z', SLOTS, ready))
        names = tuple(f'10.0.0.{number}:1' for number in range(entries))
        loads = LoadTable(clock)
        for peer in names[1:]:
            loads.set_peer_loads(peer, dict.fromkeys(ids, Load(1, 1)))
        # Slot times so short that the queues refuse no request.
        capacity = ObservedCapacity(fleet, clock)
        for replica in fleet.ready(SERVICE):
            capacity.record(CompletedRun(replica, 'r', 0, 1e-3, 0))
            # Two replicas of three do not count as usual.
            slower = 1 + int(replica.id[1:]) % 3
            seen = SpeedObservations(slower, 9, 0)
            capacity.add_observations({replica.incarnation: seen})
        runner = SimpleNamespace(
            loads=loads,
            health=NoEjection(),
            capacity=capacity,
        )
        self.route = SimpleNamespace(
            shares=[SimpleNamespace(service=SERVICE, weight=1)],
            kind=RouteKind.streaming,
            target_latency_s=1,
        )
        cells = cells_of(places(*names), fleet, names[0], clock)
        self.attempts = Attempts(
            fleet,
            cells,
            runner,
            'z',
            clock,
            None,
            make_policies(DirectPolicy()),
        )
        sharing = BatchSharing(fleet, cells)
        self.free = FreeReplicas(fleet, runner, sharing)

    def online(self):
        """Select a replica for an online request."""
        call = SimpleNamespace(route=self.route)
        return self.attempts.choose(call, Progress())

    def batch(self):
        """Select a replica for a batch item."""
        return self.free.with_most_room(self.route)


class TestLooks(unittest.TestCase):
    """How often the batch scheduler polls, with a simulated clock."""

    def looks_in_a_second(self, several):
        """Return the polls in a second with a datagram every 5 ms."""
        clock = ManualClock(1)
        pacer = PassPacer(clock, SimpleNamespace(has_several_cells=several))
        looks = 0
        with mock.patch('gevent.sleep', clock.advance):
            while clock.now < 2:
                clock.advance(DATAGRAM_S)
                pacer.wake.set()
                pacer.wait(busy=True)
                looks += 1
        return looks

    @params((True, 50), (False, 200))
    def test_looks(self, several, wanted):
        """In a large fleet the scheduler does not poll at every datagram."""
        looks = self.looks_in_a_second(several)
        self.assertLessEqual(abs(looks - wanted), 1)


class TestFleetCost(unittest.TestCase):
    """Function calls of one selection."""

    @params('online', 'batch')
    def test_choice(self, kind):
        """A selection costs the same with few peers and with many."""
        few = calls_of(getattr(Entry(FEW), kind))
        many = calls_of(getattr(Entry(MANY), kind))
        self.assertLessEqual(many, few * MARGIN)
        self.assertLessEqual(many, BOUNDS[kind])
