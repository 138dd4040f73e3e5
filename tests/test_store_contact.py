"""Which silences are outages of the store, and who can vouch for it."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.store.contact import AWAY_S, StoreContact
from cactusridge.store.table_follower import TableFollower
from tests.scripted_watch import Rows, ScriptedWatch


class Returns(Rows):
    """Keeps when the store came back from its outages."""

    def __init__(self) -> None:
        """Start with none."""
        super().__init__()
        self.returns: list[float] = []

    def store_recovered(self, since):
        """Keep one."""
        self.returns.append(since)


class TestOutages(unittest.TestCase):
    """Which silences the listener is told of as outages of the store."""

    def setUp(self):
        """Follow a scripted watch, besides other calls to the store."""
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
        """Let time pass, and the watch be answered."""
        self.clock.advance(after_s)
        self.contact.answered()
        self.follower.step()

    @params((AWAY_S, []), (AWAY_S + 1, [AWAY_S + 1]))
    def test_start(self, after_s, returns):
        """A first reading ends an outage only if the store was away."""
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
            self.contact.answered()
        self.read(1)
        self.assertEqual([], self.listener.returns)

    def test_silence_of_all(self):
        """It is one, and counts from the first answer, once."""
        self.read(0)
        self.clock.advance(8)
        self.contact.answered()
        back_at = self.clock.monotonic()
        self.read(1)
        self.read(1)
        self.assertEqual([back_at], self.listener.returns)


class TestStoreContact(unittest.TestCase):
    """For how long an entry can vouch for the store."""

    def setUp(self):
        """Start."""
        self.clock = ManualClock()
        self.contact = StoreContact(self.clock)

    def test_before_the_first_answer(self):
        """The start of the process is no answer."""
        self.clock.advance(1)
        self.assertEqual(0, self.contact.uptime_s())
        self.contact.answered()
        self.assertEqual(0, self.contact.uptime_s())

    def test_in_an_outage_and_after_it(self):
        """It vouches for nothing, then for the time since."""
        self.contact.answered()
        for _ in range(3):
            self.clock.advance(1)
            self.contact.answered()
        self.assertEqual(3, self.contact.uptime_s())
        self.clock.advance(AWAY_S + 1)
        self.assertEqual(0, self.contact.uptime_s())
        self.contact.answered()
        self.clock.advance(1)
        self.assertEqual(1, self.contact.uptime_s())
