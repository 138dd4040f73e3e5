"""Base of tests in which another writer corrupts the rows of jobs."""

import unittest

from cactusridge.clock import ManualClock
from cactusridge.jobs.conditional_writer import HoldLost
from cactusridge.jobs.job_changes import FinishedItem
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.model import (
    ItemState,
    JobHead,
    JobItem,
    Result,
)
from cactusridge.platform.errors import failure_reply
from cactusridge.store.unreadable import UnreadableRecord
from tests.memory_objects import MemoryObjects
from tests.spoilt_table import SpoiltTable

JOB, OTHER = 'job1', 'job2'
LONG = 'é' * 40_000
HEAD = JobHead(JOB, 'h', '/p/', 3, 0, 'one', 'life1')
PROGRESS = {'listed': [0], 'failures': {'1': 2}, 'write_id': 'w'}
LISTED_ODDLY = (
    {**PROGRESS, 'listed': [0, 0]},
    {**PROGRESS, 'listed': [-1]},
    {**PROGRESS, 'listed': ['0']},
    {**PROGRESS, 'listed': [True]},
    {**PROGRESS, 'failures': {'1': '2'}},
    {**PROGRESS, 'failures': {'1': -2}},
)
RESULT = {'id': 'i1', 'state': 'completed', 'output': 'out'}
PARTIAL = {'last_id': '7', 'output': 'text'}


def item(number: int) -> JobItem:
    """Return a job item with the given number."""
    return JobItem(f'i{number}', f'/p/{number}', {'X-M': 'm'}, 'YQ==', 3)


def end(index: int, output: str = 'out') -> FinishedItem:
    """Return a finished item with the given index and output."""
    return FinishedItem(index, Result(f'i{index}', ItemState.completed, output))


def spoilt_texts():
    """Yield payload texts that are not a list of valid items."""
    yield from ('', '[', '{}', '5', '[5]', '[[]]', '[["a"]]', 'null')
    yield '[["i0","/p",{},"YQ",3]]'
    for field, odd in enumerate(('5', '5', '{"a":5}', '"***"', '"x"')):
        fields = ['"i0"', '"/p"', '{}', '"YQ=="', '3']
        fields[field] = odd
        yield f'[[{",".join(fields)}]]'


class SpoiltJobCase(unittest.TestCase):
    """Two jobs of three items in a table with another writer."""

    def setUp(self):
        """Accept both jobs."""
        self.table = SpoiltTable()
        self.objects = MemoryObjects()
        self.clock = ManualClock()
        self.ledger = JobLedger(self.table, self.objects, self.clock)
        self.items = [item(number) for number in range(3)]
        self.head = self.ledger.accept(HEAD, self.items).head
        self.ledger.accept(HEAD._replace(id=OTHER), self.items)
        self.progress = self.ledger.progress(JOB)

    def check_refused(self, act):
        """Check that ``act`` raises UnreadableRecord and writes nothing."""
        before = self.table.store.version
        with self.assertRaises(UnreadableRecord) as caught:
            act()
        reply = failure_reply(caught.exception)
        self.assertEqual(503, reply.status)
        self.assertIn('Retry-After', dict(reply.headers))
        self.assertEqual(before, self.table.store.version)

    def check_lost(self, act):
        """Check that ``act`` raises HoldLost and writes nothing."""
        before = self.table.store.version
        with self.assertRaises(HoldLost):
            act()
        self.assertEqual(before, self.table.store.version)
