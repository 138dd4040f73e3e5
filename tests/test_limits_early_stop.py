"""A planned stop of an entry that has not read the member list yet."""

import contextlib
import unittest

from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.organisations.organisation import RateLimit
from tests.limits_fleet import Fleet
from tests.limits_limiters import by_owners

NAMES = tuple(f'o{number}' for number in range(8))
LIMIT = RateLimit(4, 4)
START_S = 20.0
STEP_S = 0.05
# An entry joins and may count within 4.5 s.
LONGER_THAN_JOIN_S = 8.0
# Age of an entry that others may not know yet and that does not count.
YOUNG_S = 1.9


class TestEarlyStop(unittest.TestCase):
    """An entry restarts, and is stopped before the store responds to it."""

    def setUp(self):
        """Stop an entry that continues the membership of its last process."""
        self.fleet = Fleet(5, by_owners, 1)
        self.fleet.advance_to(START_S, ())
        self.entry = self.fleet.entries[0]
        self.entry.start()
        self.entry.renew_at = START_S + 0.5
        self.entry.process.handover.stop()

    def run_for(self, length_s):
        """Send requests; the stopped entry must not count any."""
        end = self.fleet.clock.now + length_s
        while self.fleet.clock.now < end:
            self.fleet.advance_to(self.fleet.clock.now + STEP_S, ())
            for name in NAMES:
                with contextlib.suppress(LimitUnavailable):
                    self.entry.limiter.take(name, LIMIT, 1)
                holds = self.entry.process.counter.holds
                self.assertIsNone(holds.usable(name))
                self.assertLessEqual(self.fleet.holders(name), 1)

    def test_counts_nothing(self):
        """It began to count once it had read the list.

        It handed over nothing when it ended, as it had been told to stop
        before.
        """
        self.run_for(LONGER_THAN_JOIN_S)
        self.assertTrue(self.entry.process.handover.has_stopped)

    def test_others_count(self):
        """The others learn that it has stopped and count in its place."""
        self.run_for(LONGER_THAN_JOIN_S)
        self.assertEqual([1] * len(NAMES), list(map(self.fleet.holders, NAMES)))


class TestOthersAreYoung(unittest.TestCase):
    """All entries stop but one that joined a moment ago."""

    def setUp(self):
        """Let the first two of three entries count; the third one joins."""
        self.fleet = Fleet(3, by_owners, 1)
        self.refused = 0
        self.run_for(START_S)
        self.leaving = self.fleet.entries[:2]
        self.young = self.fleet.entries[2]
        self.young.alive = False
        self.young.process.members.leave()
        self.run_for(LONGER_THAN_JOIN_S)
        self.young.alive = True
        self.young.start()
        self.young.renew()
        self.run_for(YOUNG_S)

    def run_for(self, length_s):
        """Send requests that are within the limits to all entries."""
        end = self.fleet.clock.now + length_s
        while self.fleet.clock.now < end:
            self.fleet.advance_to(self.fleet.clock.now + STEP_S, ())
            for name in NAMES:
                self.assertLessEqual(self.fleet.holders(name), 1)
                for entry in self.serving():
                    self.refused += self.is_refused(entry, name)

    def serving(self):
        """Return the entries that callers are sent to."""
        return [each for each in self.fleet.entries if each.serves]

    def is_refused(self, entry, name):
        """Return whether a request cannot be counted."""
        try:
            entry.limiter.take(name, LIMIT, 1)
        except LimitUnavailable:
            return True
        return False

    def test_none_refused(self):
        """The young one counts on, so that no request is refused."""
        self.refused = 0
        for entry in self.leaving:
            entry.process.handover.stop()
            self.run_for(0.1)
        self.run_for(1)
        for entry in self.leaving:
            entry.process.members.leave()
            entry.alive = False
        self.run_for(LONGER_THAN_JOIN_S)
        self.assertEqual(0, self.refused)
