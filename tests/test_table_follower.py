"""Tests of following a table through outages and lost history."""

import itertools
import random
import unittest

from nose2.tools import params

from cactusridge import events
from cactusridge.clock import ManualClock
from cactusridge.errors import StoreUnavailable
from cactusridge.store.breaker import Breaker
from cactusridge.store.contact import OUTAGE_S, StoreContact
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
    """The table is read in full, then by changes, and in full again."""

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
        """If the store has dropped changes, all rows are read again."""
        self.watch.rows = [Row('t//a', {}, 1)]
        self.follower.step()
        self.watch.failures = [HistoryLost()]
        self.follower.step()
        self.watch.rows = [Row('t//b', {}, 2)]
        self.follower.step()
        self.assertEqual(['all', 'after 1', 'all'], self.watch.asked)
        self.assertEqual({'t//b'}, set(self.listener.rows))

    def test_quiet_feed_is_no_proof(self):
        """All rows are read again after REREAD_S without changes."""
        self.follower.step()
        self.follower.step()
        self.clock.advance(REREAD_S + 1)
        self.follower.step()
        self.assertEqual(['all', 'after 1', 'all'], self.watch.asked)

    def test_outage(self):
        """An outage keeps the rows and increases the time of silence."""
        self.assertEqual(float('inf'), self.follower.seconds_since_answer())
        self.watch.rows = [Row('t//a', {}, 1)]
        self.follower.step()
        self.clock.advance(3)
        self.watch.failures = [StoreUnavailable()]
        self.follower.step()
        self.assertEqual({'t//a'}, set(self.listener.rows))
        self.assertEqual(3, self.follower.seconds_since_answer())


class FailingRows(Rows):
    """A listener that raises for one row or in one method."""

    def __init__(self, failing: str, failure: Exception) -> None:
        """Raise ``failure`` for the row or in the method ``failing``."""
        super().__init__()
        self.failing = failing
        self.failure = failure

    def put(self, row):
        """Keep a row, or raise."""
        if row.key == self.failing:
            raise self.failure
        super().put(row)

    def retain(self, keys):
        """Remove the other rows, or raise."""
        if self.failing == 'retain':
            raise self.failure
        super().retain(keys)

    def store_recovered(self, since):
        """Do nothing, or raise."""
        if self.failing == 'store_recovered':
            raise self.failure


class TestFailingListener(unittest.TestCase):
    """An error of a listener does not affect other rows."""

    @params(
        *itertools.product(
            ('t//a', 't//b', 'retain', 'store_recovered'),
            (StoreUnavailable(), KeyError('x'), AttributeError()),
        ),
    )
    def test_others_are_told(self, failing, failure):
        """The other rows are processed, and only changes are read next."""
        watch = ScriptedWatch()
        listener = FailingRows(failing, failure)
        clock = ManualClock()
        contact = StoreContact(clock)
        follower = TableFollower(watch, 't', ['t//'], listener, clock, contact)
        clock.advance(OUTAGE_S + 1)
        contact.record_reply()
        watch.rows = [Row('t//a', {}, 1), Row('t//b', {}, 1)]
        with emitted() as found:
            follower.step()
            follower.step()
        self.assertEqual({'t//a', 't//b'} - {failing}, set(listener.rows))
        self.assertEqual(['all', 'after 1'], watch.asked)
        self.assertEqual([events.LISTENER_FAILED], found)
        self.assertEqual(0, follower.seconds_since_answer())

    def test_typed_failure(self):
        """Each version of a row that the listener rejects is logged once."""
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
    """The backoff of the circuit breaker."""

    def test_longest_pause(self):
        """The backoff never exceeds its maximum."""
        clock = ManualClock()
        breaker = Breaker(clock, random.Random(1), 0.3)
        for _ in range(40):
            breaker.record_failure()
            self.assertLessEqual(breaker.wait_s(), 0.3)
