"""What the statuses of peers mean for counting limits in an outage."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.organisations.common_outage import CommonOutage, StoreReport
from cactusridge.organisations.lease_state import StoreLease
from cactusridge.organisations.outage_watch import (
    WATCH_INTERVAL_S,
    OutageWatch,
)
from tests.store_time import store_clock_at

NAME = 'e0'
MEMBERS = tuple(f'e{number}' for number in range(6))
# A peer that makes no calls to the store, as one that leaves.
LEAVING = 'e9'


class LostLease(StoreLease):
    """The lease of an entry that was a member until the store was lost."""

    def __init__(self, clock):
        """Lose the store at the current time of ``clock``."""
        self._clock = clock
        self._lost_at = clock.now

    def is_current(self):
        """Return that the lease is over."""
        return False

    def unrenewed_s(self):
        """Return the seconds since the store was lost."""
        return self._clock.now - self._lost_at

    def unread_s(self):
        """Return the seconds since the store was lost."""
        return self.unrenewed_s()

    def member_s(self):
        """Return a time that suffices to count on."""
        return 60

    def stale_members(self):
        """Return no entry, since none renews its row."""
        return ()

    def overdue_s(self):
        """Return that no call awaits a reply."""
        return 0

    def suspect_outage(self):
        """Do nothing, since the last read has failed."""

    @property
    def is_read(self):
        """Whether the last read succeeded: it has failed."""
        return False


class TestStatuses(unittest.TestCase):
    """All members lack the store; a peer's status speaks of it."""

    def setUp(self):
        """Create the watch of an entry that has just lost the store."""
        self.clock = ManualClock(100)
        self.outage = CommonOutage(self.now_ms, self.clock)
        self.watch = OutageWatch(
            NAME,
            self.outage,
            LostLease(self.clock),
            lambda: MEMBERS,
            store_clock_at(self.clock),
            lambda entry, reports: None,
        )

    def now_ms(self):
        """Return the store's time in milliseconds."""
        return self.clock.now * 1000

    def run_until(self, lost_s, statuses):
        """Receive reports of the members, and statuses of the leaving peer."""
        while self.clock.now < 100 + lost_s:
            self.clock.advance(WATCH_INTERVAL_S)
            now_ms = int(self.now_ms())
            reports = [StoreReport(each, now_ms, False) for each in MEMBERS]
            self.watch.receive(MEMBERS[1], reports)
            for has_store in statuses:
                self.watch.receive_status(LEAVING, has_store=has_store)
            self.watch.step()

    @params(((), True), ((False,), True), ((True,), False))
    def test_status(self, statuses, holds):
        """A status that the store responds ends the right to count on."""
        self.run_until(2, statuses)
        self.assertEqual(holds, self.outage.holds())

    def test_withdrawn(self):
        """A status that it does not respond withdraws the one before.

        It withheld the right from all entries for another 1.2 s.
        """
        self.run_until(1, (True,))
        self.run_until(1.5, (False,))
        self.assertTrue(self.outage.holds())

    def test_report_stays(self):
        """A status that the store is away does not end a newer report of it.

        The status is based on another time and may be delayed.
        """
        self.run_until(1, ())
        report = StoreReport(LEAVING, int(self.now_ms()), has_store=True)
        self.watch.receive(LEAVING, [report])
        self.run_until(1.8, (False,))
        self.assertFalse(self.outage.holds())
