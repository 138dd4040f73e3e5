"""Following a table through outages and lost history."""

import itertools
import random
import unittest

from nose2.tools import params

from cactusridge import events
from cactusridge.clock import ManualClock
from cactusridge.errors import StoreUnavailable
from cactusridge.store.breaker import Breaker
from cactusridge.store.contact import AWAY_S, StoreContact
from cactusridge.store.table import Row
from cactusridge.store.table_follower import (
    REREAD_S,
    TableFollower,
)
from cactusridge.store.unreadable import UnreadableRecord
from cactusridge.store.watch import HistoryLost
from tests.emitted import emitted
from tests.scripted_watch import Rows, ScriptedWatch


class TestTableFollower(unittest.TestCase):
    """Whole once, then changes; whole again when changes were lost."""

    def setUp(self):
        """Follow a scripted watch."""
        self.clock = ManualClock()
        self.watch = ScriptedWatch()
        self.listener = Rows()
        self.follower = TableFollower(
            self.watch,
            't',
            ['t//'],
            self.listener,
            self.clock,
            StoreContact(self.clock),
        )

    def test_lost_history_is_read_whole(self):
        """Changes that the store dropped are found by reading all."""
        self.watch.rows = [Row('t//a', {}, 1)]
        self.follower.step()
        self.watch.failures = [HistoryLost()]
        self.follower.step()
        self.watch.rows = [Row('t//b', {}, 2)]
        self.follower.step()
        self.assertEqual(['all', 'after 1', 'all'], self.watch.asked)
        self.assertEqual({'t//b'}, set(self.listener.rows))

    def test_quiet_feed_is_no_proof(self):
        """Now and then everything is read, whatever the feed says."""
        self.follower.step()
        self.follower.step()
        self.clock.advance(REREAD_S + 1)
        self.follower.step()
        self.assertEqual(['all', 'after 1', 'all'], self.watch.asked)

    def test_outage(self):
        """An outage changes nothing but the age of what is known."""
        self.assertEqual(float('inf'), self.follower.seconds_since_answer())
        self.watch.rows = [Row('t//a', {}, 1)]
        self.follower.step()
        self.clock.advance(3)
        self.watch.failures = [StoreUnavailable()]
        self.follower.step()
        self.assertEqual({'t//a'}, set(self.listener.rows))
        self.assertEqual(3, self.follower.seconds_since_answer())


class FailingRows(Rows):
    """Fails at one row, or at what is told of the whole table."""

    def __init__(self, failing: str, failure: Exception) -> None:
        """Fail with ``failure`` at the row or call ``failing``."""
        super().__init__()
        self.failing = failing
        self.failure = failure

    def put(self, row):
        """Keep a row, or fail."""
        if row.key == self.failing:
            raise self.failure
        super().put(row)

    def retain(self, keys):
        """Forget the others, or fail."""
        if self.failing == 'retain':
            raise self.failure
        super().retain(keys)

    def store_recovered(self, since):
        """Fail or not."""
        if self.failing == 'store_recovered':
            raise self.failure


class TestFailingListener(unittest.TestCase):
    """What a listener cannot take costs that alone."""

    @params(
        *itertools.product(
            ('t//a', 't//b', 'retain', 'store_recovered'),
            (StoreUnavailable(), KeyError('x'), AttributeError()),
        ),
    )
    def test_others_are_told(self, failing, failure):
        """Each other row is put, and what follows is only the changes."""
        watch = ScriptedWatch()
        listener = FailingRows(failing, failure)
        clock = ManualClock()
        contact = StoreContact(clock)
        follower = TableFollower(watch, 't', ['t//'], listener, clock, contact)
        clock.advance(AWAY_S + 1)
        contact.answered()
        watch.rows = [Row('t//a', {}, 1), Row('t//b', {}, 1)]
        with emitted() as found:
            follower.step()
            follower.step()
        self.assertEqual({'t//a', 't//b'} - {failing}, set(listener.rows))
        self.assertEqual(['all', 'after 1'], watch.asked)
        self.assertEqual([events.LISTENER_FAILED], found)
        self.assertEqual(0, follower.seconds_since_answer())

    def test_typed_failure(self):
        """A row that the listener refuses is told once a version."""
        watch = ScriptedWatch()
        listener = FailingRows('t//a', UnreadableRecord('t//a'))
        clock = ManualClock()
        contact = StoreContact(clock)
        follower = TableFollower(watch, 't', ['t//'], listener, clock, contact)
        with emitted() as found:
            for version in (1, 1, 1, 2, 2):
                watch.rows = [Row('t//a', {}, version), Row('t//b', {}, 1)]
                follower.step()
        self.assertEqual([events.ROW_UNREADABLE] * 2, found)
        self.assertEqual({'t//b'}, set(listener.rows))


class TestBreakerPause(unittest.TestCase):
    """How soon the store is asked again after an outage."""

    def test_longest_pause(self):
        """However long the outage, the pause keeps to its bound."""
        clock = ManualClock()
        breaker = Breaker(clock, random.Random(1), 0.3)
        for _ in range(40):
            breaker.failed()
            self.assertLessEqual(breaker.wait_s(), 0.3)
