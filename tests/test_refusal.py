"""A request that cannot be served in time is refused with Retry-After."""

import unittest

import gevent
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.errors import (
    DeadlineExceeded,
    Draining,
    NoReplica,
    Overloaded,
    StoreUnavailable,
)
from cactusridge.http.app import error_reply
from cactusridge.orders import RunOrder, WorkClass
from cactusridge.sidecar.controllers import FillSlotsController
from cactusridge.sidecar.gate import AdmissionGate
from cactusridge.sidecar.limits import FixedLimit
from cactusridge.startup.models import UpstreamSettings


class TestRefusal(unittest.TestCase):
    """The gate refuses an order at once if it expects to miss the deadline."""

    def setUp(self):
        """Fill the queue of an upstream that releases a slot each second."""
        cfg = UpstreamSettings(
            service='/teams/t/deployments/d/services/s',
            address='127.0.0.1:1',
            slots=1,
            max_waiting=3,
        )
        self.clock = ManualClock()
        self.gate = AdmissionGate(
            cfg,
            FixedLimit(1),
            FillSlotsController(1),
            self.clock,
        )
        self.running = self.gate.acquire(self.order(60))
        self.waiters = [
            gevent.spawn(self.gate.acquire, self.order(60)) for _ in range(3)
        ]
        self.addCleanup(gevent.killall, self.waiters)
        gevent.sleep(0)
        for _ in range(2):
            self.clock.advance(1)
            self.gate.release(self.running)
            gevent.sleep(0)
            ready = [each for each in self.waiters if each.ready()]
            self.running = ready[-1].value

    def order(self, deadline_s: float) -> RunOrder:
        """Return an online order with the given deadline."""
        return RunOrder(
            id=f'r{id(self)}',
            incarnation='i',
            service='/teams/t/deployments/d/services/s',
            team='t',
            work=WorkClass.online,
            path='/',
            deadline_s=deadline_s,
        )

    def test_deadline_that_cannot_be_met(self):
        """A deadline of 0.5 s is refused when a slot takes 1 s."""
        with self.assertRaises(Overloaded) as refused:
            self.gate.acquire(self.order(0.5))
        self.assertTrue(refused.exception.not_run)
        self.assertAlmostEqual(2, refused.exception.retry_after_s, places=2)

    def test_queue_that_is_full(self):
        """The retry time grows with the number of queued orders."""
        more = [
            gevent.spawn(self.gate.acquire, self.order(60)) for _ in range(2)
        ]
        self.addCleanup(gevent.killall, more)
        gevent.sleep(0)
        with self.assertRaises(Overloaded) as refused:
            self.gate.acquire(self.order(60))
        self.assertAlmostEqual(4, refused.exception.retry_after_s, places=2)


class TestComeBack(unittest.TestCase):
    """Errors that may be temporary are sent with a Retry-After header."""

    @params(
        Overloaded,
        Draining,
        NoReplica,
        StoreUnavailable,
        DeadlineExceeded,
    )
    def test_header(self, kind):
        """The error class has a default if no retry time is passed."""
        reply = error_reply(kind())
        self.assertGreaterEqual(int(dict(reply.headers)['Retry-After']), 1)
