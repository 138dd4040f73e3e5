"""Tests of sharing strikes through the store."""

import unittest

import gevent
from nose2.tools import params

from cactusridge.background import run_forever
from cactusridge.clock import ManualClock
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.rules import ByCrashes
from cactusridge.quarantine.strike import Stage, Strike
from cactusridge.quarantine.strike_book import STRIKE_LIFETIME_S
from cactusridge.quarantine.strike_store import StrikeStore
from cactusridge.store.listeners import ListenersByPrefix
from cactusridge.store.table import Priority, Row, Write
from cactusridge.store.table_follower import TableListener
from cactusridge.store.unreadable import UnreadableRecord
from standins.faults import FaultKind
from standins.memory_table import MemoryTable
from standins.waiting import wait_for

PREFIX = 'strikes/'
LEAST = 2


class Entry:
    """The suspects of an entry, stored in a table."""

    def __init__(self, table: MemoryTable, clock: ManualClock) -> None:
        """Start writing strikes to ``table`` in the background."""
        self.suspects = CrashEvidence(ByCrashes(), clock)
        self._table = table
        self.store = StrikeStore(table, PREFIX, self.suspects, clock, LEAST)
        self.suspects.add_listener(self.store)
        self.writer = gevent.spawn(run_forever, self.store.step)

    def read(self) -> None:
        """Read the stored strikes."""
        rows = self._table.scan(PREFIX, Priority.commit)
        self.store.retain({row.key for row in rows})
        for row in rows:
            self.store.put(row)

    def crash(self, incarnations: str) -> None:
        """Record a crash of each incarnation under the request ``a``."""
        for incarnation in incarnations:
            self.suspects.crashed('a', incarnation, Stage.started)


class TestStrikeStore(unittest.TestCase):
    """Entries that share one table."""

    def setUp(self):
        """Start one entry."""
        self.clock = ManualClock(1)
        self.table = MemoryTable()
        self.one = self.entry()

    def entry(self) -> Entry:
        """Return another entry."""
        found = Entry(self.table, self.clock)
        self.addCleanup(found.writer.kill)
        return found

    def rows(self) -> list[Row]:
        """Return the strikes that are stored."""
        return self.table.scan(PREFIX, Priority.commit)

    def wait_rows(self, count: int) -> None:
        """Wait until ``count`` strikes are stored."""
        wait_for(f'{count} rows', lambda: len(self.rows()) == count, 3)

    @params(('1', 0), ('12', 2), ('1234', 4))
    def test_stored(self, incarnations, count):
        """A single strike is not stored; a second one stores both."""
        self.one.crash(incarnations)
        gevent.sleep(0.05)
        self.wait_rows(count)

    def test_entry_that_starts_later(self):
        """An entry that starts later quarantines the same requests."""
        self.one.crash('123')
        self.wait_rows(3)
        other = self.entry()
        other.read()
        self.assertTrue(other.suspects.is_quarantined('a'))

    def test_taken_back(self):
        """Strikes that one entry withdraws no longer count at others."""
        self.one.crash('123')
        self.wait_rows(3)
        other = self.entry()
        for each in (self.one, other):
            each.read()
        other.suspects.record_completion('a')
        self.wait_rows(0)
        self.one.read()
        self.assertFalse(self.one.suspects.is_quarantined('a'))

    def test_row_written_after_it_was_taken_back(self):
        """A strike that is stored after its withdrawal is removed."""
        self.one.crash('12')
        self.wait_rows(2)
        late = self.rows()[0]
        self.one.read()
        self.one.suspects.record_completion('a')
        self.wait_rows(0)
        self.table.transact([], [Write(late.key, late.value)], Priority.commit)
        self.one.read()
        self.wait_rows(0)

    def test_old_strikes_are_removed(self):
        """An entry that reads expired strikes removes them."""
        self.one.crash('12')
        self.wait_rows(2)
        self.clock.advance(STRIKE_LIFETIME_S)
        self.one.read()
        self.wait_rows(0)

    @params(FaultKind.down, FaultKind.cut, FaultKind.lose_answer)
    def test_outage(self, fault):
        """A write that failed or may have failed is retried."""
        self.table.faults.append(fault)
        self.one.crash('12')
        wait_for('written again', lambda: self.table.writes == 2, 3)
        self.wait_rows(2)

    @params({}, {'fingerprint': 'a', 'life': '1', 'stage': 'x', 'at': 0})
    def test_spoilt_row(self, raw):
        """An invalid row is no strike, and other strikes still count."""
        with self.assertRaises(UnreadableRecord):
            self.one.store.put(Row(f'{PREFIX}x', raw, 1))
        self.one.crash('123')
        self.assertTrue(self.one.suspects.is_quarantined('a'))


class Kept(TableListener):
    """A listener that records its calls."""

    def __init__(self) -> None:
        """Start with no calls."""
        self.told = []

    def put(self, row: Row) -> None:
        """Record the row's key."""
        self.told.append(row.key)

    def retain(self, keys: set[str]) -> None:
        """Record the keys."""
        self.told.append(keys)

    def store_recovered(self, since: float) -> None:
        """Record the time."""
        self.told.append(since)


class TestListeners(unittest.TestCase):
    """Two listeners of one table."""

    def test_each_hears_its_own(self):
        """Each row goes to the first matching prefix; other calls to all."""
        inner, outer = Kept(), Kept()
        both = ListenersByPrefix({'t/a/': inner, 't/': outer})
        for key in ('t/a/1', 't/b/1', 'u/1'):
            both.put(Row(key, {}, 1))
        both.retain({'t/a/1', 't/b/1'})
        both.store_recovered(5)
        self.assertEqual(['t/a/1', {'t/a/1'}, 5], inner.told)
        self.assertEqual(['t/b/1', {'t/b/1'}, 5], outer.told)


class TestStrikeRow(unittest.TestCase):
    """Keys of stored strikes."""

    def test_key_is_bounded(self):
        """A key is short even if the incarnation's id is long."""
        table = MemoryTable()
        entry = Entry(table, ManualClock(1))
        self.addCleanup(entry.writer.kill)
        incarnations = ('x' * 214, 'y' * 214)
        long = [
            Strike('a' * 32, incarnation, Stage.started, 1)
            for incarnation in incarnations
        ]
        entry.store.publish_strikes(long)
        wait_for('rows', lambda: len(table.scan(PREFIX, Priority.commit)) == 2)
        keys = [row.key for row in table.scan(PREFIX, Priority.commit)]
        self.assertLess(max(map(len, keys)), 100)
