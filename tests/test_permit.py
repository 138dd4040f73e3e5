"""Nothing is dispatched under a lease that has lapsed."""

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
    """Gives a place at once; ``on_place`` may do something first."""

    def __init__(self, on_place) -> None:
        """Call ``on_place`` before each place is given."""
        self.on_place = on_place

    @contextlib.contextmanager
    def place(self, service, slack_s):
        """Give a place."""
        self.on_place()
        yield None


class Dispatcher:
    """Counts attempts; each fails as not run."""

    attempts = 0

    def check(self, dispatch):
        """Hold nothing back."""

    def attempt(self, dispatch, replica):
        """Fail, so that the item would go again."""
        self.attempts += 1
        raise NoReplica


def new_task() -> ItemTask:
    """Return an item's task."""
    return ItemTask(
        parse_line(job_line(0, 'x').encode(), 1),
        'item',
        Service('/teams/t/deployments/d/services/s', 't', ServiceSettings()),
        0,
        Fence(resource='j/0', number=1),
    )


class TestPermit(unittest.TestCase):
    """A holder that was paused wakes up at each point."""

    def setUp(self):
        """Hold a lease of ten seconds."""
        self.clock = ManualClock()
        self.lease = Lease(CFG, self.clock, 0)
        self.span_held = Event()
        self.span_held.set()
        self.permit = DispatchPermit(self.span_held, self.lease)
        self.dispatcher = Dispatcher()

    def run_item(self, on_place) -> gevent.Greenlet:
        """Run one item in a greenlet of its own."""
        runner = ItemRunner(self.dispatcher, Placer(on_place), self.clock)
        return gevent.spawn(runner.run, new_task(), self.permit)

    def test_pause_while_waiting_for_a_place(self):
        """The lease lapses between the wait and the dispatch."""
        greenlet = self.run_item(lambda: self.clock.advance(60))
        gevent.sleep(0.3)
        greenlet.kill()
        self.assertEqual(0, self.dispatcher.attempts)

    def test_lapsed_before_it_began(self):
        """Nothing goes out until the lease is renewed."""
        self.clock.advance(60)
        greenlet = self.run_item(lambda: None)
        gevent.sleep(0.2)
        self.assertEqual(0, self.dispatcher.attempts)
        self.lease.renew(self.clock.monotonic())
        gevent.sleep(0.3)
        greenlet.kill()
        self.assertGreater(self.dispatcher.attempts, 0)

    def test_lost(self):
        """Once another holds the span the item is dropped."""
        self.span_held.clear()
        with self.assertRaises(LeaseLost):
            self.permit.check()
        greenlet = self.run_item(lambda: None)
        with self.assertRaises(LeaseLost):
            greenlet.get()

    def test_check_says_which(self):
        """A lapsed lease is not yet a lost one."""
        self.clock.advance(60)
        with self.assertRaises(LeaseExpired):
            self.permit.check()
