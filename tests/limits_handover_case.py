"""Five simulated entries, the owner of an organisation among them."""

import unittest

from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.organisations.limit_count import BURST_TOLERANCE
from cactusridge.organisations.organisation import RateLimit
from tests.limits_fleet import Fleet
from tests.limits_limiters import by_owners

NAME = 'o1'
# A rate of 0 shows tokens that are granted twice.
LIMIT = RateLimit(0, 10)
FIRST_LIMIT = RateLimit(10, 10)
ALL_TOKENS = LIMIT.burst + BURST_TOLERANCE
START_S = 20


class HandoverCase(unittest.TestCase):
    """Five entries, the owner of an organisation among them."""

    def setUp(self):
        """Let the owner count three requests."""
        self.fleet = Fleet(5, by_owners, 1)
        self.run_for(START_S)
        ranked = self.fleet.entries[0].process.owners.ranked_entries(NAME)
        entries = [self.fleet.by_name[each] for each in ranked]
        self.owner, self.successor, self.third = entries  # noqa: WPS414
        self.others = [
            each for each in self.fleet.entries if each.name not in ranked
        ]
        self.owner.limiter.take(NAME, FIRST_LIMIT, 1)
        self.admitted = 1
        self.send(2)
        self.assertEqual(3, self.admitted)

    def run_for(self, length_s):
        """Advance the clock; nothing may ever be counted twice meanwhile."""
        end = self.fleet.clock.now + length_s
        while self.fleet.clock.now < end:
            self.fleet.advance_to(min(end, self.fleet.clock.now + 0.05), ())
            self.assertLessEqual(self.fleet.holders(NAME), 1)

    def send(self, count, entry=None):
        """Send requests at an entry; return how many could not be counted."""
        limiter = (entry or self.others[0]).limiter
        lost = 0
        for _ in range(count):
            try:
                self.admitted += not limiter.take(NAME, LIMIT, 2)
            except LimitUnavailable:
                lost += 1
        return lost

    def send_twice(self):
        """Send requests before and after an owner has asked for counts."""
        self.send(1)
        self.run_for(0.4)
        self.send(40)

    def holds(self, entry):
        """Return whether an entry may count the organisation."""
        return entry.process.counter.holds.usable(NAME) is not None

    def lose(self, entry, *kinds):
        """Lose all messages of the given kinds that an entry sends."""
        entry.process.link.is_lost = lambda kind: kind in kinds

    def stop(self, entry):
        """Begin a planned stop of an entry."""
        entry.process.handover.stop()

    def kill(self, entry):
        """Kill the process of an entry."""
        entry.alive = False
        entry.process.members.has_left = True
