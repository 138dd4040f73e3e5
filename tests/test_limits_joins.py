"""Entries of a new fleet count only when all others know them."""

import contextlib
import unittest

from nose2.tools import params

from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.organisations.organisation import RateLimit
from tests.limits_fleet import Fleet
from tests.limits_limiters import by_owners

NAMES = tuple(f'o{number}' for number in range(8))
ENTRIES = 3
LIMIT = RateLimit(4, 4)
# Longer than a lease, after which a silent entry is listed no longer.
FORGOTTEN_S = 8
STEP_S = 0.01
# Several round trips between entries, less than the interval of two reads.
SOON_S = 0.3
LATER_S = 9


class TestJoins(unittest.TestCase):
    """Three entries; one of them starts again after the others."""

    def setUp(self):
        """Stop all entries for so long that nobody knows their rows."""
        self.fleet = Fleet(ENTRIES, by_owners, 1)
        for entry in self.fleet.entries:
            entry.alive = False
            entry.process.members.has_left = True
        self.fleet.rows.clear()
        self.advance(FORGOTTEN_S)

    def advance(self, length_s):
        """Advance the clock; no two entries may ever count the same."""
        end = self.fleet.clock.now + length_s
        while self.fleet.clock.now < end:
            self.fleet.advance_to(self.fleet.clock.now + STEP_S, ())
            for name in NAMES:
                for entry in self.fleet.entries:
                    self.send(entry, name)
                self.assertLessEqual(self.fleet.holders(name), 1)

    def send(self, entry, name):
        """Send a request if the entry runs, whether it is counted or not."""
        if entry.alive and not entry.frozen:
            with contextlib.suppress(LimitUnavailable):
                entry.limiter.take(name, LIMIT, 1)

    def start(self, *numbers):
        """Start entries, which renew their rows and read the others'."""
        for number in numbers:
            entry = self.fleet.entries[number]
            entry.alive = True
            entry.start()
            entry.renew()

    def held_by(self, number):
        """Return the organisations that an entry may count now."""
        entry = self.fleet.entries[number]
        holds = entry.process.counter.holds
        return {name for name in NAMES if holds.usable(name) is not None}

    def lose_all(self, number):
        """Lose all messages that an entry sends."""
        link = self.fleet.entries[number].process.link
        link.is_lost = lambda kind: True

    def test_alone(self):
        """An entry that is alone counts at once."""
        self.start(0)
        self.advance(SOON_S)
        self.assertEqual(set(NAMES), self.held_by(0))

    def test_confirmed(self):
        """A second entry counts before the first one reads the list again."""
        self.start(0)
        self.advance(SOON_S)
        self.start(1)
        self.fleet.entries[0].renew_at += LATER_S
        self.advance(SOON_S)
        self.assertTrue(self.held_by(1))
        self.assertEqual(set(NAMES), self.held_by(0) | self.held_by(1))

    @params(0, 1)
    def test_not_confirmed(self, silent):
        """While messages are lost it does not count what the first one may."""
        self.start(0)
        self.advance(SOON_S)
        self.start(1)
        self.lose_all(silent)
        self.fleet.entries[0].renew_at += 2
        self.advance(SOON_S)
        self.assertFalse(self.held_by(1))
        self.advance(LATER_S)
        self.assertTrue(self.held_by(1))

    def test_suspended(self):
        """Nor does it if the first one is suspended and wakes soon after."""
        self.start(0)
        self.advance(SOON_S)
        self.fleet.entries[0].frozen = True
        self.start(1)
        self.advance(SOON_S)
        self.assertFalse(self.held_by(1))
        self.fleet.entries[0].frozen = False
        self.advance(SOON_S)
        self.assertTrue(self.held_by(1))

    @params(True, False)
    def test_first_is_gone(self, powered_off):
        """It awaits nothing from a process that has exited for certain."""
        self.start(0)
        self.advance(SOON_S)
        first = self.fleet.entries[0]
        first.set_lost(lost=True, powered_off=powered_off)
        first.set_lost = lambda *args, **more: None
        self.start(1)
        self.advance(2 * SOON_S)
        self.assertEqual(not powered_off, bool(self.held_by(1)))
        self.advance(LATER_S)
        self.assertEqual(set(NAMES), self.held_by(1))

    def test_oldest_has_left(self):
        """An entry that has read that the oldest one left awaits the others.

        It belongs to a new fleet by its own list, not by that of the others.
        """
        self.start(0)
        self.advance(2)
        self.start(1)
        self.advance(SOON_S)
        self.advance(2)
        self.start(2)
        oldest, second, youngest = self.fleet.entries
        self.lose_all(2)
        self.advance(SOON_S)
        oldest.process.handover.stop()
        oldest.process.members.leave()
        second.renew_at += 2
        youngest.renew()
        self.advance(SOON_S)
        self.assertFalse(self.held_by(2))

    def test_begun_anew(self):
        """What was confirmed for one membership is not for the next one."""
        self.start(0, 1)
        self.advance(SOON_S)
        first, second = self.fleet.entries[:2]
        for entry in (first, second):
            entry.store_lost = True
            entry.frozen = True
        self.advance(4)
        for entry in (first, second):
            entry.store_lost = False
            entry.frozen = False
        self.lose_all(0)
        first.renew()
        second.renew()
        self.advance(SOON_S)
        self.assertFalse(self.held_by(1))
