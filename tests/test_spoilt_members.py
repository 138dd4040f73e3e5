"""Tests of unreadable membership rows and unreadable orphaned jobs."""

import unittest
from types import SimpleNamespace

import gevent
from nose2.tools import params

from cactusridge import events
from cactusridge.clock import ManualClock
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.keys import head_key, payload_prefix, progress_key
from cactusridge.jobs.lease_times import MEMBER_LEASE_S
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.manager import JobManager
from cactusridge.jobs.membership import MEMBER_PREFIX, Membership
from cactusridge.jobs.membership_start import MembershipStart
from cactusridge.jobs.model import JobHead, JobItem
from cactusridge.jobs.orphans import UNREADABLE_PAUSE_S, Orphans
from cactusridge.store.table import Priority
from tests.emitted import emitted
from tests.memory_objects import MemoryObjects
from tests.spoilt_table import SpoiltTable, corruptions
from tests.store_time import store_clock_at

MEMBER = {'name': 'two', 'life': 'x', 'host': 'h', 'port': 1, 'zone': 'z'}
OUT_OF_RANGE = (
    ('port=0', {**MEMBER, 'port': 0}),
    ('port=65536', {**MEMBER, 'port': 65_536}),
    ('another name', {**MEMBER, 'name': 'three'}),
)


class MemberCase(unittest.TestCase):
    """Entries that share a table with another writer."""

    def setUp(self):
        """Let three entries read each other's rows."""
        self.table = SpoiltTable()
        self.clock = ManualClock()
        self.one = self.session('one')
        self.two = self.session('two')
        self.three = self.session('three')
        for each in (self.two, self.three, self.one):
            each.renew_and_read()

    def session(self, name):
        """Return the session of the entry ``name``."""
        address = ('127.0.0.1', 1)
        membership_start = MembershipStart(store_clock_at(self.clock))
        return Membership(
            self.table, self.clock, name, address, 'z', membership_start
        )

    def names(self):
        """Return the names of the live members known to the first entry."""
        return [member.name for member in self.one.members()]


class TestSpoiltMembers(MemberCase):
    """An unreadable row affects only the entry that owns it."""

    @params(*corruptions(MEMBER), *OUT_OF_RANGE)
    def test_lease(self, name, value):
        """An unreadable row neither ends a lease early nor renews it."""
        life = self.two.me.life
        with emitted() as found:
            for _ in range(3):
                self.table.corrupt(f'{MEMBER_PREFIX}two', value)
                self.clock.advance(1)
                self.three.renew_and_read()
                self.one.renew_and_read()
                self.assertEqual({'one', 'two', 'three'}, set(self.names()))
                self.assertTrue(self.one.is_live('two', life))
            self.clock.advance(MEMBER_LEASE_S - 3)
            self.three.renew_and_read()
            self.one.renew_and_read()
        self.assertEqual({'one', 'three'}, set(self.names()))
        self.assertFalse(self.one.is_live('two', life))
        # Two entries each read three unreadable versions of the row.
        self.assertEqual(6, found.count(events.ROW_UNREADABLE))

    @params(*corruptions(MEMBER), *OUT_OF_RANGE)
    def test_first_reading(self, name, value):
        """The owner of a row unreadable from the start is live for a lease."""
        self.table.corrupt(f'{MEMBER_PREFIX}two', value)
        fresh = self.session('four')
        fresh.renew_and_read()
        names = {member.name for member in fresh.members()}
        self.assertEqual({'one', 'three', 'four'}, names)
        self.assertTrue(fresh.is_live('two', 'any'))
        self.clock.advance(MEMBER_LEASE_S)
        with emitted() as found:
            fresh.renew_and_read()
        self.assertFalse(fresh.is_live('two', 'any'))
        self.assertNotIn(events.ROW_UNREADABLE, found)

    def test_mended(self):
        """The next renewal of an unreadable row makes the entry a member."""
        self.table.corrupt(f'{MEMBER_PREFIX}two')
        self.one.renew_and_read()
        self.table.unreadable.clear()
        self.clock.advance(MEMBER_LEASE_S - 1)
        self.two.renew_and_read()
        self.one.renew_and_read()
        self.clock.advance(MEMBER_LEASE_S - 1)
        self.one.renew_and_read()
        self.assertIn('two', self.names())


class TestSpoiltOrphans(MemberCase):
    """Orphaned jobs with unreadable rows."""

    def setUp(self):
        """Let the first entry manage two jobs without a holder."""
        super().setUp()
        objects = MemoryObjects()
        self.ledger = JobLedger(self.table, objects, self.clock)
        self.heads = JobHeads()
        for name in ('job1', 'job2'):
            head = JobHead(name, 'h', '/p/', 1, 0, '', '')
            self.ledger.accept(head, [JobItem('i', '/p/', {}, 'YQ==', 3)])
        self.scheduler = SimpleNamespace(
            jobs={},
            may_dispatch=gevent.event.Event(),
            wake=gevent.event.Event(),
            stop_job=lambda job: None,
        )
        self.manager = JobManager(
            self.ledger,
            self.heads,
            self.one,
            self.scheduler,
            Orphans(self.one, self.clock),
            self.clock,
            lambda: True,
        )

    def look(self):
        """Renew the lease, load all heads and poll for orphaned jobs once."""
        self.one.renew_and_read()
        for row in self.table.scan('jobs/', Priority.lease):
            self.heads.put(row)
        self.manager.poll()
        gevent.sleep(0.01)

    @params('progress', 'payload', 'head')
    def test_not_taken(self, table):
        """An unreadable job is not overwritten; the other is taken over."""
        key = {
            'progress': progress_key('job1'),
            'payload': f'{payload_prefix("job1")}0000',
            'head': head_key('job1'),
        }[table]
        self.table.corrupt(key)
        before = self.table.store.row(head_key('job1'))
        with emitted() as found:
            for _ in range(20):
                self.look()
                self.clock.advance(0.1)
        self.assertEqual(before, self.table.store.row(head_key('job1')))
        self.assertEqual({'job2'}, set(self.scheduler.jobs))
        failures = found.count(events.TAKE_FAILED)
        self.assertEqual(0 if table == 'head' else 1, failures)
        self.assertEqual(1, found.count(events.ROW_UNREADABLE))

    def test_mended(self):
        """A job is taken over once its rows are readable again."""
        self.table.corrupt(progress_key('job1'))
        mended = self.table.store.row(progress_key('job2'))[1]
        self.clock.advance(2)
        self.look()
        self.clock.advance(2)
        self.look()
        self.table.unreadable.clear()
        self.table.corrupt(progress_key('job1'), mended)
        self.clock.advance(UNREADABLE_PAUSE_S + 2)
        self.look()
        self.assertIn('job1', self.scheduler.jobs)
