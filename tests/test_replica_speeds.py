"""Speeds of replicas relative to their service, without a network."""

import random
import unittest
from types import SimpleNamespace

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch.capacity import CompletedRun, MeanCapacity
from cactusridge.dispatch.observed_capacity import ObservedCapacity
from cactusridge.dispatch.replica_speeds import HALF_LIFE_S
from cactusridge.dispatch.run import Runner
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.loads import LoadTable
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.rules import ByCrashes
from cactusridge.routing.outliers import NoEjection
from tests.cells_play import SERVICE, put_replicas

ROUTE = SimpleNamespace(name='lookups')
WORK_S = 0.065
REPLICAS = 4
PER_S = 20


class Service:
    """A service of four replicas and the estimates of one entry."""

    def __init__(self):
        """Create the service without observations."""
        self.clock = ManualClock(100)
        self.fleet = FleetView()
        put_replicas(self.fleet, REPLICAS)
        self.capacity = ObservedCapacity(self.fleet, self.clock)
        self.replicas = self.fleet.ready(SERVICE)
        self.rng = random.Random(3)

    def serve(self, for_s, slower, streams=False):
        """Complete requests everywhere; the first replica is slower."""
        for _ in range(round(for_s * PER_S)):
            self.clock.advance(1 / PER_S)
            replica = self.rng.choice(self.replicas)
            factor = slower if replica == self.replicas[0] else 1
            self.capacity.record(self.done(replica, factor, streams))

    def done(self, replica, factor, streams):
        """Return a completed request of ``factor`` times the usual time."""
        if streams:
            events = self.rng.randrange(20, 41)
            held_s = 0.02 * events * factor
            return CompletedRun(replica, ROUTE.name, 0, held_s, 0, events)
        held_s = WORK_S * self.rng.uniform(0.7, 1.3) * factor
        if self.rng.randrange(100) == 0:
            held_s *= 5
        return CompletedRun(replica, ROUTE.name, 0, held_s, 0)

    def speeds(self):
        """Return the speeds of all replicas."""
        return [self.capacity.speed(each.incarnation) for each in self.replicas]


class TestReplicaSpeeds(unittest.TestCase):
    """Speeds follow from completed requests and decay."""

    def setUp(self):
        """Create a service."""
        self.service = Service()
        self.first = self.service.replicas[0]

    @params(False, True)
    def test_equal_replicas(self, streams):
        """Equal replicas count as usual, at any moment.

        Otherwise a fleet of equal replicas would be reordered by noise.
        """
        for _ in range(100):
            self.service.serve(1, 1, streams)
            self.assertEqual([1] * REPLICAS, self.service.speeds())

    @params(
        (1 / 0.6, False, 0.6),
        (1 / 0.6, True, 0.6),
        (1 / 1.6, False, 1.6),
        (1 / 1.6, True, 1.6),
    )
    def test_uneven_replicas(self, slower, streams, speed):
        """A replica of another speed is recognised within ten seconds."""
        self.service.serve(10, slower, streams)
        found = self.service.speeds()
        self.assertLess(abs(found[0] - speed), 0.3 * speed)
        self.assertEqual([1] * (REPLICAS - 1), found[1:])
        slot_s = self.service.capacity.slot_s(self.first, ROUTE)
        usual_s = self.service.capacity.slot_s(self.service.replicas[1], ROUTE)
        self.assertAlmostEqual(usual_s / found[0], slot_s)

    def test_outlier(self):
        """One request of fifty times the mean changes no speed."""
        self.service.serve(2, 1)
        self.service.clock.advance(100)
        self.service.capacity.record(
            self.service.done(self.first, 50, streams=False)
        )
        self.assertEqual(1, self.service.speeds()[0])

    def test_tried_again(self):
        """A replica that gets no requests any more counts as usual again.

        Otherwise a replica that was slow for some seconds, and is ranked
        last since, would never be used again.
        """
        self.service.serve(10, 3)
        self.assertLess(self.service.speeds()[0], 0.7)
        self.service.clock.advance(4 * HALF_LIFE_S)
        self.assertEqual(1, self.service.speeds()[0])

    def test_next_incarnation(self):
        """A restarted replica inherits no speed."""
        clock = self.service.clock
        capacity = self.service.capacity
        runner = Runner(
            None,
            LoadTable(clock),
            NoEjection(),
            CrashEvidence(ByCrashes(), clock),
            clock,
            capacity,
        )
        self.service.fleet.add_incarnation_listener(runner)
        self.service.serve(10, 3)
        self.assertNotEqual(1, capacity.speed(self.first.incarnation))
        self.service.fleet.put(self.first._replace(started_at_ms=5))
        self.assertEqual(1, capacity.speed(self.first.incarnation))
        self.assertEqual(
            [0],
            [
                each.samples
                for each in capacity.of_service(SERVICE)
                if each.incarnation.endswith('@5')
            ],
        )

    def test_listing(self):
        """Operators see the samples and their age, of silent replicas too."""
        found = self.service.capacity.of_service(SERVICE)
        self.assertEqual([(1, 0, 0)] * REPLICAS, [each[2:] for each in found])
        self.service.serve(10, 2)
        self.service.clock.advance(3)
        found = self.service.capacity.of_service(SERVICE)[0]
        self.assertEqual(self.first.incarnation, found.incarnation)
        self.assertLess(found.speed, 0.8)
        self.assertGreater(found.samples, 3)
        self.assertGreaterEqual(found.age_s, 3)
        self.assertLess(found.age_s, 5)

    def test_naive(self):
        """The naive policy knows no speeds."""
        capacity = MeanCapacity()
        slow = self.service.done(self.first, 3, streams=False)
        for _ in range(50):
            capacity.record(slow)
        self.assertEqual(1, capacity.speed(self.first.incarnation))
        self.assertEqual([], capacity.of_service(SERVICE))
