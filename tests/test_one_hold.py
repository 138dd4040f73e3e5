"""Tests that a process holds each job once, whoever sends it when."""

import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
from gevent.event import Event
from nose2.tools import params

from cactusridge import events
from cactusridge.clock import ManualClock
from cactusridge.jobs import job_starter
from cactusridge.jobs.conditional_writer import HoldLost
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.held_job import restored_job
from cactusridge.jobs.keys import head_key
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.manager import JobManager
from cactusridge.jobs.membership import Membership
from cactusridge.jobs.membership_start import MembershipStart
from cactusridge.jobs.model import JobHead, JobItem, JobState
from cactusridge.jobs.orphans import Orphans
from cactusridge.jobs.running_item import RunningItem
from cactusridge.jobs.scheduler import BatchScheduler
from cactusridge.store.table import Priority, WriteUnknown
from standins.memory_table import MemoryTable
from tests.emitted import emitted
from tests.memory_objects import MemoryObjects
from tests.store_time import store_clock_at

REPLY_S = 0.02
POLL_S = 0.01
COPIES = 12
# Time in seconds in which all starts have ended.
SETTLED_S = 0.5
POLLS = int(SETTLED_S / POLL_S)
ITEMS = [JobItem('i', '/p/0', {}, 'MQ==', 1)]
OTHER_ITEMS = [JobItem('other', '/p/0', {}, 'Mg==', 1)]


class DelayedTable(MemoryTable):
    """Replies to each call after REPLY_S; may lose replies of writes."""

    lost_replies = 0

    def transact(self, *args):
        """Write the rows."""
        version = super().transact(*args)
        gevent.sleep(REPLY_S)
        if self.lost_replies:
            self.lost_replies -= 1
            raise WriteUnknown('the reply is lost')
        return version

    def read(self, *args):
        """Read the rows."""
        gevent.sleep(REPLY_S)
        return super().read(*args)

    def scan(self, *args, **kwargs):
        """Scan the rows."""
        gevent.sleep(REPLY_S)
        return super().scan(*args, **kwargs)


def scheduler_of_no_replicas() -> BatchScheduler:
    """Return a scheduler that starts no items by itself."""
    sharing = mock.Mock()
    sharing.cells.name = 'one'
    return BatchScheduler(
        mock.Mock(),
        mock.Mock(),
        ManualClock(),
        mock.Mock(),
        sharing,
        mock.Mock(),
    )


class HoldCase(unittest.TestCase):
    """A manager on a table that replies late."""

    def setUp(self):
        """Let one entry become a member."""
        self.table = DelayedTable()
        clock = ManualClock()
        self.session = Membership(
            self.table,
            clock,
            'one',
            ('127.0.0.1', 1),
            'z',
            MembershipStart(store_clock_at(clock)),
        )
        self.session.renew_and_read()
        self.heads = JobHeads()
        self.scheduler = scheduler_of_no_replicas()
        self.ledger = JobLedger(self.table, MemoryObjects(), clock)
        self.manager = JobManager(
            self.ledger,
            self.heads,
            self.session,
            self.scheduler,
            Orphans(self.session, clock),
            clock,
            lambda: True,
        )
        self.started = []
        patched = mock.patch.object(job_starter, 'restored_job', self.restored)
        patched.start()
        self.addCleanup(patched.stop)
        self.addCleanup(self.stop_all)

    def restored(self, *args):
        """Restore a job and note it as started."""
        held = restored_job(*args)
        self.started.append(held)
        return held

    def stop_all(self):
        """End the commits of all holds."""
        for held in self.started:
            held.stop()

    def new_head(self) -> JobHead:
        """Return the head of a job that this entry accepts."""
        return self.manager.with_this_holder(JobHead('job', 'h', '/p', 1, 0))

    def store(self, head: JobHead) -> None:
        """Store a job without starting it; this entry knows its head."""
        self.ledger.accept(head, ITEMS)
        self.heads.update(self.ledger.head('job'))

    def send(self, items=ITEMS):
        """Send a copy of the job."""
        return self.manager.accept(self.new_head(), items)

    def send_copies(self):
        """Send copies of the job, and poll for orphans all the while."""
        for number in range(POLLS):
            if number < COPIES:
                gevent.spawn(self.send)
            self.manager.poll()
            gevent.sleep(POLL_S)


