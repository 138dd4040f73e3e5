"""Fault schedules, injected list faults and final checks of the soak test."""

import itertools
import random
import tempfile
import time
import unittest
from pathlib import Path

from nose2.tools import params

from cactusridge.http.client import Address
from soak.checks import DRAIN_BOUND_S, check_at_end
from soak.list_faults import EntrySpoiled, StrayEntry
from soak.record import Call, CallEnd, ExclusionInterval, Record, RunStart
from soak.replica_faults import Leaving, Restart
from soak.schedule import PLANNED, schedule
from soak.world import World
from standins.forwarder import Forwarder

SECONDS = 20
LATER_KINDS = frozenset((EntrySpoiled, StrayEntry, Restart))


def drawn_kinds(seeds):
    """Return the kinds of fault in the schedules of some seeds."""
    schedules = [schedule(seed, SECONDS) for seed in seeds]
    return {fault.kind for fault in itertools.chain(*schedules)}


class TestSchedule(unittest.TestCase):
    """Seeds kept as regression cases draw the same faults as before."""

    @params(1, 101)
    def test_before(self, first):
        """Seeds below 200 draw no faults of lists and no restarts."""
        self.assertFalse(LATER_KINDS & drawn_kinds(range(first, first + 99)))

    def test_all(self):
        """Seeds above 200 draw faults of lists and restarts."""
        self.assertLessEqual(LATER_KINDS, drawn_kinds(range(201, 231)))

    def test_planned(self):
        """A seed of planned maintenance draws no crash of a replica."""
        planned = {*PLANNED, EntrySpoiled, StrayEntry}
        self.assertEqual(planned, drawn_kinds(range(200, 240, 4)))


class TestEntrySpoiled(unittest.TestCase):
    """A list entry that another writer corrupts is restored afterwards."""

    def setUp(self):
        """List one replica at an address on which nothing listens."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.world = World(Path(folder.name), 1, 4)
        self.addCleanup(self.world.stop)
        self.replica = self.world.replicas[0]
        link = Forwarder(Address('127.0.0.1', 1))
        self.world.replica_links.append(link)
        self.world.register(self.replica, link.address)
        # Each fault draws an entry process when it is created.
        self.world.entries['entry-0'] = None
        self.addCleanup(self.world.entries.clear)
        self.place = ('servers', '', self.replica.id)
        self.listed = self.packed()

    @params(*range(8))
    def test_put_back(self, seed):
        """A list entry is corrupted, restored, and its time is recorded.

        The record names the incarnation that may get no requests meanwhile.
        """
        fault = self.begin_fault(EntrySpoiled, seed)
        self.assertNotEqual(self.listed, self.packed())
        fault.end()
        self.assertEqual(self.listed, self.packed())
        noted = self.world.record.exclusions
        self.assertEqual([self.replica.life], [each.life for each in noted])

    def test_twice(self):
        """Two overlapping faults of a list entry restore its original."""
        first, second = (
            self.begin_fault(EntrySpoiled, seed) for seed in (1, 2)
        )
        first.end()
        second.end()
        self.assertEqual(self.listed, self.packed())

    def test_written_meanwhile(self):
        """The end of a fault keeps what the replica has written since."""
        spoiled = self.begin_fault(EntrySpoiled, 1)
        self.begin_fault(Leaving, 1)
        leaving = self.packed()
        spoiled.end()
        self.assertEqual(leaving, self.packed())

    def test_restart(self):
        """A restart changes the incarnation of a replica and keeps its id."""
        before = self.replica.life, self.replica.id
        self.begin_fault(Restart, 1).end()
        self.assertNotEqual(before[0], self.replica.life)
        self.assertEqual(before[1], self.replica.id)
        self.assertNotEqual(self.listed, self.packed())

    def begin_fault(self, kind, seed):
        """Create a fault, begin it and return it."""
        fault = kind(self.world, random.Random(seed))
        fault.begin()
        return fault

    def packed(self):
        """Return the replica's list entry in the encoding of the store."""
        return self.world.store.encoded(self.place)


class TestWithheld(unittest.TestCase):
    """Runs at an incarnation that may get no requests are violations."""

    @params(
        ('this', DRAIN_BOUND_S + 1, 1),
        ('this', DRAIN_BOUND_S - 1, 0),
        ('this', DRAIN_BOUND_S + 9, 0),
        ('next', DRAIN_BOUND_S + 1, 0),
    )
    def test_found(self, life, after_s, broken):
        """Only runs of that incarnation between bound and end count."""
        record = Record()
        since = time.monotonic()
        until = since + DRAIN_BOUND_S + 5
        record.exclusions.append(
            ExclusionInterval('this', since, until, 'promise')
        )
        record.run_starts.append(RunStart('r', '/on/x', life, since + after_s))
        check_at_end(record)
        self.assertEqual(broken, len(record.violations))


class TestOwnFault(unittest.TestCase):
    """A failure that no replica sent is a violation."""

    @params(({}, 1), ({'X-Response-Signature': 'sig.i-0'}, 0))
    def test_status(self, headers, broken):
        """Status 500 without the signature of a replica is a violation."""
        record = Record()
        call = Call('r', 'on', 'e', 0, 1, CallEnd.whole, 500, b'', headers)
        record.calls.append(call)
        check_at_end(record)
        self.assertEqual(broken, len(record.violations))
