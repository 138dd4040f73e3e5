"""Commits of results stay within what one call of the store holds.

Up to 20 results went into one transaction. Larger outputs that ended together
made it larger than the store accepts, and the holder sent it again for ever.
"""

import base64
import unittest
from unittest import mock

import gevent
from nose2.tools import params

from cactusridge import wire
from cactusridge.clock import ManualClock
from cactusridge.jobs.commit_size import MAX_ENTRIES, fitting_changes
from cactusridge.jobs.held_job import restored_job
from cactusridge.jobs.job_changes import JobChanges
from cactusridge.jobs.ledger import MAX_CHECKPOINT_CHARS, JobLedger
from cactusridge.jobs.model import (
    Checkpoint,
    ItemState,
    JobHead,
    JobItem,
    Progress,
)
from cactusridge.store.table import CallRefused
from standins.memory_table import MemoryTable
from tests.memory_objects import MemoryObjects
from tests.test_job_ledger import end

CALL_BYTES = 1_000_000
ROW_BYTES = 65_536
ITEMS = 24
EVENT = 'x' * 390
# Outputs of 208 events; texts whose characters take up to 6 bytes in JSON.
OUTPUTS = (
    'short',
    '\n'.join([EVENT] * 208),
    '"' * 70_000,
    '\x01' * 70_000,
    '😀' * 70_000,
)


def packed(held):
    """Return a value as the platform's store keeps it."""
    return base64.b64encode(wire.encode(held)).decode()


class Stopped(Exception):
    """Ends a loop after its second pause."""


class StrictTable(MemoryTable):
    """Refuses calls and rows over the limits of the platform's store."""

    def __init__(self):
        """Start with the limits of the platform's store."""
        super().__init__()
        self.max_entries = MAX_ENTRIES
        self.calls = 0

    def transact(self, conditions, writes, priority):
        """Write the rows, or raise CallRefused without a write."""
        encoded = [packed(each.value) for each in writes if each.value]
        message = wire.encode([[each.key for each in writes], encoded])
        rows = [len(base64.b64decode(each)) for each in encoded]
        entries = len(conditions) + len(writes)
        self.calls += 1
        if entries > self.max_entries or len(message) > CALL_BYTES:
            raise CallRefused(f'{entries} entries, {len(message)} bytes')
        if max(rows, default=0) > ROW_BYTES:
            raise CallRefused(f'a row of {max(rows)} bytes')
        return super().transact(conditions, writes, priority)


class TestCommits(unittest.TestCase):
    """A holder commits what ended together."""

    def setUp(self):
        """Hold a job of many items."""
        self.table = StrictTable()
        self.ledger = JobLedger(self.table, MemoryObjects(), ManualClock())
        head = JobHead('job1', 'h', '/p/', ITEMS, 0, 'one', 'life1')
        items = [
            JobItem(f'i{number}', f'/p/{number}', {}, 'YQ==', 1)
            for number in range(ITEMS)
        ]
        stored = self.ledger.accept(head, items).head
        self.held = restored_job(stored, items, self.ledger, ManualClock())

    def finish(self, index, output):
        """Let an item end with an output."""
        task = self.held.pending.pop(index)
        task.event_data = [output]
        task.last_id = '1'
        self.held.record_end(task, ItemState.completed)

    def listed(self):
        """Return the outputs in the order of the results."""
        found = []
        while page := self.ledger.results('job1', len(found)):
            found.extend(page)
        return [each.output for each in found]

    @params(*OUTPUTS)
    def test_listed(self, output):
        """All results are listed, in the order in which they ended."""
        for index in range(ITEMS):
            self.finish(index, output)
        self.held.flush()
        self.assertTrue(self.held.finished)
        self.assertEqual([output] * ITEMS, self.listed())

    @params(*OUTPUTS)
    def test_handed_over(self, output):
        """A stop commits the results beside checkpoints of other items."""
        for index in range(ITEMS // 2):
            self.finish(index, output)
        for task in self.held.pending.values():
            task.restore('3', output[:MAX_CHECKPOINT_CHARS], task.origin)
        self.held.hand_over()
        self.assertEqual([output] * (ITEMS // 2), self.listed())

    def test_refused(self):
        """A commit that the store refuses is sent again with fewer results."""
        self.table.max_entries = 5
        for index in range(ITEMS):
            self.finish(index, 'short')
        with mock.patch.object(gevent, 'sleep') as sleep:
            self.held.flush()
        self.assertTrue(self.held.finished)
        self.assertEqual(['short'] * ITEMS, self.listed())
        sleep.assert_not_called()

    def test_refused_for_good(self):
        """One that cannot be smaller is not sent again without a pause."""
        self.table.max_entries = 1
        self.finish(0, 'short')
        with (
            mock.patch.object(gevent, 'sleep', side_effect=[None, Stopped]),
            self.assertRaises(Stopped),
        ):
            self.held.flush()
        self.assertLessEqual(self.table.calls, 8)

    @params('"', '\\', 'x', 'ş', '😀')
    def test_accepted(self, text):
        """A job is stored in rows or in an object, whatever its texts are."""
        for chars in (1000, 100_000, 400_000):
            head = JobHead(f'job{chars}', 'h', '/p/', 1, 0, 'one', 'life1')
            item = JobItem('i', '/p/', {'X-M': text * chars}, 'YQ==', 1)
            self.ledger.accept(head, [item])
            self.assertEqual([item], self.ledger.items(head.id))

    @params((1, 'é' * 1_400_000), (2, 'short'))
    def test_first_is_never_left_out(self, count, output):
        """A commit has at least one result, however large it is."""
        ended = [end(index, output) for index in range(count)]
        found = fitting_changes(
            'j', Progress([], {}, 'w'), JobChanges(ended, {}, ())
        )
        self.assertEqual(count, len(found.ended))

    def test_checkpoint_over_a_row(self):
        """A checkpoint that no row can hold is left out."""
        fitting = Checkpoint(0, '1', 'a')
        found = fitting_changes(
            'j',
            Progress([], {}, 'w'),
            JobChanges((), {}, [Checkpoint(1, '1', '\x01' * 15_000), fitting]),
        )
        self.assertEqual([fitting], found.checkpoints)
