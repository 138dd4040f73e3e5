"""Tests that unreadable results and checkpoints are never made up."""

from nose2.tools import params

from cactusridge.jobs.job_changes import JobChanges
from cactusridge.jobs.keys import payload_prefix
from cactusridge.jobs.model import (
    Checkpoint,
)
from cactusridge.store.table import Priority
from tests.spoilt_job_case import JOB, LONG, PARTIAL, RESULT, SpoiltJobCase, end
from tests.spoilt_table import corruptions


class TestSpoiltResults(SpoiltJobCase):
    """Unreadable rows of results."""

    def setUp(self):
        """Commit results of all items, the middle one with a long output."""
        super().setUp()
        ends = [end(0), end(1, LONG), end(2)]
        self.ledger.commit(JOB, self.progress, JobChanges(ends))
        self.keys = [
            row.key for row in self.table.scan('results/', Priority.report)
        ]

    def ids(self, after):
        """Return the ids of the results from the position ``after`` on."""
        return [result.id for result in self.ledger.results(JOB, after)]

    @params(*corruptions(RESULT))
    def test_result(self, name, value):
        """An unreadable result ends a page and is not skipped."""
        self.table.corrupt(self.keys[1], value)
        self.assertEqual(['i0'], self.ids(0))
        self.check_refused(lambda: self.ids(1))
        self.assertEqual(['i2'], self.ids(2))

    @params(*corruptions({'more': 'text'}))
    def test_rest_of_an_output(self, name, value):
        """A result with an unreadable continuation row is not returned."""
        self.table.corrupt(self.keys[2], value)
        self.assertEqual(['i0'], self.ids(0))
        self.check_refused(lambda: self.ids(1))

    @params(0, 1, 2)
    def test_removed_row(self, number):
        """A later result is not returned in the position of a removed one."""
        self.table.store.apply([[self.keys[number], None]])
        wanted = ['i0'] if number else []
        if wanted:
            self.assertEqual(wanted, self.ids(0))
        self.check_refused(lambda: self.ids(1 if number else 0))

    @params('note', 'note/x', '000000x', '000000/0', '5', '0000001')
    def test_foreign_row(self, name):
        """A row whose key is not that of a result is left out."""
        prefix = self.keys[0].rpartition('.')[0]
        self.table.corrupt(f'{prefix}.{name}')
        self.assertEqual(['i0', 'i1', 'i2'], self.ids(0))
        self.assertEqual([], self.ids(3))

    def test_removed_with_its_job(self):
        """The removal of a job includes its unreadable rows."""
        for key in self.keys:
            self.table.corrupt(key)
        self.table.corrupt(f'{payload_prefix(JOB)}0000')
        self.ledger.remove(self.head)
        left = [row.key for row in self.table.scan('', Priority.report)]
        self.assertEqual([], [key for key in left if JOB in key])


class TestSpoiltPartials(SpoiltJobCase):
    """Unreadable checkpoints, whose items start again without output."""

    @params('note', '5', '0002.5', '00002', '000/2')
    def test_foreign_row(self, name):
        """A row whose key is not that of a checkpoint is left out."""
        parts = [Checkpoint(2, '3', 'b')]
        self.ledger.commit(JOB, self.progress, JobChanges(checkpoints=parts))
        key = self.table.scan('partial/', Priority.report)[0].key
        prefix = key.rpartition('.')[0]
        self.table.corrupt(f'{prefix}.{name}', PARTIAL)
        self.assertEqual(parts, self.ledger.checkpoints(JOB))

    @params(*corruptions(PARTIAL), ('last_id', {**PARTIAL, 'last_id': 'x'}))
    def test_left_out(self, name, value):
        """An unreadable checkpoint does not affect the others."""
        parts = [Checkpoint(0, '7', 'a'), Checkpoint(2, '3', 'b')]
        self.ledger.commit(JOB, self.progress, JobChanges(checkpoints=parts))
        keys = [row.key for row in self.table.scan('partial/', Priority.report)]
        self.table.corrupt(keys[0], value)
        self.table.corrupt(f'{keys[0]}x', PARTIAL)
        self.assertEqual(parts[1:], self.ledger.checkpoints(JOB))
