"""Tests the order of growth of an idle entry's work in a large fleet.

Cost is the number of function calls. docs/CAPACITY.md has the orders.
"""

import unittest
from unittest import mock

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.http.client import parse_address
from cactusridge.jobs.member import MEMBER_PREFIX
from cactusridge.jobs.membership import MEMBER_LEASE_S, Membership
from cactusridge.jobs.membership_start import MembershipStart
from cactusridge.jobs.model import JobHead
from cactusridge.jobs.orphans import RANK_DELAY_S, Orphans
from cactusridge.organisations.limit_messages import Candidate
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.peers.audience import Audience
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.loads import LoadTable
from cactusridge.platform.derived_members import DerivedMembers
from cactusridge.platform.row_codec import key_fields, pack, parse_rows
from cactusridge.store.store_clock import StoreClock
from cactusridge.store.table import Priority, Write
from standins.memory_table import MemoryTable
from tests.call_counts import calls_of, calls_once
from tests.cells_play import SERVICE, cells_of, put_replicas, spread

FEW = 30
MANY = 300
MS_PER_S = 1000
# Period in which all entries of a fleet start, in milliseconds.
START_MS = 4500
# Calls that an update of the owners may take for each member that has been
# listed for long enough since the last one.
CALLS_PER_CHANGE = 120
ZONES = 4
REPLICAS = 100
# Calls for the share of an entry in the slots of one replica, and for one hash
# of a name.
CALLS_PER_SHARE = 12
CALLS_PER_HASH = 6
# Calls for a row of the member list, and for a look at the members.
CALLS_PER_ROW = 20
CALLS_PER_LOOK = 10
CALLS_PER_DECODED_ROW = 24
# Orphaned jobs, and calls for each at a poll.
JOBS = 50
RANKS = 30
CALLS_PER_JOB = 100


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
                MembershipStart(StoreClock(self.clock)),
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


class TestOffers(unittest.TestCase):
    """The repeated offers of slots to the entries of other cells."""

    def setUp(self):
        """Create an entry of a large fleet that hears from its cell."""
        entries = spread(MANY, ZONES)
        clock = ManualClock(0)
        fleet = FleetView()
        put_replicas(fleet, REPLICAS, ZONES)
        self.cells = cells_of(entries, fleet, clock=clock)
        loads = LoadTable(clock)
        for name in self.cells.local_names() - {self.cells.name}:
            loads.set_peer_loads(name, {})
        self.sharing = BatchSharing(fleet, self.cells)
        address = parse_address(self.cells.name)
        targets = frozenset(parse_address(each.name) for each in entries)
        self.audience = Audience(address, loads, lambda: targets, self.sharing)

    def test_repeat(self):
        """An offer costs calls by its replicas, not by the entries.

        Otherwise each entry computes twice a second which entry of its cell
        serves each entry of the fleet.
        """
        calls = calls_of(lambda: list(self.audience.offers()))
        offers = len(list(self.audience.offers()))
        replicas = len(list(self.cells.local_replicas()))
        self.assertGreater(offers, 0)
        self.assertLessEqual(calls, CALLS_PER_SHARE * (offers + 8) * replicas)

    def test_first(self):
        """The first offers do not compute who runs batch at every replica.

        While a fleet starts, each read of the members changes the cells.
        """
        replicas = len(list(self.cells.local_replicas()))
        calls = calls_once(lambda: list(self.audience.offers()))
        hashes = MANY * (replicas + 2)
        self.assertLessEqual(calls, CALLS_PER_HASH * hashes)

    def test_batch_replicas(self):
        """An entry does not rank all entries to find its batch replicas."""
        calls = calls_once(lambda: self.sharing.replicas_of(SERVICE))
        self.assertLessEqual(calls, REPLICAS * MANY)
