"""No item is dispatched under an expired lease."""

import contextlib
import unittest

import gevent
from gevent.event import Event

from cactusridge.batch.held_span import LeaseLost
from cactusridge.batch.item_runner import ItemRunner, ItemTask
from cactusridge.batch.lease import Lease
from cactusridge.batch.lines import parse_line
from cactusridge.batch.permit import DispatchPermit, LeaseExpired
from cactusridge.clock import ManualClock
from cactusridge.errors import NoReplica
from cactusridge.orders import Fence
from cactusridge.settings.catalog import Service
from cactusridge.settings.schema import ServiceSettings
from cactusridge.startup.models import BatchSettings
from tests.rig_case import job_line

CFG = BatchSettings(lease_s=10, lease_margin_s=1)


class Placer:
    """Placer that assigns a replica at once, after calling ``on_place``."""

    def __init__(self, on_place) -> None:
        """Call ``on_place`` before each assignment."""
        self.on_place = on_place

    @contextlib.contextmanager
    def place(self, service, slack_s):
        """Enter the context without a replica."""
        self.on_place()
        yield None


class Dispatcher:
    """Dispatcher that counts attempts and fails each one as not run."""

    attempts = 0

    def check(self, dispatch):
        """Accept every dispatch."""

    def attempt(self, dispatch, replica):
        """Raise NoReplica, which makes the runner retry the item."""
        self.attempts += 1
        raise NoReplica


def new_task() -> ItemTask:
    """Return a task for one item."""
    return ItemTask(
        parse_line(job_line(0, 'x').encode(), 1),
        'item',
        Service('/teams/t/deployments/d/services/s', 't', ServiceSettings()),
        0,
        Fence(resource='j/0', number=1),
    )


class TestPermit(unittest.TestCase):
    """A suspended holder resumes at different points of a dispatch."""

    def setUp(self):
        """Create a permit with a lease of ten seconds."""
        self.clock = ManualClock()
        self.lease = Lease(CFG, self.clock, 0)
        self.span_held = Event()
        self.span_held.set()
        self.permit = DispatchPermit(self.span_held, self.lease)
        self.dispatcher = Dispatcher()

    def run_item(self, on_place) -> gevent.Greenlet:
        """Run one item in a new greenlet."""
        runner = ItemRunner(self.dispatcher, Placer(on_place), self.clock)
        return gevent.spawn(runner.run, new_task(), self.permit)

    def test_pause_while_waiting_for_a_place(self):
        """An item is not sent if the lease expires while it is placed."""
        greenlet = self.run_item(lambda: self.clock.advance(60))
        gevent.sleep(0.3)
        greenlet.kill()
        self.assertEqual(0, self.dispatcher.attempts)

    def test_lapsed_before_it_began(self):
        """Under an expired lease no item is sent until it is renewed."""
        self.clock.advance(60)
        greenlet = self.run_item(lambda: None)
        gevent.sleep(0.2)
        self.assertEqual(0, self.dispatcher.attempts)
        self.lease.renew(self.clock.monotonic())
        gevent.sleep(0.3)
        greenlet.kill()
        self.assertGreater(self.dispatcher.attempts, 0)

    def test_lost(self):
        """An item raises LeaseLost when the span is no longer held."""
        self.span_held.clear()
        with self.assertRaises(LeaseLost):
            self.permit.check()
        greenlet = self.run_item(lambda: None)
        with self.assertRaises(LeaseLost):
            greenlet.get()

    def test_check_says_which(self):
        """An expired lease raises LeaseExpired rather than LeaseLost."""
        self.clock.advance(60)
        with self.assertRaises(LeaseExpired):
            self.permit.check()
