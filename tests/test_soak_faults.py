"""What the soak draws, how it spoils entries, and what it then finds."""

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
NEW = frozenset((EntrySpoiled, StrayEntry, Restart))


def drawn(seeds):
    """Return the kinds of fault that some seeds draw."""
    strikes = [schedule(seed, SECONDS) for seed in seeds]
    return {strike.kind for strike in itertools.chain(*strikes)}


class TestSchedule(unittest.TestCase):
    """Seeds kept as regression cases go on drawing what they drew."""

    @params(1, 101)
    def test_before(self, first):
        """Lower seeds know nothing of lists and restarts."""
        self.assertFalse(NEW & drawn(range(first, first + 99)))

    def test_all(self):
        """Higher ones draw all of it."""
        self.assertLessEqual(NEW, drawn(range(201, 231)))

    def test_planned(self):
        """A seed of planned work has no replica that crashes."""
        planned = {*PLANNED, EntrySpoiled, StrayEntry}
        self.assertEqual(planned, drawn(range(200, 240, 4)))


class TestEntrySpoiled(unittest.TestCase):
    """Entries are as they would be without the other writer."""

    def setUp(self):
        """List one replica; nothing listens."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.world = World(Path(folder.name), 1, 4)
        self.addCleanup(self.world.stop)
        self.replica = self.world.replicas[0]
        link = Forwarder(Address('127.0.0.1', 1))
        self.world.replica_links.append(link)
        self.world.register(self.replica, link.address)
        # Whom faults of entries would strike.
        self.world.entries['entry-0'] = None
        self.addCleanup(self.world.entries.clear)
        self.place = ('servers', '', self.replica.id)
        self.listed = self.packed()

    @params(*range(8))
    def test_put_back(self, seed):
        """It is spoiled, then as before; the time between is noted."""
        fault = self.strike(EntrySpoiled, seed)
        self.assertNotEqual(self.listed, self.packed())
        fault.end()
        self.assertEqual(self.listed, self.packed())
        noted = self.world.record.exclusions
        self.assertEqual([self.replica.life], [each.life for each in noted])

    def test_twice(self):
        """A second writer does not put the first one's bytes back."""
        first, second = (self.strike(EntrySpoiled, seed) for seed in (1, 2))
        first.end()
        second.end()
        self.assertEqual(self.listed, self.packed())

    def test_written_meanwhile(self):
        """What the replica has written since stays."""
        spoiled = self.strike(EntrySpoiled, 1)
        self.strike(Leaving, 1)
        leaving = self.packed()
        spoiled.end()
        self.assertEqual(leaving, self.packed())

    def test_restart(self):
        """A newer life has the id of the one before."""
        before = self.replica.life, self.replica.id
        self.strike(Restart, 1).end()
        self.assertNotEqual(before[0], self.replica.life)
        self.assertEqual(before[1], self.replica.id)
        self.assertNotEqual(self.listed, self.packed())

    def strike(self, kind, seed):
        """Begin a fault."""
        fault = kind(self.world, random.Random(seed))
        fault.begin()
        return fault

    def packed(self):
        """Return the replica's entry as the store answers it."""
        return self.world.store.encoded(self.place)


class TestWithheld(unittest.TestCase):
    """Runs at a life that may be given nothing are found."""

    @params(
        ('this', DRAIN_BOUND_S + 1, 1),
        ('this', DRAIN_BOUND_S - 1, 0),
        ('this', DRAIN_BOUND_S + 9, 0),
        ('next', DRAIN_BOUND_S + 1, 0),
    )
    def test_found(self, life, after_s, broken):
        """Within its time, past the bound, and of that life alone."""
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
    """A failure of a replica is the replica's; another is a fault."""

    @params(({}, 1), ({'X-Response-Signature': 'sig.i-0'}, 0))
    def test_status(self, headers, broken):
        """It is told by the replica's signature."""
        record = Record()
        call = Call('r', 'on', 'e', 0, 1, CallEnd.whole, 500, b'', headers)
        record.calls.append(call)
        check_at_end(record)
        self.assertEqual(broken, len(record.violations))