class TestOneHold(HoldCase):
    """Guards against two holds of one job, which take it from each other."""

    @params('orphan', 'own', 'new', 'reply lost')
    def test_copies(self, state):
        """A job that is sent again while it starts is started once."""
        if state == 'orphan':
            self.store(self.new_head()._replace(holder=''))
        elif state == 'own':
            self.store(self.new_head())
        elif state == 'reply lost':
            self.table.lost_replies = 1
        with emitted() as found:
            self.send_copies()
        self.assertEqual(1, len(self.started))
        self.assertNotIn(events.JOB_LEASE_LOST, found)
        self.assertIs(self.started[0], self.manager.held('job'))
        self.assertFalse(self.started[0].stopped)

    def test_head_before_reply(self):
        """A job whose head is read before its write is confirmed starts once.

        The poll would take it for a job that this entry has failed to start.
        """
        accepted = gevent.spawn(self.send)
        gevent.sleep(0)
        # The feed is ahead of the reply.
        for row in MemoryTable.read(
            self.table, [head_key('job')], Priority.lease
        ):
            self.heads.put(row)
        self.manager.poll()
        accepted.get()
        gevent.sleep(SETTLED_S)
        self.assertEqual(1, len(self.started))

    def test_other_items(self):
        """A copy with other items starts nothing; the stored items run."""
        self.store(self.new_head())
        self.send(OTHER_ITEMS)
        self.manager.poll()
        gevent.sleep(SETTLED_S)
        tasks = self.manager.held('job').pending.values()
        self.assertEqual(['i'], [task.item.id for task in tasks])

    @params('ended', 'taken by another')
    def test_lost_while_starting(self, how):
        """A job that ends or is taken over while it starts does not run."""
        head = self.send()
        changed = (
            head._replace(state=JobState.ended)
            if how == 'ended'
            else head._replace(holder='two', life='l')
        )
        self.heads.update(changed._replace(version=head.version + 1))
        gevent.sleep(SETTLED_S)
        self.assertEqual(
            (1, None), (len(self.started), self.manager.held('job'))
        )

    def test_start_that_fails(self):
        """A start that ends with an unexpected error may be repeated."""
        self.store(self.new_head()._replace(holder=''))
        with mock.patch.object(self.ledger, 'items', side_effect=KeyError):
            self.manager.poll()
            gevent.sleep(SETTLED_S)
        self.manager.poll()
        gevent.sleep(SETTLED_S)
        self.assertIsNotNone(self.manager.held('job'))


class TestSuccessor(HoldCase):
    """Guards against an old hold that stops the one which follows it."""

    def hold(self):
        """Return a hold of the job with an item in flight."""
        stored = self.ledger.head('job')
        held = restored_job(stored, ITEMS, self.ledger, ManualClock())
        greenlet = gevent.spawn(Event().wait)
        self.addCleanup(greenlet.kill)
        task = held.pending[0]
        running = RunningItem(held, task, mock.Mock(), greenlet, 0, 0)
        self.scheduler._running.append(running)
        self.scheduler.jobs['job'] = held
        return SimpleNamespace(job=held, item=greenlet)

    @params('lost', 'stopped', 'other claim')
    def test_kept(self, how):
        """What ends an earlier hold leaves the later one and its items."""
        self.ledger.accept(self.new_head(), ITEMS)
        first, second = self.hold(), self.hold()
        if how == 'lost':
            lost = HoldLost('another hold has committed')
            with mock.patch.object(first.job, 'flush', side_effect=lost):
                self.manager._flush(first.job)
        elif how == 'stopped':
            self.scheduler.stop_job(first.job)
        self.scheduler.may_dispatch.set()
        gevent.sleep(0.05)
        self.assertIs(second.job, self.manager.held('job'))
        self.assertFalse(second.item.dead)
        self.assertEqual(how != 'other claim', first.item.dead)
        self.assertFalse(self.scheduler._may_start(first.job, mock.Mock()))
        self.assertTrue(self.scheduler._may_start(second.job, mock.Mock()))
