"""Tests of the membership list while the store is unreachable."""

import unittest
from unittest import mock

from cactusridge.clock import ManualClock
from cactusridge.errors import StoreUnavailable
from cactusridge.jobs.lease_times import LEASE_MARGIN_S, MEMBER_LEASE_S
from cactusridge.jobs.member_records import FORGOTTEN_S
from cactusridge.jobs.membership import RENEW_INTERVAL_S, Membership
from cactusridge.jobs.membership_start import MembershipStart
from standins.memory_table import MemoryTable
from tests.store_time import store_clock_at


class TestSession(unittest.TestCase):
    """Two entries that share one table."""

    def setUp(self):
        """Let both entries read each other's row."""
        self.table = MemoryTable()
        self.clock = ManualClock()
        self.one = self.session('one')
        other = self.session('two')
        for each in (self.one, other, self.one):
            each.renew_and_read()

    def session(self, name):
        """Return the session of the entry ``name``."""
        address = ('127.0.0.1', 1)
        membership_start = MembershipStart(store_clock_at(self.clock))
        return Membership(
            self.table, self.clock, name, address, 'z', membership_start
        )

    def listed(self):
        """Return the names of those that the first entry lists for limits."""
        return [member.name for member in self.one.members_as_read()]

    def names(self):
        """Return the names of the live members known to the first entry."""
        return [member.name for member in self.one.members()]

    def test_unread_rows_end_nobody(self):
        """An entry that cannot read the rows keeps the members it knows."""
        self.clock.advance(MEMBER_LEASE_S * 2)
        self.table.fail_reads = 1
        self.one.renew_and_read()
        self.assertEqual(['one', 'two'], self.names())

    def test_silent_entry_ends(self):
        """An entry whose readable row is not renewed stops being a member."""
        self.clock.advance(MEMBER_LEASE_S * 2)
        self.one.renew_and_read()
        self.assertEqual(['one'], self.names())

    def test_woken(self):
        """A resumed entry is in touch only after its next read.

        The listener of the read already sees it in touch.
        """
        self.one.renew_and_read()
        self.assertTrue(self.one.is_current())
        self.clock.advance(MEMBER_LEASE_S * 2)
        self.assertFalse(self.one.is_current())
        told = []
        self.one.on_read(lambda: told.append(self.one.is_current()))
        self.one.renew_and_read()
        self.assertEqual([True], told)
        self.assertTrue(self.one.is_current())

    def test_rows_that_cannot_be_read(self):
        """An entry that renews its row but cannot read is not in touch."""
        self.clock.advance(MEMBER_LEASE_S)
        self.table.fail_reads = 1
        self.one.renew_and_read()
        self.assertFalse(self.one.is_current())

    def test_failed_read_ends_no_right(self):
        """One failed read does not end the right to count at once.

        It lasts from the last successful read and renewal. No other member
        expires after a failed read.
        """
        self.table.fail_reads = 1
        self.one.renew_and_read()
        self.assertTrue(self.one.is_current())
        self.clock.advance(MEMBER_LEASE_S - LEASE_MARGIN_S)
        self.assertFalse(self.one.is_current())
        self.clock.advance(MEMBER_LEASE_S)
        self.assertEqual(['one', 'two'], self.names())

    def test_leases_restart_after_failed_read(self):
        """After a failed read the leases of others count from the next one."""
        self.table.fail_reads = 1
        self.one.renew_and_read()
        self.clock.advance(MEMBER_LEASE_S)
        self.one.renew_and_read()
        self.clock.advance(MEMBER_LEASE_S - 1)
        self.assertEqual(['one', 'two'], self.names())
        self.clock.advance(1)
        self.assertEqual(['one'], self.names())

    def test_since_the_row_is_back(self):
        """After an outage the membership starts at the first renewal stored."""
        self.clock.advance(MEMBER_LEASE_S * 2)
        with mock.patch.object(
            self.table,
            'transact',
            side_effect=StoreUnavailable,
        ):
            for _ in range(3):
                self.one.renew_and_read()
                self.clock.advance(1)
        self.one.renew_and_read()
        self.assertEqual(self.clock.now * 1000, self.one.me.since_ms)
        self.clock.advance(1)
        self.one.renew_and_read()
        self.assertEqual((self.clock.now - 1) * 1000, self.one.me.since_ms)

    def test_restarted_process(self):
        """A process that is back at once begins the membership anew.

        The previous one may have handed over the right to count limits, so
        the new one must not continue it.
        """
        self.clock.advance(1)
        restarted = self.session('two')
        restarted.renew_and_read()
        self.assertEqual(self.clock.now * 1000, restarted.me.since_ms)

    def test_continued_after_a_gap(self):
        """A gap in which no entry could be replaced is no interruption."""
        since_ms = self.one.me.since_ms
        told = []
        self.one.on_restart(lambda: told.append(self.one.me.since_ms))
        self.one.membership_start.continue_while(lambda: True)
        self.clock.advance(MEMBER_LEASE_S * 2)
        self.one.renew_and_read()
        self.assertEqual(since_ms, self.one.me.since_ms)
        self.one.membership_start.continue_while(bool)
        self.clock.advance(MEMBER_LEASE_S * 2)
        self.one.renew_and_read()
        self.assertEqual([self.clock.now * 1000], told)

    def test_no_expiry_between_reads(self):
        """A member expires for the limits only by a read that shows it."""
        while self.clock.now < 3 * RENEW_INTERVAL_S:
            self.clock.advance(RENEW_INTERVAL_S)
            self.one.renew_and_read()
            self.assertEqual(['one', 'two'], self.listed())
        self.clock.advance(MEMBER_LEASE_S - 3 * RENEW_INTERVAL_S)
        self.assertEqual(['one'], self.names())
        self.assertEqual(['one', 'two'], self.listed())
        self.one.renew_and_read()
        self.assertEqual(['one'], self.listed())

    def test_listed_after_suspension(self):
        """A resumed entry lists for the limits whom it did not see expire.

        Entries that count without the store had not heard of it.
        """
        self.clock.advance(MEMBER_LEASE_S)
        self.one.renew_and_read()
        self.assertEqual(['one'], self.names())
        while self.clock.now < 2 * MEMBER_LEASE_S:
            self.assertEqual(['one', 'two'], self.listed())
            self.clock.advance(MEMBER_LEASE_S / 4)
            self.one.renew_and_read()
        self.assertEqual(['one'], self.listed())

    def test_suspected_outage(self):
        """After a report of an outage the leases for the limits begin anew.

        Other entries count on for some time after such an entry has the store
        again, so it must not take their places then.
        """
        self.clock.advance(RENEW_INTERVAL_S)
        self.one.renew_and_read()
        self.one.suspect_outage()
        self.assertFalse(self.one.is_read)
        self.clock.advance(RENEW_INTERVAL_S)
        self.one.renew_and_read()
        self.assertTrue(self.one.is_read)
        while self.clock.now < RENEW_INTERVAL_S + MEMBER_LEASE_S:
            self.assertEqual(['one', 'two'], self.listed())
            self.clock.advance(RENEW_INTERVAL_S)
            self.one.renew_and_read()
        self.assertEqual(['one', 'two'], self.listed())

    def test_overdue(self):
        """A renewal or read without a reply is overdue while it waits."""
        overdue = []

        def wait_for_reply(*call):
            self.clock.advance(1)
            overdue.append(self.one.ages().overdue_s)
            raise StoreUnavailable

        with (
            mock.patch.object(self.table, 'transact', wait_for_reply),
            mock.patch.object(self.table, 'scan', wait_for_reply),
        ):
            self.one.renew_and_read()
        self.assertEqual([1, 1], overdue)
        self.assertEqual(0, self.one.ages().overdue_s)

    def test_stale(self):
        """Entries that renew no more are known, also when they have expired."""
        self.assertEqual([], self.one.stale_members())
        stale = []
        while self.clock.now < FORGOTTEN_S + RENEW_INTERVAL_S:
            self.clock.advance(RENEW_INTERVAL_S)
            self.one.renew_and_read()
            stale.append([each.name for each in self.one.stale_members()])
        self.assertEqual([], stale[0])
        self.assertEqual([['two']] * (int(FORGOTTEN_S) - 2), stale[1:-2])
        self.assertEqual([], stale[-1])
