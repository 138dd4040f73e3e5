"""Which route the items of an accepted job have under later configurations.

The route was looked up by the path of each item. A route of another kind that
covered the path had no time after which an item may be given up, so that all
waiting items were given up after 3 s; others ran at its service.
"""

import unittest

import gevent
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch.catalog import (
    CallerLimits,
    Catalog,
    RouteKind,
    ServiceShare,
)
from cactusridge.jobs.item_queue import GIVE_UP_MARGIN_S, ItemQueue
from cactusridge.jobs.model import ItemState
from cactusridge.jobs.urgency import OnTimeFirst
from cactusridge.platform.catalog_holder import decode
from cactusridge.store.store_clock import StoreClock
from standins.machines.site import ROUTE_DEFAULTS, ROUTES
from standins.waiting import wait_for
from tests.machine_case import MachineCase
from tests.test_waiting_line import ACCEPTED_UNDER, NOW_MS, ROUTE, FakeJob

# Older than the time after which the items were given up.
AGE_S = GIVE_UP_MARGIN_S + 1


def at(prefix, service='model', **changes):
    """Return a batch route with another prefix and service."""
    shares = (ServiceShare(service, 1),)
    return ROUTE._replace(name=prefix, prefix=prefix, shares=shares, **changes)


def stream_at(prefix, service='chat'):
    """Return a streaming route, which has no time to give up items."""
    return at(
        prefix,
        service,
        kind=RouteKind.streaming,
        due_s=0,
        abandon_after_s=0,
    )


MOVED = at('/lots/', 'second')
SHORT = at('/lots/a/', 'second', abandon_after_s=1, due_s=1)
SPLIT = (at('/lots/a/', 'part-a'), at('/lots/b/', 'part-b'))


class QueueOfOne(unittest.TestCase):
    """A queue with one item of a job accepted at ``/lots/``."""

    def setUp(self):
        """Create an item that has waited for some seconds."""
        self.routes = (ROUTE,)
        self.version = ACCEPTED_UNDER
        store_clock = StoreClock(ManualClock())
        store_clock.note(NOW_MS + AGE_S * 1000)
        self.line = ItemQueue(
            ManualClock(),
            store_clock,
            self.catalog,
            OnTimeFirst(),
        )
        self.job = FakeJob()
        self.put('/lots/a/0')

    def catalog(self):
        """Return the configuration in force."""
        return Catalog(self.version, self.routes, CallerLimits())

    def put(self, path):
        """Let the item have another path."""
        task = self.job.pending[0]
        task.item = task.item._replace(path=path)

    def service(self):
        """Return the service at which the item may start, if it may."""
        found = self.line.urgent_first([self.job])
        return found[0].route.shares[0].service if found else None


