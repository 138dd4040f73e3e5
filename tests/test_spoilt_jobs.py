"""Rows of jobs that cannot be read are never taken for absent."""

import unittest

from nose2.tools import params

from cactusridge import events
from cactusridge.clock import ManualClock
from cactusridge.errors import OutcomeUnknown
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.held_job import restored_job
from cactusridge.jobs.hold_writer import HoldLost
from cactusridge.jobs.keys import head_key, payload_prefix, progress_key
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.model import (
    ItemState,
    JobHead,
    JobItem,
    Partial,
    Result,
    head_value,
)
from cactusridge.jobs.step import ItemEnd, Step
from cactusridge.platform.errors import failure_reply
from cactusridge.store.table import Priority, Row
from cactusridge.store.unreadable import UnreadableRecord
from standins.faults import FaultKind
from tests.emitted import emitted
from tests.memory_objects import MemoryObjects
from tests.spoilt_table import SpoiltTable, spoilings

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
    """Return an item."""
    return JobItem(f'i{number}', f'/p/{number}', {'X-M': 'm'}, 'YQ==', 3)


def end(index: int, output: str = 'out') -> ItemEnd:
    """Return an item that is done."""
    return ItemEnd(index, Result(f'i{index}', ItemState.completed, output))


def spoilt_texts():
    """Yield payloads that are no list of items."""
    yield from ('', '[', '{}', '5', '[5]', '[[]]', '[["a"]]', 'null')
    yield '[["i0","/p",{},"YQ",3]]'
    for field, odd in enumerate(('5', '5', '{"a":5}', '"***"', '"x"')):
        fields = ['"i0"', '"/p"', '{}', '"YQ=="', '3']
        fields[field] = odd
        yield f'[[{",".join(fields)}]]'


class SpoiltJobCase(unittest.TestCase):
    """Two jobs of three items over a table that others write too."""

    def setUp(self):
        """Accept both."""
        self.table = SpoiltTable()
        self.objects = MemoryObjects()
        self.clock = ManualClock()
        self.ledger = JobLedger(self.table, self.objects, self.clock)
        self.items = [item(number) for number in range(3)]
        self.head = self.ledger.accept(HEAD, self.items)
        self.ledger.accept(HEAD._replace(id=OTHER), self.items)
        self.progress = self.ledger.progress(JOB)

    def check_refused(self, act):
        """Check that something fails as unreadable and writes nothing."""
        before = self.table.store.version
        with self.assertRaises(UnreadableRecord) as caught:
            act()
        reply = failure_reply(caught.exception)
        self.assertEqual(503, reply.status)
        self.assertIn('Retry-After', dict(reply.headers))
        self.assertEqual(before, self.table.store.version)

    def check_lost(self, act):
        """Check that a conditional write fails and writes nothing."""
        before = self.table.store.version
        with self.assertRaises(HoldLost):
            act()
        self.assertEqual(before, self.table.store.version)


