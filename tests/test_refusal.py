"""Requests that cannot be served in time are refused at once.

The refusal states when to retry.
"""

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
from cactusridge.sidecar.controllers import FillController
from cactusridge.sidecar.gate import Gate
from cactusridge.sidecar.limits import FixedLimit
from cactusridge.startup.models import UpstreamSettings


class TestRefusal(unittest.TestCase):
    """Who is given up on is told at once, and when to come back."""

    def setUp(self):
        """Fill an upstream that frees a slot each second."""
        cfg = UpstreamSettings(
            service='/teams/t/deployments/d/services/s',
            address='127.0.0.1:1',
            slots=1,
            max_waiting=3,
        )
        self.clock = ManualClock()
        self.gate = Gate(
            cfg,
            FixedLimit(1),
            FillController(1),
            self.clock,
        )
        self.running = self.gate.enter(self.order(60))
        self.waiters = [
            gevent.spawn(self.gate.enter, self.order(60)) for _ in range(3)
        ]
        self.addCleanup(gevent.killall, self.waiters)
        gevent.sleep(0)
        for _ in range(2):
            self.clock.advance(1)
            self.gate.leave(self.running)
            gevent.sleep(0)
            ready = [each for each in self.waiters if each.ready()]
            self.running = ready[-1].value

    def order(self, deadline_s: float) -> RunOrder:
        """Return an online order."""
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
        """With a second a slot, half a second is refused without waiting."""
        with self.assertRaises(Overloaded) as refused:
            self.gate.enter(self.order(0.5))
        self.assertTrue(refused.exception.not_run)
        self.assertAlmostEqual(2, refused.exception.retry_after_s, places=2)

    def test_queue_that_is_full(self):
        """The wait that is told grows with those ahead."""
        more = [gevent.spawn(self.gate.enter, self.order(60)) for _ in range(2)]
        self.addCleanup(gevent.killall, more)
        gevent.sleep(0)
        with self.assertRaises(Overloaded) as refused:
            self.gate.enter(self.order(60))
        self.assertAlmostEqual(4, refused.exception.retry_after_s, places=2)


class TestComeBack(unittest.TestCase):
    """Refusals that a later try may not meet say when that is."""

    @params(
        Overloaded,
        Draining,
        NoReplica,
        StoreUnavailable,
        DeadlineExceeded,
    )
    def test_header(self, kind):
        """Also where the code that raises it knows no better."""
        reply = error_reply(kind())
        self.assertGreaterEqual(int(dict(reply.headers)['Retry-After']), 1)
