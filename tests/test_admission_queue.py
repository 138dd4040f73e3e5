"""The admission queue with greenlets: starts, ends of waits, close."""

import gevent
from nose2.tools import params

from cactusridge import events
from cactusridge.dispatch.catalog import RouteKind
from cactusridge.dispatch.queueing import NoQueueing
from cactusridge.dispatch.wait_too_long import WaitTooLong
from cactusridge.errors import (
    CallerDisconnected,
    Draining,
    NotFound,
    Overloaded,
)
from cactusridge.organisations.errors import UnknownKey
from cactusridge.organisations.permit import OpenPermit
from cactusridge.queueing.admission_queue import CHECK_INTERVAL_S
from cactusridge.queueing.waiting_line import MAX_REQUESTS
from tests.emitted import emitted
from tests.queue_case import LEFT_S, SETTLE_S, QueueCase
from tests.waiting_calls import CATALOG, ROUTE, TIMEOUT_S, call_of, refusal


class RevocablePermit(OpenPermit):
    """A permit that is valid until its key is revoked."""

    def __init__(self):
        """Start with a valid key."""
        self.revoked = False

    def check(self):
        """Raise UnknownKey if the key has been revoked."""
        if self.revoked:
            raise UnknownKey


class TestStarts(QueueCase):
    """Requests start when slots become free."""

    def test_waits_for_a_slot(self):
        """A request waits while no slot is free, and starts with one."""
        self.enter()
        gevent.sleep(SETTLE_S)
        self.assertEqual([], self.ended)
        self.release()
        self.assertEqual([('press', None)], self.ended)
        self.assertEqual([], self.queue.summary())

    def test_one_start_per_slot(self):
        """Of several requests only as many start as slots are free.

        Otherwise they would queue at the replica before on-time requests.
        """
        for _ in range(5):
            self.enter()
        self.release(2)
        self.assertEqual(2, len(self.ended))
        self.assertEqual(3, self.queue.summary()[0].count)

    def test_order(self):
        """The organisation's priority goes first, then fair shares."""
        for name in ('press', 'press', 'late', 'first'):
            self.enter(name)
        self.release(3)
        started = [name for name, _ in self.ended]
        self.assertEqual(['first', 'late', 'press'], sorted(started))
        self.assertEqual('first', started[0])

    def test_change_of_peers_is_not_needed(self):
        """A slot that no message announces is found by the next check."""
        self.enter()
        self.free = 1
        gevent.sleep(SETTLE_S)
        self.assertEqual(1, len(self.ended))


class TestRefusals(QueueCase):
    """Requests that must not wait."""

    @params(
        # A first attempt returns later, with the Retry-After of the policy.
        ('press', TIMEOUT_S),
        # Its answer would come too late.
        ('press', 0.9),
        # A caller without an organisation.
        ('', LEFT_S),
    )
    def test_at_once(self, organisation, left_s):
        """The original refusal is raised at once."""
        _, greenlet = self.enter(organisation, left_s)
        found = greenlet.get(timeout=1)
        self.assertIsInstance(found, WaitTooLong)
        self.assertEqual(0.5, found.retry_after_s)

    def test_naive(self):
        """The naive policy refuses also those that could wait."""
        with self.assertRaises(WaitTooLong):
            NoQueueing().wait(call_of('press', LEFT_S), refusal())

    def test_those_behind_too_many(self):
        """A request that would have its turn too late is refused at once.

        One entry with one replica has a turn every 0.094 s. With 3 s left,
        0.28 s to the next slot and 0.75 s for the answer, 21 turns fit.
        """
        for _ in range(30):
            self.enter()
        self.assertEqual(22, self.queue.summary()[0].count)
        self.assertEqual([('press', WaitTooLong)] * 8, self.ended)


class TestBound(QueueCase):
    """Requests past the bound of an entry with many slots."""

    replicas = 40

    def test_newest_of_the_largest(self):
        """The organisation with the most waiting loses its newest request.

        Otherwise one organisation that sends too much keeps all others out.
        """
        waits = [self.enter('large')[1] for _ in range(MAX_REQUESTS)]
        self.assertEqual([], self.ended)
        self.enter('small')
        displaced = waits[-1].get(timeout=1)
        self.assertEqual(Overloaded, type(displaced))
        self.assertEqual([('large', Overloaded)], self.ended)
        counts = [each.count for each in self.queue.summary()]
        self.assertEqual([MAX_REQUESTS - 1, 1], counts)