class TestSpoiltHead(SpoiltJobCase):
    """A job's head."""

    optional = ('catalog_version',)

    @params(*spoilings(head_value(HEAD), optional))
    def test_ledger(self, name, value):
        """No caller hears that the job is gone; nobody writes over it."""
        self.table.spoil(head_key(JOB), value)
        self.check_refused(lambda: self.ledger.head(JOB))
        self.check_refused(lambda: self.ledger.end(JOB))
        self.check_lost(lambda: self.ledger.release(self.head))
        self.check_lost(lambda: self.ledger.close(self.head))
        self.check_lost(lambda: self.ledger.take(self.head, 'two', 'l'))
        with self.assertRaises(OutcomeUnknown):
            self.ledger.accept(HEAD, self.items)
        self.assertEqual(OTHER, self.ledger.head(OTHER).id)

    @params(*spoilings(head_value(HEAD), optional))
    def test_heads(self, name, value):
        """It is told once; the other heads are known as before."""
        heads = JobHeads()
        self.table.spoil(head_key(JOB), value)
        rows = self.table.scan('jobs/', Priority.report)
        with emitted() as found:
            for _ in range(3):
                heads.keep_only({row.key for row in rows})
                for row in rows:
                    heads.put(row)
        self.assertEqual([events.ROW_UNREADABLE], found)
        self.assertEqual([OTHER], [head.id for head in heads.every()])
        self.assertIsNone(heads.get(JOB))

    def test_spoilt_later(self):
        """An older head that is heard late changes nothing."""
        heads = JobHeads()
        heads.note(self.head)
        key = head_key(JOB)
        heads.put(Row(key, None, self.head.version + 3, unreadable=True))
        heads.note(self.head)
        self.assertIsNone(heads.get(JOB))
        mended = self.head._replace(version=self.head.version + 4)
        heads.put(Row(key, head_value(mended), mended.version))
        self.assertEqual(mended, heads.get(JOB))

    @params('jobs//job1', 'jobs/s0/x/job1', 'jobs/s99/job1')
    def test_foreign_key(self, key):
        """A row of the table that holds no head takes none away."""
        heads = JobHeads()
        heads.note(self.head)
        with emitted() as found:
            heads.put(Row(key, head_value(HEAD), 99))
            heads.put(Row(key, None, 100))
        self.assertEqual(self.head, heads.get(JOB))
        self.assertIn(events.ROW_UNREADABLE, found)


class TestSpoiltProgress(SpoiltJobCase):
    """What is committed of a job."""

    @params(
        *spoilings(PROGRESS),
        *((str(each), each) for each in LISTED_ODDLY),
    )
    def test_progress(self, name, value):
        """Nobody takes the job, lists on or starts it anew."""
        self.table.spoil(progress_key(JOB), value)
        self.check_refused(lambda: self.ledger.progress(JOB))
        self.check_refused(lambda: self.ledger.take(self.head, 'two', 'l'))
        step = Step([end(1)])
        self.check_lost(lambda: self.ledger.commit(JOB, self.progress, step))
        self.assertEqual([], self.ledger.progress(OTHER).listed)

    def restored(self, items):
        """Return the job as its next holder has it."""
        return restored_job(self.head, items, self.ledger, self.clock)

    def test_items_that_the_job_does_not_have(self):
        """A job is not run on by a progress that is not its own."""
        value = {**PROGRESS, 'listed': [0, 3]}
        self.table.spoil(progress_key(JOB), value)
        self.check_refused(lambda: self.restored(self.items))

    def test_items_are_missing(self):
        """Nor by fewer items than it has."""
        self.check_refused(lambda: self.restored(self.items[:2]))

    def test_spoilt_after_a_lost_answer(self):
        """Whether a write took effect cannot be told any more."""
        self.table.faults.append(FaultKind.lose_answer)
        transact = self.table.transact

        def spoiling(*call):
            try:
                return transact(*call)
            finally:
                self.table.spoil(progress_key(JOB))

        self.table.transact = spoiling
        with self.assertRaises(OutcomeUnknown):
            self.ledger.commit(JOB, self.progress, Step([end(1)]))


class TestSpoiltItems(SpoiltJobCase):
    """The items of a job, in rows or in an object."""

    @params(
        ('bytes', None),
        ('empty', {}),
        ('wrong type', {'text': 5}),
        ('object of a wrong type', {'object': 5}),
        ('object that is not there', {'object': 'nowhere'}),
        *((text, {'text': text}) for text in spoilt_texts()),
    )
    def test_rows(self, name, value):
        """No caller hears that the items are gone."""
        self.table.spoil(f'{payload_prefix(JOB)}0000', value)
        self.check_refused(lambda: self.ledger.items(JOB))
        self.assertEqual(self.items, self.ledger.items(OTHER))

    @params('0001', '0002')
    def test_more_rows(self, number):
        """Nor does a row behind or beside those of the job go in."""
        self.table.spoil(f'{payload_prefix(JOB)}{number}', {'text': '[]'})
        self.check_refused(lambda: self.ledger.items(JOB))

    def test_foreign_row(self):
        """A row whose place is none of a job's is left out."""
        self.table.spoil(f'{payload_prefix(JOB)}note', {'text': 'x'})
        self.assertEqual(self.items, self.ledger.items(JOB))

    @params(None, b'', b'garbled', b'\xff', b'{}', b'[[1]]')
    def test_object(self, raw):
        """An object that is gone or spoilt is like such a row."""
        large = [item(0)._replace(body='YWFh' * 200_000)]
        head = HEAD._replace(id='job3', items=1)
        self.ledger.accept(head, large)
        name = next(iter(self.objects.stored))
        if raw is None:
            self.objects.stored.pop(name)
        else:
            self.objects.stored[name] = raw
        self.check_refused(lambda: self.ledger.items('job3'))


