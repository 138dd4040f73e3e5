"""What is under way at the moment at which a process is told to stop.

Each was looked at once, before the stop, and taken for over: a scan whose
spans came after it, a job whose progress was being read, a renewal on its way
to the store, counts of requests that were served later.
"""

import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
from gevent.event import Event
from gevent.pool import Group

from cactusridge import events
from cactusridge.batch.driver import BatchDriver
from cactusridge.batch.span import Span, span_key
from cactusridge.clock import ManualClock
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.hold_writer import HoldLost
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.manager import JobManager
from cactusridge.jobs.model import JobHead, JobItem
from cactusridge.jobs.orphans import Orphans
from cactusridge.jobs.session import PREFIX, Session
from cactusridge.jobs.tenure import Tenure
from cactusridge.platform.job_parts import JobParts
from cactusridge.startup.models import (
    BatchSettings,
    EntryPolicy,
)
from cactusridge.store.store_clock import StoreClock
from cactusridge.store.table import Priority, Write
from standins.memory_table import MemoryTable
from tests.memory_objects import MemoryObjects

ADDRESS = '127.0.0.1:1'
BOUND_S = 5


class SlowTable(MemoryTable):
    """Holds the next call of one kind back until told to go on."""

    def __init__(self, call: str) -> None:
        """Hold the next ``call`` back once ``hold`` is set."""
        super().__init__()
        self.hold = False
        self.held = Event()
        self.go_on = Event()
        self._call = call

    def transact(self, *args):
        """Write, perhaps later."""
        self._wait('transact')
        return super().transact(*args)

    def scan(self, *args, **kwargs):
        """Scan, perhaps later."""
        self._wait('scan')
        return super().scan(*args, **kwargs)

    def read(self, *args):
        """Read, perhaps later."""
        self._wait('read')
        return super().read(*args)

    def _wait(self, call: str) -> None:
        if self.hold and call == self._call:
            self.hold = False
            self.held.set()
            self.go_on.wait()


def session_on(table, clock) -> Session:
    """Return the session of an entry called ``one``."""
    tenure = Tenure(StoreClock(clock))
    return Session(table, clock, 'one', ('127.0.0.1', 1), 'z', tenure)


class TestSpans(unittest.TestCase):
    """The batch driver of the product's own interface."""

    def parts(self, table, clock):
        """Return what a driver needs, its fleet of one entry."""
        cfg = SimpleNamespace(
            address=ADDRESS,
            batch=BatchSettings(shards=1),
            policy=EntryPolicy(),
        )
        parts = mock.Mock(cfg=cfg, clock=clock, table=table, greenlets=Group())
        parts.fleet.entry_names.return_value = [ADDRESS]
        parts.catalog.by_path.return_value = SimpleNamespace(
            settings=SimpleNamespace(repeatable=False),
        )
        # Input that does not come while the test runs.
        parts.objects.get.side_effect = lambda *_: gevent.sleep(60)
        self.addCleanup(parts.greenlets.kill)
        return parts

    def test_scan_under_way(self):
        """What a scan finds after the stop is left to other entries."""
        table, clock = SlowTable('scan'), ManualClock()
        due = clock.wall() + 9000
        span = Span('job', 'team', 0, '/s', '/u', 'x', [0, 1], 1, due, 0, False)
        key = span_key('job', 0, 1)
        table.transact([], [Write(key, span._asdict())], Priority.lease)
        driver = BatchDriver(self.parts(table, clock))
        table.hold = True
        step = gevent.spawn(driver.step)
        table.held.wait(BOUND_S)
        driver.stop(BOUND_S)
        table.go_on.set()
        step.join()
        gevent.sleep(0)
        row = table.read([key], Priority.lease)[0]
        self.assertEqual(('', {}), (row.value['holder'], row.value['started']))
        self.assertEqual([], driver.held())


class TestJobs(unittest.TestCase):
    """The jobs of an entry that reaches upstreams itself."""

    def test_begin_under_way(self):
        """A job whose progress is being read at the stop is handed on."""
        table, clock = SlowTable('read'), ManualClock()
        session = session_on(table, clock)
        session.step()
        scheduler = mock.Mock(jobs={})
        ledger = JobLedger(table, MemoryObjects(), clock)
        manager = JobManager(
            ledger,
            JobHeads(),
            session,
            scheduler,
            Orphans(session, clock),
            clock,
            lambda: True,
        )
        head = manager.held_here(JobHead('job', 'h', '/p', 1, 0))
        table.hold = True
        manager.accept(head, [JobItem('i', '/p/0', {}, 'MQ==', 1)])
        table.held.wait(BOUND_S)
        manager.stop()
        table.go_on.set()
        gevent.sleep(0.1)
        self.assertEqual(({}, ''), (scheduler.jobs, ledger.head('job').holder))

    def test_take_over_lost(self):
        """Who loses the race for a job says so and reads it anew."""
        manager, ledger = self.manager_over_mocks()
        ledger.take_over.side_effect = HoldLost('another entry was first')
        with mock.patch('cactusridge.logs.emit') as emit:
            manager.look()
            gevent.sleep(0)
        self.assertEqual(mock.call('job'), ledger.head.call_args)
        said = {call.args[0] for call in emit.call_args_list}
        self.assertEqual({events.TAKE_FAILED}, said)

    def manager_over_mocks(self):
        """Return a manager that sees an orphaned job, and its ledger."""
        head = JobHead('job', 'h', '/p', 1, 0, '', '')
        heads, ledger = mock.Mock(), mock.Mock()
        heads.every.return_value = [head]
        ledger.head.return_value = head
        manager = JobManager(
            ledger,
            heads,
            mock.Mock(),
            mock.Mock(jobs={}),
            Orphans(session_on(MemoryTable(), ManualClock()), ManualClock()),
            ManualClock(),
            lambda: True,
        )
        return manager, ledger

    def test_renewal_under_way(self):
        """An entry that has left is not brought back by its renewal."""
        table = SlowTable('transact')
        session = session_on(table, ManualClock())
        session.step()
        table.hold = True
        renewing = gevent.spawn(session.step)
        table.held.wait(BOUND_S)
        leaving = gevent.spawn(session.leave)
        gevent.sleep(0)
        table.go_on.set()
        gevent.joinall([renewing, leaving], BOUND_S)
        rows = table.scan(PREFIX, Priority.lease)
        self.assertEqual([], [row.key for row in rows if row.value])

    def test_hand_over_that_waits(self):
        """The entry leaves though a job can't be handed on in time."""
        parts = object.__new__(JobParts)
        parts.manager = mock.Mock()
        parts.manager.stop.side_effect = lambda: gevent.sleep(60)
        parts.session = mock.Mock()
        with mock.patch('cactusridge.logs.emit') as emit:
            parts.finish(0.1)
        parts.session.leave.assert_called_once()
        self.assertIn(events.HAND_OVER_CUT, emit.call_args.args)
