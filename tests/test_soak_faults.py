"""Injected list faults, silences and final checks of the soak test."""

import random
import tempfile
import time
import unittest
from pathlib import Path

from nose2.tools import params

from cactusridge.http.client import Address
from soak.checks import DRAIN_BOUND_S, check_at_end
from soak.list_faults import EntrySpoiled
from soak.record import Call, CallEnd, ExclusionInterval, Record, RunStart
from soak.replica import WORKS_S, SoakReplica
from soak.replica_faults import Leaving, Restart
from soak.world import World
from standins.forwarder import Forwarder


class TestSilent(unittest.TestCase):
    """Silences are short and leave the replica time to work between them."""

    def test_overlapping(self):
        """Two silences of one replica at a time do not become a longer one."""
        record = Record()
        replica = SoakReplica('i-0', 4, record)
        replica.fall_silent(0.1)
        replica.fall_silent(9)
        self.assertEqual(1, len(record.silences))
        replica.silences.wait()
        replica.fall_silent(9)
        self.assertEqual(1, len(record.silences))
        time.sleep(WORKS_S)
        replica.fall_silent(0.1)
        self.assertEqual(2, len(record.silences))


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
