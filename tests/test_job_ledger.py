"""Tests of the ledger of batch jobs on a store with faults."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.errors import NotFound, OutcomeUnknown, StoreUnavailable
from cactusridge.jobs.conditional_writer import HoldLost
from cactusridge.jobs.job_changes import FinishedItem, JobChanges
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.model import (
    Checkpoint,
    ItemState,
    JobHead,
    JobItem,
    JobState,
    Result,
)
from cactusridge.store.table import Priority
from standins.faults import FaultKind
from standins.memory_table import MemoryTable
from tests.memory_objects import MemoryObjects

JOB = 'job1'
LONG = 'é' * 40_000


def item(number: int) -> JobItem:
    """Return a job item with the given number."""
    return JobItem(f'i{number}', f'/p/{number}', {'X-M': 'm'}, 'YQ==', 3)


def end(index: int, output: str = 'out') -> FinishedItem:
    """Return a finished item with the given index and output."""
    return FinishedItem(index, Result(f'i{index}', ItemState.completed, output))


class LedgerCase(unittest.TestCase):
    """A ledger with one job of three items."""

    def setUp(self):
        """Accept the job."""
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.ledger = JobLedger(self.table, self.objects, ManualClock())
        self.head = JobHead(JOB, 'h', '/p/', 3, 0, 'one', 'life1')
        self.items = [item(number) for number in range(3)]
        self.stored = self.ledger.accept(self.head, self.items).head

    def listed(self) -> list[str]:
        """Return the ids of the results in order."""
        return [result.id for result in self.ledger.results(JOB, 0)]


class TestJobLedger(LedgerCase):
    """Jobs are accepted once and results listed once, by one holder."""

    def test_resend_finds_the_first(self):
        """A job that is submitted again to another entry is the same job."""
        again = self.head._replace(holder='two', life='life2')
        self.assertEqual(
            'one', self.ledger.accept(again, self.items).head.holder
        )
        self.assertEqual(self.items, self.ledger.items(JOB))

    def test_unknown_job(self):
        """The head of a job that was never accepted raises NotFound."""
        with self.assertRaises(NotFound):
            self.ledger.head('other')

    @params(
        (FaultKind.lose_answer,),
        (FaultKind.cut,),
        (FaultKind.cut, FaultKind.lose_answer),
        (FaultKind.lose_answer, FaultKind.down),
    )
    def test_commit_with_lost_answers(self, *faults):
        """Each result is listed once even if responses are lost."""
        progress = self.ledger.progress(JOB)
        self.table.faults.extend(faults)
        progress = self.ledger.commit(JOB, progress, JobChanges([end(1)]))
        self.ledger.commit(
            JOB, progress, JobChanges([end(0), end(2)], {'1': 1})
        )
        self.assertEqual(['i1', 'i0', 'i2'], self.listed())

    def test_store_down(self):
        """A commit that the store has refused can be retried."""
        progress = self.ledger.progress(JOB)
        self.table.faults.append(FaultKind.down)
        with self.assertRaises(StoreUnavailable):
            self.ledger.commit(JOB, progress, JobChanges([end(1)]))
        self.ledger.commit(JOB, progress, JobChanges([end(1)]))
        self.assertEqual(['i1'], self.listed())

    def test_old_holder_lists_nothing(self):
        """After a takeover the previous holder cannot commit results."""
        old = self.ledger.progress(JOB)
        self.ledger.take_over(self.stored, 'two', 'life2')
        with self.assertRaises(HoldLost):
            self.ledger.commit(JOB, old, JobChanges([end(0)]))
        new = self.ledger.progress(JOB)
        self.ledger.commit(JOB, new, JobChanges([end(0)]))
        self.assertEqual(['i0'], self.listed())

    def test_one_of_two_takes(self):
        """If two entries take over a job at once, one of them succeeds."""
        self.ledger.take_over(self.stored, 'two', 'life2')
        with self.assertRaises(HoldLost):
            self.ledger.take_over(self.stored, 'three', 'life3')

    def test_large_payload(self):
        """Items larger than a transaction are stored in an object."""
        large = [item(0)._replace(body='YQ==' * 200_000)]
        head = self.head._replace(id='job2', items=1)
        self.ledger.accept(head, large)
        self.assertEqual(1, len(self.objects.stored))
        self.assertEqual(large, self.ledger.items('job2'))
        self.ledger.remove(self.ledger.head('job2'))
        self.assertEqual({}, self.objects.stored)

    def test_removed(self):
        """The removal of a job deletes all its rows and no others."""
        progress = self.ledger.progress(JOB)
        step = JobChanges([end(0, LONG)], {}, [Checkpoint(1, '2', 'x')])
        self.ledger.commit(JOB, progress, step)
        self.ledger.accept(self.head._replace(id='other'), self.items)
        self.ledger.remove(self.ledger.head(JOB))
        left = [row.key for row in self.table.scan('', Priority.report)]
        self.assertEqual([], [key for key in left if JOB in key])
        self.assertEqual(self.items, self.ledger.items('other'))

    def test_stored_but_unreadable(self):
        """The outcome is unknown if the head of a stored job is unreadable."""
        self.table.faults.append(FaultKind.lose_answer)
        self.table.fail_reads = 1
        with self.assertRaises(OutcomeUnknown):
            self.ledger.accept(self.head._replace(id='job3'), self.items)

    def test_accepted_in_one_call(self):
        """A job is accepted without a read after the insertion."""
        self.table.fail_reads = 1
        head = self.head._replace(id='job4')
        accepted = self.ledger.accept(head, self.items).head
        self.table.fail_reads = 0
        self.assertEqual(self.ledger.head('job4'), accepted)

    def test_partials(self):
        """A checkpoint survives a takeover and is removed with the result."""
        progress = self.ledger.progress(JOB)
        parts = [Checkpoint(0, '7', 'a'), Checkpoint(2, '3', 'b')]
        progress = self.ledger.commit(
            JOB, progress, JobChanges(checkpoints=parts)
        )
        self.ledger.take_over(self.stored, 'two', 'life2')
        self.assertEqual(parts, self.ledger.checkpoints(JOB))
        progress = self.ledger.progress(JOB)
        done = end(0)._replace(checkpointed=True)
        self.ledger.commit(JOB, progress, JobChanges([done]))
        self.assertEqual(parts[1:], self.ledger.checkpoints(JOB))

    @params((), (FaultKind.lose_answer,), (FaultKind.cut,))
    def test_end(self, *faults):
        """A job can be ended again without an effect."""
        self.table.faults.extend(faults)
        self.assertEqual(JobState.ended, self.ledger.end(JOB).state)
        self.assertEqual(JobState.ended, self.ledger.end(JOB).state)

    def test_long_outputs_by_position(self):
        """Outputs longer than a row are returned whole from any position."""
        progress = self.ledger.progress(JOB)
        ends = [end(0, LONG), end(1, ''), end(2, LONG[:-1])]
        self.ledger.commit(JOB, progress, JobChanges(ends))
        for after in range(4):
            found = self.ledger.results(JOB, after)
            wanted = [each.result for each in ends[after:]]
            self.assertEqual(wanted, found)
