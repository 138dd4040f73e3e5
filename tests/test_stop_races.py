"""Tests of operations that are in progress when a process starts to stop.

Each operation has checked for a stop before it blocks, so that it completes
after the stop: a scan that returns spans, a read of a job's progress, and a
renewal of a membership row.
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
from cactusridge.jobs.conditional_writer import HoldLost
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.manager import JobManager
from cactusridge.jobs.membership import MEMBER_PREFIX, Membership
from cactusridge.jobs.membership_start import MembershipStart
from cactusridge.jobs.model import JobHead, JobItem
from cactusridge.jobs.orphans import Orphans
from cactusridge.platform.job_parts import JobParts
from cactusridge.startup.models import (
    BatchSettings,
    EntryPolicy,
)
from cactusridge.store.table import Priority, Write
from standins.memory_table import MemoryTable
from tests.memory_objects import MemoryObjects
from tests.store_time import store_clock_at

ADDRESS = '127.0.0.1:1'
BOUND_S = 5


class SlowTable(MemoryTable):
    """Blocks the next call of one kind until ``go_on`` is set."""

    def __init__(self, call: str) -> None:
        """Block the next ``call`` once ``hold`` is True."""
        super().__init__()
        self.hold = False
        self.held = Event()
        self.go_on = Event()
        self._call = call

    def transact(self, *args):
        """Write the rows, after blocking if required."""
        self._wait('transact')
        return super().transact(*args)

    def scan(self, *args, **kwargs):
        """Scan the rows, after blocking if required."""
        self._wait('scan')
        return super().scan(*args, **kwargs)

    def read(self, *args):
        """Read the rows, after blocking if required."""
        self._wait('read')
        return super().read(*args)

    def _wait(self, call: str) -> None:
        if self.hold and call == self._call:
            self.hold = False
            self.held.set()
            self.go_on.wait()


def session_on(table, clock) -> Membership:
    """Return the session of an entry named ``one``."""
    membership_start = MembershipStart(store_clock_at(clock))
    return Membership(
        table, clock, 'one', ('127.0.0.1', 1), 'z', membership_start
    )


class TestSpans(unittest.TestCase):
    """Spans of the batch driver during a stop."""

    def parts(self, table, clock):
        """Return the dependencies of a driver in a fleet of one entry."""
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
        # The input object does not arrive while the test runs.
        parts.objects.get.side_effect = lambda *_: gevent.sleep(60)
        self.addCleanup(parts.greenlets.kill)
        return parts

    def test_scan_under_way(self):
        """Spans that a scan returns after the stop are not taken."""
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
    """Jobs of an entry that sends items directly to upstreams."""

    def test_begin_under_way(self):
        """A job whose progress is read during the stop is handed over."""
        table, clock = SlowTable('read'), ManualClock()
        session = session_on(table, clock)
        session.renew_and_read()
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
        head = manager.with_this_holder(JobHead('job', 'h', '/p', 1, 0))
        table.hold = True
        manager.accept(head, [JobItem('i', '/p/0', {}, 'MQ==', 1)])
        table.held.wait(BOUND_S)
        manager.stop()
        table.go_on.set()
        gevent.sleep(0.1)
        self.assertEqual(({}, ''), (scheduler.jobs, ledger.head('job').holder))

    def test_take_over_lost(self):
        """An entry that loses the race for a job logs it and reads the head."""
        manager, ledger = self.manager_over_mocks()
        ledger.take_over.side_effect = HoldLost('another entry was first')
        with mock.patch('cactusridge.logs.emit') as emit:
            manager.poll()
            gevent.sleep(0)
        self.assertEqual(mock.call('job'), ledger.head.call_args)
        said = {call.args[0] for call in emit.call_args_list}
        self.assertEqual({events.TAKE_FAILED}, said)

    def manager_over_mocks(self):
        """Return a manager that knows an orphaned job, and its ledger."""
        head = JobHead('job', 'h', '/p', 1, 0, '', '')
        heads, ledger = mock.Mock(), mock.Mock()
        heads.all_heads.return_value = [head]
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
        """A renewal in progress does not restore the row of a left entry."""
        table = SlowTable('transact')
        session = session_on(table, ManualClock())
        session.renew_and_read()
        table.hold = True
        renewing = gevent.spawn(session.renew_and_read)
        table.held.wait(BOUND_S)
        leaving = gevent.spawn(session.leave)
        gevent.sleep(0)
        table.go_on.set()
        gevent.joinall([renewing, leaving], BOUND_S)
        rows = table.scan(MEMBER_PREFIX, Priority.lease)
        self.assertEqual([], [row.key for row in rows if row.value])

    def test_hand_over_that_waits(self):
        """The entry leaves even if the handover of jobs exceeds its timeout."""
        parts = object.__new__(JobParts)
        parts.manager = mock.Mock()
        parts.manager.stop.side_effect = lambda: gevent.sleep(60)
        parts.session = mock.Mock()
        with mock.patch('cactusridge.logs.emit') as emit:
            parts.finish(0.1)
        parts.session.leave.assert_called_once()
        self.assertIn(events.HANDOVER_CUT_SHORT, emit.call_args.args)
