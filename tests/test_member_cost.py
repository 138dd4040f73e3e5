"""Tests the cost of reading the members and of what is derived from them.

Cost is the number of function calls of an entry in a large fleet.
"""

import unittest
from unittest import mock

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.http.client import parse_address
from cactusridge.jobs.lease_times import MEMBER_LEASE_S
from cactusridge.jobs.member import MEMBER_PREFIX
from cactusridge.jobs.membership import Membership
from cactusridge.jobs.membership_start import MembershipStart
from cactusridge.jobs.model import JobHead
from cactusridge.jobs.orphans import RANK_DELAY_S, Orphans
from cactusridge.platform.derived_members import DerivedMembers
from cactusridge.platform.row_codec import key_fields, pack, parse_rows
from cactusridge.store.table import Priority, Write
from standins.memory_table import MemoryTable
from tests.call_counts import calls_of
from tests.cells_play import spread
from tests.store_time import store_clock_at

MANY = 300
ZONES = 4
# Calls for a row of the member list, for a look at the members, and for a row
# of the store's answer.
CALLS_PER_ROW = 20
CALLS_PER_LOOK = 10
CALLS_PER_DECODED_ROW = 24
# Orphaned jobs, and calls for each at a poll.
JOBS = 50
RANKS = 30
CALLS_PER_JOB = 100


class TestMembers(unittest.TestCase):
    """Reads of the membership list and what is derived from it."""

    def setUp(self):
        """Let an entry read the rows of a large fleet."""
        self.clock = ManualClock(1)
        self.table = MemoryTable()
        self.sessions = [
            Membership(
                self.table,
                self.clock,
                each.name,
                parse_address(each.name),
                each.zone,
                MembershipStart(store_clock_at(self.clock)),
            )
            for each in spread(MANY, ZONES)
        ]
        self.session = self.sessions[0]
        self.renew()
        self.session.renew_and_read()

    def renew(self):
        """Renew all rows but read the list by none of the entries."""
        with mock.patch.object(self.table, 'scan', return_value=[]):
            for each in self.sessions:
                each.renew_and_read()

    def test_read(self):
        """A row in which only the heartbeat has changed is not parsed."""
        self.clock.advance(1)
        self.renew()
        rows = self.table.scan(MEMBER_PREFIX, Priority.lease)
        with mock.patch.object(self.table, 'scan', return_value=rows):
            calls = calls_of(self.session._read)
        self.assertLessEqual(calls, CALLS_PER_ROW * MANY)

    def test_decode(self):
        """Decoding the store's answer is cheap: it has all rows each second."""
        entries = [
            {
                **key_fields(row.key),
                'ver': row.version,
                'value': pack(row.value),
            }
            for row in self.table.scan(MEMBER_PREFIX, Priority.lease)
        ]
        self.assertEqual(len(entries), MANY)
        calls = calls_of(lambda: parse_rows(entries))
        self.assertLessEqual(calls, CALLS_PER_DECODED_ROW * MANY)

    @params('members', 'members_as_read')
    def test_members(self, name):
        """The lists are computed once a read, not at each look.

        Cells, owners and the watch of outages look ten times a second.
        """
        look = getattr(self.session, name)
        self.assertEqual(len(look()), MANY)
        self.assertLessEqual(calls_of(look), CALLS_PER_LOOK)

    @params('members', 'members_as_read')
    def test_same(self, name):
        """A read that finds the same members returns the same object.

        What is derived from them is computed again only if they change.
        """
        look = getattr(self.session, name)
        before = look()
        self.clock.advance(1)
        self.renew()
        self.session.renew_and_read()
        self.assertIs(look(), before)

    def test_expiry(self):
        """A lease that expires between two reads ends a member in time."""
        self.assertEqual(len(self.session.members()), MANY)
        self.clock.advance(MEMBER_LEASE_S)
        self.assertEqual(self.session.members(), (self.session.me,))
        self.assertEqual(len(self.session.members_as_read()), MANY)

    @params(float(1), True, None)
    def test_unreadable_port(self, port):
        """A port of another type that equals the known one is not accepted.

        An unreadable row does not renew the lease of its entry.
        """
        other = self.sessions[1].me
        self.clock.advance(MEMBER_LEASE_S / 2)
        self.renew()
        raw = {**other._asdict(), 'port': port, 'beat': 'x'}
        write = Write(f'{MEMBER_PREFIX}{other.name}', raw)
        self.table.transact([], [write], Priority.lease)
        self.session.renew_and_read()
        self.clock.advance(MEMBER_LEASE_S / 2)
        self.assertNotIn(other, self.session.members())
        self.assertIn(self.sessions[2].me, self.session.members())

    def test_orphans(self):
        """A poll does not rank all entries for each orphaned job.

        After a restart of all entries every job is orphaned at each of them.
        """
        orphans = Orphans(self.session, self.clock)
        heads = [
            JobHead(f'j{number}', 'h', '/p/', 1, 0, 'gone', 'x')
            for number in range(JOBS)
        ]

        def poll():
            return [head for head in heads if orphans.should_take_over(head)]

        self.assertLessEqual(calls_of(poll), CALLS_PER_JOB * JOBS)
        ranks = [orphans.rank(head) for head in heads]
        for rank in range(RANKS):
            taken = {head.id for head in poll()}
            due = {
                head.id
                for head, each in zip(heads, ranks, strict=True)
                if each <= rank
            }
            self.assertEqual(taken, due)
            self.clock.advance(RANK_DELAY_S * 1.01)
            self.renew()
            self.session.renew_and_read()

    def test_derived(self):
        """A list of addresses is built again only if the members change."""
        places = DerivedMembers(
            self.session.members_as_read, lambda found: list(map(str, found))
        )
        self.assertEqual(len(places.current()), MANY)
        self.assertIs(places.current(), places.current())
        self.sessions[1].leave()
        self.session.renew_and_read()
        self.assertEqual(len(places.current()), MANY - 1)
