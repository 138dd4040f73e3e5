"""Which entries are taken to live while the store is away."""

import unittest
from unittest import mock

from cactusridge.clock import ManualClock
from cactusridge.errors import StoreUnavailable
from cactusridge.jobs.session import LEASE_S, Session
from cactusridge.jobs.tenure import Tenure
from cactusridge.store.store_clock import StoreClock
from standins.memory_table import MemoryTable


class TestSession(unittest.TestCase):
    """Two entries over one table."""

    def setUp(self):
        """Let both read each other."""
        self.table = MemoryTable()
        self.clock = ManualClock()
        self.one = self.session('one')
        other = self.session('two')
        for each in (self.one, other, self.one):
            each.step()

    def session(self, name):
        """Return the session of an entry."""
        address = ('127.0.0.1', 1)
        tenure = Tenure(StoreClock(self.clock))
        return Session(self.table, self.clock, name, address, 'z', tenure)

    def names(self):
        """Return whom the first takes to live."""
        return [member.name for member in self.one.members()]

    def test_unread_rows_end_nobody(self):
        """Who cannot read the rows goes on with those it has read."""
        self.clock.advance(LEASE_S * 2)
        self.table.fail_reads = 1
        self.one.step()
        self.assertEqual(['one', 'two'], self.names())

    def test_silent_entry_ends(self):
        """Who does not renew its row, which can be read, is gone."""
        self.clock.advance(LEASE_S * 2)
        self.one.step()
        self.assertEqual(['one'], self.names())

    def test_woken(self):
        """An entry that stood still is in touch only once it has read."""
        self.one.step()
        self.assertTrue(self.one.in_touch())
        self.clock.advance(LEASE_S * 2)
        self.assertFalse(self.one.in_touch())
        told = []
        self.one.on_read(lambda: told.append(self.one.in_touch()))
        self.one.step()
        self.assertEqual([True], told)
        self.assertTrue(self.one.in_touch())

    def test_rows_that_cannot_be_read(self):
        """Who renews and cannot read knows nothing of the others."""
        self.clock.advance(LEASE_S)
        self.table.fail_reads = 1
        self.one.step()
        self.assertFalse(self.one.in_touch())

    def test_since_the_row_is_back(self):
        """An entry that was away counts from the renewal that succeeds."""
        self.clock.advance(LEASE_S * 2)
        with mock.patch.object(
            self.table,
            'transact',
            side_effect=StoreUnavailable,
        ):
            for _ in range(3):
                self.one.step()
                self.clock.advance(1)
        self.one.step()
        self.assertEqual(self.clock.now * 1000, self.one.me.since_ms)
        self.clock.advance(1)
        self.one.step()
        self.assertEqual((self.clock.now - 1) * 1000, self.one.me.since_ms)
