"""Tests the order of growth of an idle entry's work in a large fleet.

Cost is the number of function calls. docs/CAPACITY.md has the orders.
"""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.organisations.limit_messages import Candidate
from cactusridge.organisations.limit_owners import LimitOwners
from tests.call_counts import calls_once

FEW = 30
MANY = 300
MS_PER_S = 1000
# Period in which all entries of a fleet start, in milliseconds.
START_MS = 4500
# Calls that an update of the owners may take for each member that has been
# listed for long enough since the last one.
CALLS_PER_CHANGE = 120


class TestOwners(unittest.TestCase):
    """Updates of owners while a fleet starts."""

    def owners_of(self, entries, clock):
        """Return the owners among entries that start one after another."""
        listed = [
            Candidate(f'10.0.{number}.1:1', START_MS * number // entries)
            for number in range(entries)
        ]
        return LimitOwners(
            listed[0].name,
            lambda: listed,
            lambda: clock.now * MS_PER_S,
            lambda: True,
            clock,
        )

    @params(FEW, MANY)
    def test_due(self, entries):
        """An update for one more member does not examine all the others.

        A fleet has four such updates for each entry that starts. With a look
        at all members each, they grow with the square of the fleet.
        """
        clock = ManualClock(0)
        owners = self.owners_of(entries, clock)
        owners.update()
        calls = 0
        while clock.now * MS_PER_S < 3 * START_MS:
            clock.advance(1 / MS_PER_S)
            calls += calls_once(owners.update_if_due)
        self.assertEqual(len(owners.listed), entries)
        steps = 3 * START_MS * 4
        self.assertLessEqual(calls - steps, 4 * entries * CALLS_PER_CHANGE)
