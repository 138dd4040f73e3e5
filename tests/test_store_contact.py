"""Tests of detecting outages of the store and of its contact time."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.store.contact import OUTAGE_S, RECENT_S, StoreContact
from cactusridge.store.table_follower import TableFollower
from tests.scripted_watch import Rows, ScriptedWatch


class Returns(Rows):
    """Keeps the times at which outages of the store ended."""

    def __init__(self) -> None:
        """Start with no outages."""
        super().__init__()
        self.returns: list[float] = []

    def store_recovered(self, since):
        """Keep the end of an outage."""
        self.returns.append(since)


class TestOutages(unittest.TestCase):
    """The listener is notified of outages, but not of other silences."""

    def setUp(self):
        """Follow a scripted watch and record other answers of the store."""
        self.clock = ManualClock()
        self.contact = StoreContact(self.clock)
        self.watch = ScriptedWatch()
        self.listener = Returns()
        self.follower = TableFollower(
            self.watch,
            't',
            ['t//'],
            self.listener,
            self.clock,
            self.contact,
        )

    def read(self, after_s):
        """Advance the clock by ``after_s`` and answer the watch."""
        self.clock.advance(after_s)
        self.contact.record_reply()
        self.follower.step()

    @params((OUTAGE_S, []), (OUTAGE_S + 1, [OUTAGE_S + 1]))
    def test_start(self, after_s, returns):
        """A first read ends an outage only if it took over OUTAGE_S."""
        began_at = self.clock.monotonic()
        self.read(after_s)
        self.assertEqual(
            returns,
            [at - began_at for at in self.listener.returns],
        )

    def test_one_silent_connection(self):
        """A silent watch is no outage while other calls are answered."""
        self.read(0)
        for _ in range(5):
            self.clock.advance(1)
            self.contact.record_reply()
        self.read(1)
        self.assertEqual([], self.listener.returns)

    def test_silence_of_all(self):
        """Without any answer there is one outage, ended by the next one."""
        self.read(0)
        self.clock.advance(8)
        self.contact.record_reply()
        back_at = self.clock.monotonic()
        self.read(1)
        self.read(1)
        self.assertEqual([back_at], self.listener.returns)


class TestStoreContact(unittest.TestCase):
    """The time for which the store has answered without an outage."""

    def setUp(self):
        """Create a contact without answers."""
        self.clock = ManualClock()
        self.contact = StoreContact(self.clock)

    def test_before_the_first_answer(self):
        """The time starts with the first answer, not with the process."""
        self.clock.advance(1)
        self.assertEqual(0, self.contact.uptime_s())
        self.contact.record_reply()
        self.assertEqual(0, self.contact.uptime_s())

    def test_in_an_outage_and_after_it(self):
        """The time is 0 during an outage and restarts at its end."""
        self.contact.record_reply()
        for _ in range(3):
            self.clock.advance(1)
            self.contact.record_reply()
        self.assertEqual(3, self.contact.uptime_s())
        self.clock.advance(OUTAGE_S + 1)
        self.assertEqual(0, self.contact.uptime_s())
        self.contact.record_reply()
        self.clock.advance(1)
        self.assertEqual(1, self.contact.uptime_s())

    @params((0, True), (RECENT_S, True), (RECENT_S + 0.1, False))
    def test_recent(self, silent_s, is_recent):
        """The store responds if its last answer is not too old."""
        self.contact.record_reply()
        self.clock.advance(silent_s)
        self.assertEqual(is_recent, self.contact.is_recent())

    def test_no_answer_yet(self):
        """A process without any answer does not vouch for the store.

        One that started in an outage did so until its calls had failed, and
        the other entries stopped counting limits for it.
        """
        self.assertFalse(self.contact.is_recent())