class TestSpoiltResults(SpoiltJobCase):
    """Results by position."""

    def setUp(self):
        """List all items, the middle one with a long output."""
        super().setUp()
        ends = [end(0), end(1, LONG), end(2)]
        self.ledger.commit(JOB, self.progress, Step(ends))
        self.keys = [
            row.key for row in self.table.scan('results/', Priority.report)
        ]

    def ids(self, after):
        """Return the ids of the results from a position on."""
        return [result.id for result in self.ledger.results(JOB, after)]

    @params(*spoilings(RESULT))
    def test_result(self, name, value):
        """Those before it are read; it is refused and not skipped."""
        self.table.spoil(self.keys[1], value)
        self.assertEqual(['i0'], self.ids(0))
        self.check_refused(lambda: self.ids(1))
        self.assertEqual(['i2'], self.ids(2))

    @params(*spoilings({'more': 'text'}))
    def test_rest_of_an_output(self, name, value):
        """An output is read whole or not at all."""
        self.table.spoil(self.keys[2], value)
        self.assertEqual(['i0'], self.ids(0))
        self.check_refused(lambda: self.ids(1))

    @params(0, 1, 2)
    def test_removed_row(self, number):
        """No result moves up into the place of one that is gone."""
        self.table.store.apply([[self.keys[number], None]])
        wanted = ['i0'] if number else []
        if wanted:
            self.assertEqual(wanted, self.ids(0))
        self.check_refused(lambda: self.ids(1 if number else 0))

    @params('note', 'note/x', '000000x', '000000/0', '5', '0000001')
    def test_foreign_row(self, name):
        """A row whose place is none of a result's is left out."""
        prefix = self.keys[0].rpartition('.')[0]
        self.table.spoil(f'{prefix}.{name}')
        self.assertEqual(['i0', 'i1', 'i2'], self.ids(0))
        self.assertEqual([], self.ids(3))

    def test_removed_with_its_job(self):
        """An old job is removed with what cannot be read of it."""
        for key in self.keys:
            self.table.spoil(key)
        self.table.spoil(f'{payload_prefix(JOB)}0000')
        self.ledger.remove(self.head)
        left = [row.key for row in self.table.scan('', Priority.report)]
        self.assertEqual([], [key for key in left if JOB in key])


class TestSpoiltPartials(SpoiltJobCase):
    """Unfinished outputs: an item can always begin anew."""

    @params('note', '5', '0002.5', '00002', '000/2')
    def test_foreign_row(self, name):
        """A row whose place is none of an item's is left out."""
        parts = [Partial(2, '3', 'b')]
        self.ledger.commit(JOB, self.progress, Step(partials=parts))
        key = self.table.scan('partial/', Priority.report)[0].key
        prefix = key.rpartition('.')[0]
        self.table.spoil(f'{prefix}.{name}', PARTIAL)
        self.assertEqual(parts, self.ledger.partials(JOB))

    @params(*spoilings(PARTIAL), ('last_id', {**PARTIAL, 'last_id': 'x'}))
    def test_left_out(self, name, value):
        """One that cannot be read costs itself alone."""
        parts = [Partial(0, '7', 'a'), Partial(2, '3', 'b')]
        self.ledger.commit(JOB, self.progress, Step(partials=parts))
        keys = [row.key for row in self.table.scan('partial/', Priority.report)]
        self.table.spoil(keys[0], value)
        self.table.spoil(f'{keys[0]}x', PARTIAL)
        self.assertEqual(parts[1:], self.ledger.partials(JOB))
