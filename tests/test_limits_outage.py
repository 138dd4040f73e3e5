"""Limits in an outage of the store during which one entry reaches it."""

import contextlib
import unittest

from nose2.tools import params

from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.organisations.organisation import RateLimit
from tests.limits_fleet import Fleet, Outage
from tests.limits_limiters import by_owners
from tests.limits_play import Course, play

NAMES = tuple(f'o{number}' for number in range(8))
LIMIT = RateLimit(4, 4)
FLEET = 39
ENTRIES = 9
# Largest share of requests within their limits that may be refused.
MOST_REFUSED = 0.001
START_S = 15.0
OUTAGE_AT_S = 20.0
STEP_S = 0.05
LONGER_THAN_LEASE_S = 12.0


class TestSilentStore(unittest.TestCase):
    """The store does not reply to any entry for some seconds."""

    @params(3, 5, 7)
    def test_within_the_limit(self, length_s):
        """Entries that wait for timeouts go on to count.

        They noticed the outage only when their calls timed out, and nobody
        counted until the store was back.
        """
        outage = Outage(24, length_s, silent=True)
        course = Course(outages=(outage,))
        played = play(FLEET, by_owners, 1, course=course)
        self.assertLessEqual(played.over, 0)
        self.assertEqual(0, played.doubles)
        self.assertLess(played.usual_refused_share, MOST_REFUSED)

    @params(1 / FLEET, 0.5, 0.6)
    def test_silent_to_some(self, share):
        """The bound holds if the store replies to some entries."""
        outage = Outage(24, 7, share, silent=True)
        course = Course(outages=(outage,))
        played = play(FLEET, by_owners, 1, course=course)
        self.assertLessEqual(played.over, 0)
        self.assertEqual(0, played.doubles)


class TestOneReachesStore(unittest.TestCase):
    """An entry reaches the store while the others count without it."""

    def setUp(self):
        """Start nine entries, the last of which is the exception."""
        self.fleet = Fleet(ENTRIES, by_owners, 1)
        self.others = self.fleet.entries[:-1]
        self.last = self.fleet.entries[-1]
        self.last.alive = False
        self.fleet.advance_to(START_S, ())

    def run_until(self, end):
        """Send requests all the time; no two entries may count meanwhile."""
        while self.fleet.clock.now < end:
            self.fleet.advance_to(self.fleet.clock.now + STEP_S, ())
            for name in NAMES:
                self.send(name)
                self.assertLessEqual(self.fleet.holders(name), 1)

    def send(self, name):
        """Send a request to the last entry and to one of the others."""
        for entry in (self.last, self.fleet.rng.choice(self.others)):
            if entry.alive and not entry.frozen:
                with contextlib.suppress(LimitUnavailable):
                    entry.limiter.take(name, LIMIT, 1)

    def lose_store(self, entries, lost=True):
        """Let the store respond to ``entries`` no longer, or again."""
        for entry in entries:
            entry.store_lost = lost

    @params(0, 0.3)
    def test_new(self, lost_share):
        """An entry that the others do not list joins during the outage.

        It took over while they counted on, as they never heard of it.
        """
        self.fleet.lost_share = lost_share
        self.run_until(OUTAGE_AT_S)
        self.lose_store(self.others)
        self.run_until(OUTAGE_AT_S + 3.5)
        self.last.set_lost(lost=False, powered_off=False)
        self.run_until(self.fleet.clock.now + LONGER_THAN_LEASE_S)
        counted = [self.counts(self.last, each) for each in NAMES]
        self.assertTrue(all(counted))
        self.lose_store(self.others, lost=False)
        self.run_until(self.fleet.clock.now + LONGER_THAN_LEASE_S)

    @params((1, 5), (3.1, 3.6), (3.6, 3.6), (4, 3), (4, 12))
    def test_suspended(self, suspended_s, rest_s):
        """An entry that joined at the start of the outage is suspended.

        When it woke, the leases of the others were over. It took over at once
        as the only member, and the others went on when the store was back.
        """
        self.run_until(OUTAGE_AT_S)
        self.last.set_lost(lost=False, powered_off=False)
        self.lose_store(self.others)
        self.run_until(OUTAGE_AT_S + STEP_S)
        self.last.frozen = True
        self.run_until(OUTAGE_AT_S + suspended_s)
        self.last.frozen = False
        self.run_until(self.fleet.clock.now + rest_s)
        self.lose_store(self.others, lost=False)
        self.run_until(self.fleet.clock.now + LONGER_THAN_LEASE_S)

    def test_reaches_it_in_turn(self):
        """The one that took over loses the store when the others have it.

        Its list has no other entry then, whose report it could await.
        """
        self.test_new(0)
        self.lose_store(self.others)
        self.run_until(self.fleet.clock.now + LONGER_THAN_LEASE_S)
        self.lose_store([self.last])
        self.lose_store(self.others, lost=False)
        self.run_until(self.fleet.clock.now + LONGER_THAN_LEASE_S)

    @params(0, 0.3)
    def test_new_regains_it(self, lost_share):
        """The one that joined during the outage lacks the store for a time.

        The others go on for longer than after a report of an entry that never
        lacked it. They must hear of it as soon as it has the store again.
        """
        self.fleet.lost_share = lost_share
        self.run_until(OUTAGE_AT_S)
        self.lose_store(self.others)
        self.last.set_lost(lost=False, powered_off=False)
        self.run_until(OUTAGE_AT_S + STEP_S)
        self.lose_store([self.last])
        self.run_until(OUTAGE_AT_S + 5)
        self.lose_store([self.last], lost=False)
        self.run_until(self.fleet.clock.now + LONGER_THAN_LEASE_S)

    def counts(self, entry, name):
        """Return whether an entry may count an organisation."""
        return entry.process.counter.holds.usable(name) is not None