class TestEnds(QueueCase):
    """Waits that end without a slot."""

    def test_disconnect(self):
        """A caller that disconnects leaves the queue at once.

        Otherwise a slot would be spent on an answer that nobody reads.
        """
        call, greenlet = self.enter()
        call.caller.record_disconnect()
        self.assertEqual([], self.queue.summary())
        self.assertIsInstance(greenlet.get(timeout=1), CallerDisconnected)

    def test_revoked(self):
        """The wait ends with the key that it was admitted for."""
        permit = RevocablePermit()
        _, greenlet = self.enter(permit=permit)
        permit.revoked = True
        self.clock.advance(CHECK_INTERVAL_S)
        self.assertIsInstance(greenlet.get(timeout=1), UnknownKey)

    @params(
        (ROUTE._replace(name='renamed'),),
        (
            ROUTE._replace(name='longer', prefix='/longer/'),
            ROUTE._replace(name='rest'),
        ),
    )
    def test_other_route_of_the_path(self, *routes):
        """A wait isn't ended while some route serves its path.

        A caller doesn't try again after 404.
        """
        _, greenlet = self.enter()
        self.catalog = self.catalog._replace(version=2, routes=routes)
        self.clock.advance(CHECK_INTERVAL_S)
        gevent.sleep(SETTLE_S)
        self.assertEqual([], self.ended)
        self.release()
        self.assertIsNone(greenlet.get(timeout=1))

    @params((), (ROUTE._replace(name='jobs', kind=RouteKind.batch),))
    def test_route_removed(self, *routes):
        """The wait ends when the route is no longer configured.

        A route of batch jobs that covers the path does not serve the request.
        """
        _, greenlet = self.enter()
        self.catalog = CATALOG._replace(routes=routes)
        self.clock.advance(CHECK_INTERVAL_S)
        self.assertIsInstance(greenlet.get(timeout=1), NotFound)

    def test_deadline(self):
        """The wait ends as soon as no answer can come before the deadline.

        A request held until its deadline keeps its caller from going
        elsewhere.
        """
        _, greenlet = self.enter()
        self.clock.advance(LEFT_S - 0.8)
        gevent.sleep(SETTLE_S)
        self.assertEqual([], self.ended)
        self.clock.advance(0.1)
        found = greenlet.get(timeout=1)
        self.assertEqual(Overloaded, type(found))

    def test_expired_do_not_hold_back(self):
        """A request is not refused for those before it that end."""
        self.enter('first', left_s=1.1)
        self.enter('press', left_s=1.2)
        self.clock.advance(0.4)
        gevent.sleep(SETTLE_S)
        self.assertEqual([('first', Overloaded)], self.ended)

    def test_killed(self):
        """A greenlet that is killed leaves the queue."""
        _, greenlet = self.enter()
        greenlet.kill()
        self.assertEqual([], self.queue.summary())

    def test_close(self):
        """At a planned stop all are refused and may return at once.

        The callers have time left for another entry; requests that arrive
        afterwards do not wait.
        """
        greenlets = [self.enter()[1] for _ in range(3)]
        self.queue.close()
        for greenlet in greenlets:
            found = greenlet.get(timeout=1)
            self.assertIsInstance(found, Draining)
            self.assertEqual(0, found.retry_after_s)
            self.assertTrue(found.not_run)
        _, late = self.enter()
        self.assertIsInstance(late.get(timeout=1), WaitTooLong)

    def test_no_greenlet(self):
        """A wait ends with the deadline though the queue does not run."""
        self.running.kill()
        _, greenlet = self.enter(left_s=1.1)
        gevent.sleep(SETTLE_S)
        self.assertEqual([], self.ended)
        self.assertEqual(Overloaded, type(greenlet.get(timeout=2)))
        self.assertEqual([], self.queue.summary())

    def test_log(self):
        """Each wait is logged at its start and its end."""
        with emitted() as found:
            self.enter()
            self.release()
        wanted = [events.REQUEST_QUEUED, events.REQUEST_DEQUEUED]
        self.assertEqual(wanted, [each for each in found if each in wanted])
