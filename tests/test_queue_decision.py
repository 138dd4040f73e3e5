"""Which requests wait at the entry, and which are refused."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from cactusridge.dispatch.retry_after import EARLIEST_SHARE, LATEST_SHARE
from cactusridge.queueing.decision import (
    FIRST_ATTEMPT_SHARE,
    Decision,
    Prospect,
    decide,
)
from cactusridge.queueing.pace import Pace, shared_pace

PACE = Pace(turn_s=0.1, slot_s=0.75)
SECONDS = st.floats(0, 10)


class TestDecision(unittest.TestCase):
    """The decision follows from the time left and the expected wait."""

    @params(
        # A first attempt returns later, however long or short the wait is.
        (Prospect(5, 5, 0.3, 0, PACE), Decision.return_later),
        (Prospect(4.5, 5, 9, 90, PACE), Decision.return_later),
        # A second attempt waits if its answer ends before its deadline.
        (Prospect(3, 5, 0.3, 0, PACE), Decision.wait),
        (Prospect(3, 5, 0.3, 19, PACE), Decision.wait),
        (Prospect(3, 5, 0.3, 20, PACE), Decision.unservable),
        (Prospect(1, 5, 0.3, 0, PACE), Decision.unservable),
        (Prospect(0.7, 5, 0, 0, PACE), Decision.unservable),
    )
    def test_examples(self, prospect, wanted):
        """Only callers that have no further attempt wait."""
        self.assertEqual(wanted, decide(prospect))

    @given(SECONDS, SECONDS, st.integers(0, 100))
    def test_never_held_in_vain(self, left_s, wait_s, place):
        """No request waits that is expected to miss its deadline."""
        found = decide(Prospect(left_s, 5, wait_s, place, PACE))
        if found == Decision.wait:
            expected_s = wait_s + place * PACE.turn_s + PACE.slot_s
            self.assertLessEqual(expected_s, left_s)

    @given(SECONDS, SECONDS, st.integers(0, 100))
    def test_monotonic(self, left_s, wait_s, place):
        """Whoever has a request less before it waits if the other one does.

        Otherwise a request would be refused although one behind it waits.
        """
        behind = decide(Prospect(left_s, 5, wait_s, place + 1, PACE))
        if behind == Decision.wait:
            before = decide(Prospect(left_s, 5, wait_s, place, PACE))
            self.assertEqual(Decision.wait, before)

    def test_every_return_is_recognised(self):
        """The shortest return delay takes a caller below the share.

        Otherwise a caller that has come back would be refused for good.
        """
        shortest = EARLIEST_SHARE * LATEST_SHARE
        self.assertLess(1 - shortest, FIRST_ATTEMPT_SHARE)


class TestPace(unittest.TestCase):
    """Entries share the slots that become free."""

    @params((1, 1, 0.1), (10, 1, 1), (10, 5, 0.2), (0, 0, 0.1))
    def test_shared(self, entries, replicas, turn_s):
        """The interval grows with the entries and shrinks with replicas."""
        found = shared_pace(0.8, 8, replicas, entries)
        self.assertAlmostEqual(turn_s, found.turn_s)
        self.assertEqual(0.8, found.slot_s)