class TestRouteOfAJob(QueueOfOne):
    """An item stays with the route of its job as long as that exists."""

    @params(
        ('alone', (ROUTE,), 'model'),
        ('a stream below', (ROUTE, stream_at('/lots/a/')), 'model'),
        ('the same, listed first', (stream_at('/lots/a/'), ROUTE), 'model'),
        ('a stream for one item', (ROUTE, stream_at('/lots/a/0/')), 'model'),
        ('a stream above', (stream_at('/'), ROUTE), 'model'),
        ('a shorter batch route below', (ROUTE, SHORT), 'model'),
        ('renamed', (ROUTE._replace(name='other'),), 'model'),
        ('moved', (MOVED,), 'second'),
        ('moved, a stream below', (stream_at('/lots/a/'), MOVED), 'second'),
        ('another host', (ROUTE, SHORT._replace(host='other')), 'model'),
        ('split', SPLIT, 'part-a'),
        ('split, a stream below', (*SPLIT, stream_at('/lots/a/0/')), 'part-a'),
        ('split from above', (*SPLIT, at('/', 'all')), 'part-a'),
        ('merged', (at('/', 'all'), stream_at('/lots/')), 'all'),
    )
    def test_waits(self, what, routes, service):
        """The item may start at a service of its route and is not given up."""
        self.routes = routes
        self.assertEqual(service, self.service(), what)
        self.assertEqual([], self.job.ends, what)

    def test_merged(self):
        """The route that covers that of the job takes its items over.

        One that covers only some of their paths does not.
        """
        self.job.head = self.job.head._replace(path='/lots/in/')
        self.routes = (ROUTE, SHORT)
        self.assertEqual('model', self.service())
        self.assertEqual([], self.job.ends)

    @params(
        ('no route', ()),
        ('only a stream', (stream_at('/lots/'), stream_at('/lots/a/'))),
        ('another part of the split', (SPLIT[1],)),
        ('another host', (ROUTE._replace(host='other'),)),
        ('too old', (ROUTE._replace(abandon_after_s=0.5),)),
    )
    def test_given_up(self, what, routes):
        """The item is given up with its route, or when that allows it."""
        self.routes = routes
        self.assertIsNone(self.service(), what)
        self.assertEqual([ItemState.given_up], self.job.ends, what)

    @params('/lots/a/0?q=/x/', '/elsewhere/0', '/')
    def test_any_path(self, path):
        """The paths of items need not be below the prefix of the route."""
        self.put(path)
        self.routes = (stream_at('/elsewhere/'), ROUTE, stream_at('/lots/a/'))
        self.assertEqual('model', self.service())

    def test_comes_and_goes(self):
        """Routes below come, go and come again; the item is as before."""
        for below in ((), (SHORT,), (), (stream_at('/lots/a/'),), ()) * 2:
            self.version += 1
            self.routes = (ROUTE, *below)
            self.assertEqual('model', self.service())
        self.assertEqual([], self.job.ends)

    def test_times(self):
        """Due time and time to give up are those of the job's route."""
        self.routes = (ROUTE, SHORT)
        found = self.line.urgent_first([self.job])[0].route
        self.assertEqual(ROUTE, found)
        slower = ROUTE._replace(due_s=40, abandon_after_s=90)
        self.routes = (slower, SHORT)
        self.version += 1
        self.assertEqual(slower, self.line.urgent_first([self.job])[0].route)


class TestNoTimeToGiveUp(QueueOfOne):
    """A batch route that names no ``max_wait_s`` keeps its items."""

    def test_waits(self):
        """The item is not given up, however old it is."""
        route = {**ROUTE_DEFAULTS, **ROUTES[-1], 'host': 'h'}
        route.pop('max_wait_s')
        self.routes = decode({'version': 1, 'routes': [route]}).routes
        self.assertEqual('model', self.service())
        self.assertEqual([], self.job.ends)


class TestRouteAdded(MachineCase):
    """Entries with open jobs get a route below the prefix of the jobs."""

    replicas = 1
    slots = 1
    entries = ('one',)

    def configure_with(self, below):
        """Add a route below the batch route, or remove it again."""
        added = {'name': 'below', 'path_prefix': '/lots/1/', **below}
        self.site.configure([*ROUTES, added] if below else ROUTES)

    def is_accepted(self):
        """Submit the job; return whether it is accepted, not refused."""
        status = self.site.submit('one', 'job', ['4 0.4'] * 4)
        self.assertIn(status, {202, 503})
        return status == 202

    @params(
        ('sent before', True),
        ('sent after', False),
    )
    def test_stream_below(self, when, is_sent_first):
        """All items are completed: each takes its turn, also after 3 s."""
        stream = {'kind': 'streaming', 'service': 'none'}
        if not is_sent_first:
            self.configure_with(stream)
            gevent.sleep(1)
        self.site.item_path = '/lots/1/{}'
        # A store that is late on a busy machine has it refused at first.
        wait_for('it is accepted', self.is_accepted)
        if is_sent_first:
            self.configure_with(stream)
        self.wait_done('one', 'job', 4)
        states = {each['state'] for each in self.site.results('one', 'job')}
        self.assertEqual({'completed'}, states, when)
