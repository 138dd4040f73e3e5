"""Limits while no entry can replace the one that stops."""

import unittest

from nose2.tools import params

from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.organisations.organisation import RateLimit
from tests.limits_fleet import Fleet, Loss
from tests.limits_limiters import by_owners

NAMES = tuple(f'o{number}' for number in range(6))
LIMIT = RateLimit(100, 100)
START_S = 20.0
STEP_S = 0.05
# Messages between the entries arrive within it.
KNOWN_AFTER_S = 0.5
# A planned stop serves callers for some seconds.
DRAIN_S = 3.0
ABSENT_S = 6.0


class TestLastEntry(unittest.TestCase):
    """Stops overlap until no entry that is not stopping may count."""

    def start(self, entries):
        """Start a fleet whose entries count all organisations."""
        self.fleet = Fleet(entries, by_owners, 1)
        self.losses = ()
        self.uncounted = 0
        self.run_for(START_S)
        self.uncounted = 0

    def run_for(self, length_s):
        """Send requests to each entry; no two entries may count any."""
        end = self.fleet.clock.now + length_s
        while self.fleet.clock.now < end:
            self.fleet.advance_to(self.fleet.clock.now + STEP_S, self.losses)
            for name in NAMES:
                self.assertLessEqual(self.fleet.holders(name), 1)
                self.send(name)

    def send(self, name):
        """Send a request of an organisation to a running entry."""
        running = [each for each in self.fleet.entries if each.alive]
        try:
            self.fleet.rng.choice(running).limiter.take(name, LIMIT, 1)
        except LimitUnavailable:
            self.uncounted += 1

    def stop(self, *entries):
        """Begin planned stops."""
        for entry in entries:
            entry.process.handover.stop()

    @params(1, 2, 3)
    def test_all_stop(self, count):
        """Callers of entries that all stop are served as long as these run."""
        self.start(count)
        self.stop(*self.fleet.entries)
        self.run_for(KNOWN_AFTER_S)
        self.uncounted = 0
        self.run_for(DRAIN_S)
        self.assertEqual(0, self.uncounted)

    @params(0.5, 1.9, 2.9)
    def test_newcomer(self, member_s):
        """The other entry joined too short a time ago to count at once.

        Requests were refused as uncounted until it might.
        """
        self.start(3)
        self.losses = (Loss(START_S, ABSENT_S, 1 / 3),)
        others = self.fleet.entries[1:]
        self.run_for(ABSENT_S)
        self.run_for(member_s)
        self.stop(*others)
        self.run_for(KNOWN_AFTER_S)
        self.uncounted = 0
        self.run_for(DRAIN_S)
        self.assertEqual(0, self.uncounted)
