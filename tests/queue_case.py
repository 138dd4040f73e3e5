"""A test case with an admission queue and its greenlet."""

import random
import unittest

import gevent

from cactusridge.background import run_forever
from cactusridge.clock import ManualClock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.queueing.admission_queue import AdmissionQueue
from cactusridge.queueing.call_rules import CallRules
from tests.cells_play import cells_of, places, put_replicas
from tests.waiting_calls import CATALOG, call_of, refusal

# Longer than the longest random delay and than the interval of checks.
SETTLE_S = 0.15
# The time left to a caller that has come back, in seconds.
LEFT_S = 3


class QueueCase(unittest.TestCase):
    """A queue before replicas of eight slots, all of them in use."""

    replicas = 1

    def setUp(self):
        """Start the greenlet of the queue."""
        fleet = FleetView()
        put_replicas(fleet, self.replicas)
        self.clock = ManualClock()
        self.free = 0
        self.catalog = CATALOG
        self.queue = AdmissionQueue(
            lambda _: self.free > 0,
            cells_of(places('10.0.0.1:1'), fleet),
            CallRules(lambda: self.catalog),
            self.clock,
            random.Random(1),
        )
        self.running = gevent.spawn(run_forever, self.queue.step)
        self.addCleanup(self.running.kill)
        self.ended = []

    def wait(self, call):
        """Wait with ``call``; record who ended how."""
        try:
            self.queue.wait(call, refusal())
        except Exception as exc:
            self.ended.append((call.req.organisation, type(exc)))
            return exc
        # As a request that is sent, it uses the slot before others run.
        self.free -= 1
        self.ended.append((call.req.organisation, None))
        return None

    def enter(self, organisation='press', left_s=LEFT_S, **others):
        """Let a call wait; return it and its greenlet."""
        call = call_of(organisation, self.clock.now + left_s, **others)
        greenlet = gevent.spawn(self.wait, call)
        gevent.sleep(0)
        return call, greenlet

    def release(self, slots=1):
        """Make slots free and notify the queue."""
        self.free += slots
        self.queue.on_change()
        gevent.sleep(SETTLE_S)
