"""Estimates of the time that requests hold a slot, without a network."""

import unittest
from types import SimpleNamespace
from unittest import mock

from nose2.tools import params

from cactusridge import metrics
from cactusridge.clock import ManualClock
from cactusridge.dispatch.capacity import CompletedRun, MeanCapacity
from cactusridge.dispatch.expectation import Expectation
from cactusridge.dispatch.observed_capacity import ObservedCapacity
from cactusridge.dispatch.online_call import Progress
from cactusridge.dispatch.placement import INITIAL_SLOT_TIME_S
from cactusridge.dispatch.run_recorder import RunRecorder
from cactusridge.dispatch.stream_output import StreamOutput
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address

SLOTS = 6
WORK_S = 0.065
REPLICA = Replica(
    'i-1', 's', Address('127.0.0.1', 1), 'z', SLOTS, ReplicaState.ready
)
ROUTE = SimpleNamespace(name='lookups')


def observed(clock=None):
    """Return estimates without observations."""
    return ObservedCapacity(FleetView(), clock or ManualClock(100))


def done(held_s, queue=0, since_arrival_s=9.0, route=ROUTE.name):
    """Return a completed request."""
    return CompletedRun(REPLICA, route, queue, held_s, since_arrival_s)


class TestSlotTime(unittest.TestCase):
    """The slot time of a service."""

    def test_first_observation(self):
        """The assumed time is forgotten with the first observation.

        An average that starts from 0.5 s refuses short requests for many
        observations, since it expects waits that are several times too long.
        """
        capacity = observed()
        before_s = capacity.slot_s(REPLICA, ROUTE)
        self.assertEqual(INITIAL_SLOT_TIME_S, before_s)
        capacity.record(done(WORK_S))
        self.assertAlmostEqual(WORK_S, capacity.slot_s(REPLICA, ROUTE))
        self.assertAlmostEqual(WORK_S, capacity.queued_slot_s(REPLICA))

    def test_queueing_is_no_work(self):
        """The wait in the queue and earlier attempts do not count.

        With 15 online requests at six slots a request waits for ten slots.
        """
        queue = 15 - SLOTS + 1
        capacity = observed()
        for _ in range(50):
            capacity.record(done(WORK_S * (1 + queue / SLOTS), queue))
        self.assertAlmostEqual(WORK_S, capacity.queued_slot_s(REPLICA))

    def test_queue_of_other_routes(self):
        """Long requests ahead do not make a short route look long."""
        capacity = observed()
        mixed_s = (WORK_S + 0.75) / 2
        for _ in range(30):
            capacity.record(done(WORK_S + mixed_s / SLOTS, 1))
            capacity.record(done(0.75, route='drafts'))
        self.assertLess(capacity.slot_s(REPLICA, ROUTE), 1.2 * WORK_S)

    def test_outlier(self):
        """One request of twenty times the mean moves it by a sixth at most."""
        capacity = observed()
        for _ in range(20):
            capacity.record(done(WORK_S))
        capacity.record(done(20 * WORK_S))
        self.assertLess(capacity.slot_s(REPLICA, ROUTE), WORK_S * 7 / 6)

    def test_errors_only(self):
        """A replica that answers errors fast does not attract requests."""
        capacity = observed()
        for _ in range(20):
            capacity.record(done(WORK_S))
            capacity.record(done(0.001)._replace(is_work=False))
        self.assertAlmostEqual(WORK_S, capacity.slot_s(REPLICA, ROUTE))
        self.assertEqual(1, capacity.speed(REPLICA.incarnation))

    def test_naive_mean(self):
        """The naive policy is an average of the times since the arrival."""
        capacity = MeanCapacity()
        self.assertEqual(INITIAL_SLOT_TIME_S, capacity.queued_slot_s(REPLICA))
        capacity.record(done(WORK_S, since_arrival_s=1.5))
        self.assertAlmostEqual(0.55, capacity.slot_s(REPLICA, ROUTE))


class TestRecorder(unittest.TestCase):
    """What is recorded about a completed request."""

    def setUp(self):
        """Create a recorder of one request."""
        self.clock = ManualClock(100)
        self.found = []
        capacity = SimpleNamespace(
            record=self.found.append, slot_s=lambda *_: WORK_S
        )
        patched = mock.patch.object(metrics.WAIT_ERROR, 'observe')
        self.observe = patched.start()
        self.addCleanup(patched.stop)
        self.progress = Progress()
        self.progress.expected = Expectation(10, WORK_S, 0.1)
        self.recorder = RunRecorder(capacity, self.clock)
        self.call = SimpleNamespace(route=ROUTE, arrived_at=98)

    def run_of(self, elapsed_s):
        """Return a run that was sent ``elapsed_s`` seconds ago."""
        return SimpleNamespace(replica=REPLICA, elapsed_s=lambda: elapsed_s)

    def assert_wait_error(self, wanted):
        """Check the actual minus the expected wait, in seconds."""
        labels, error_s = self.observe.call_args.args
        self.assertEqual({'service': 's'}, labels)
        self.assertAlmostEqual(wanted, error_s)

    def test_plain(self):
        """A plain request is measured from sending, with its queue."""
        run = self.run_of(0.2)
        self.recorder.plain(self.call, run, self.progress, 200)
        self.assertEqual([done(0.2, 10, 2)], self.found)
        self.assert_wait_error(0.2 - WORK_S - 0.1)

    @params(400, 429, 500, 503)
    def test_error(self, status):
        """An error is no observation of the replica's work."""
        self.recorder.plain(
            self.call, self.run_of(0.001), self.progress, status
        )
        self.assertFalse(self.found[0].is_work)
        self.observe.assert_not_called()

    @params((0.3, 0.75), (0, 0.5))
    def test_stream(self, first_s, rest_s):
        """A stream is measured from its first event, without a queue."""
        output = StreamOutput(self.clock)
        self.clock.advance(first_s)
        output.record_events(1)
        self.clock.advance(rest_s)
        run = self.run_of(0.05 + first_s + rest_s)
        self.recorder.stream(self.call, run, self.progress, output)
        found = self.found[0]
        self.assertAlmostEqual(rest_s, found.held_s)
        self.assertAlmostEqual(first_s + rest_s, found.since_arrival_s)
        self.assertEqual(0, found.queue)
        self.assert_wait_error(0.05 + first_s - 0.1)

    @params((0, True), (0.04, True), (0.4, False))
    def test_slow_caller(self, delay_s, is_work):
        """A caller that reads slowly does not make its replica look slow."""
        output = StreamOutput(self.clock)
        for _ in range(5):
            output.record_events(2)
            self.clock.advance(delay_s / 5)
            output.record_taken()
            self.clock.advance(0.1)
        self.recorder.stream(self.call, self.run_of(1), self.progress, output)
        self.assertEqual(8, self.found[0].events)
        self.assertEqual(is_work, self.found[0].is_work)
