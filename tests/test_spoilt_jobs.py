"""Tests that unreadable rows of jobs are never treated as absent."""

from nose2.tools import params

from cactusridge import events
from cactusridge.errors import OutcomeUnknown
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.held_job import restored_job
from cactusridge.jobs.job_changes import JobChanges
from cactusridge.jobs.keys import head_key, payload_prefix, progress_key
from cactusridge.jobs.model import (
    head_value,
)
from cactusridge.store.table import Priority, Row
from standins.faults import FaultKind
from tests.emitted import emitted
from tests.spoilt_job_case import (
    HEAD,
    JOB,
    LISTED_ODDLY,
    OTHER,
    PROGRESS,
    SpoiltJobCase,
    end,
    item,
    spoilt_texts,
)
from tests.spoilt_table import corruptions


class TestSpoiltHead(SpoiltJobCase):
    """Unreadable head of a job."""

    optional = ('catalog_version', 'organisation')

    @params(*corruptions(head_value(HEAD), optional))
    def test_ledger(self, name, value):
        """The job is not reported as unknown or overwritten."""
        self.table.corrupt(head_key(JOB), value)
        self.check_refused(lambda: self.ledger.head(JOB))
        self.check_refused(lambda: self.ledger.end(JOB))
        self.check_lost(lambda: self.ledger.release(self.head))
        self.check_lost(lambda: self.ledger.close(self.head))
        self.check_lost(lambda: self.ledger.take_over(self.head, 'two', 'l'))
        with self.assertRaises(OutcomeUnknown):
            self.ledger.accept(HEAD, self.items)
        self.assertEqual(OTHER, self.ledger.head(OTHER).id)

    @params(*corruptions(head_value(HEAD), optional))
    def test_heads(self, name, value):
        """An unreadable head is logged once, and the other heads stay known."""
        heads = JobHeads()
        self.table.corrupt(head_key(JOB), value)
        rows = self.table.scan('jobs/', Priority.report)
        with emitted() as found:
            for _ in range(3):
                heads.retain({row.key for row in rows})
                for row in rows:
                    heads.put(row)
        self.assertEqual([events.ROW_UNREADABLE], found)
        self.assertEqual([OTHER], [head.id for head in heads.all_heads()])
        self.assertIsNone(heads.get(JOB))

    def test_spoilt_later(self):
        """A head older than the unreadable version is ignored."""
        heads = JobHeads()
        heads.update(self.head)
        key = head_key(JOB)
        heads.put(Row(key, None, self.head.version + 3, unreadable=True))
        heads.update(self.head)
        self.assertIsNone(heads.get(JOB))
        mended = self.head._replace(version=self.head.version + 4)
        heads.put(Row(key, head_value(mended), mended.version))
        self.assertEqual(mended, heads.get(JOB))

    @params('jobs//job1', 'jobs/s0/x/job1', 'jobs/s99/job1')
    def test_foreign_key(self, key):
        """A row with a foreign key neither replaces nor removes a head."""
        heads = JobHeads()
        heads.update(self.head)
        with emitted() as found:
            heads.put(Row(key, head_value(HEAD), 99))
            heads.put(Row(key, None, 100))
        self.assertEqual(self.head, heads.get(JOB))
        self.assertIn(events.ROW_UNREADABLE, found)


class TestSpoiltProgress(SpoiltJobCase):
    """Unreadable progress of a job."""

    @params(
        *corruptions(PROGRESS),
        *((str(each), each) for each in LISTED_ODDLY),
    )
    def test_progress(self, name, value):
        """A job with unreadable progress is not taken over or committed to."""
        self.table.corrupt(progress_key(JOB), value)
        self.check_refused(lambda: self.ledger.progress(JOB))
        self.check_refused(lambda: self.ledger.take_over(self.head, 'two', 'l'))
        step = JobChanges([end(1)])
        self.check_lost(lambda: self.ledger.commit(JOB, self.progress, step))
        self.assertEqual([], self.ledger.progress(OTHER).listed)

    def restored(self, items):
        """Return the job as restored by its next holder."""
        return restored_job(self.head, items, self.ledger, self.clock)

    def test_items_that_the_job_does_not_have(self):
        """A job is not restored if its progress lists an unknown item."""
        value = {**PROGRESS, 'listed': [0, 3]}
        self.table.corrupt(progress_key(JOB), value)
        self.check_refused(lambda: self.restored(self.items))

    def test_items_are_missing(self):
        """A job is not restored if some of its items are missing."""
        self.check_refused(lambda: self.restored(self.items[:2]))

    def test_spoilt_after_a_lost_answer(self):
        """The outcome of a write is unknown if its row became unreadable."""
        self.table.faults.append(FaultKind.lose_answer)
        transact = self.table.transact

        def spoiling(*call):
            try:
                return transact(*call)
            finally:
                self.table.corrupt(progress_key(JOB))

        self.table.transact = spoiling
        with self.assertRaises(OutcomeUnknown):
            self.ledger.commit(JOB, self.progress, JobChanges([end(1)]))


class TestSpoiltItems(SpoiltJobCase):
    """Unreadable items of a job, in rows or in an object."""

    @params(
        ('bytes', None),
        ('empty', {}),
        ('wrong type', {'text': 5}),
        ('object of a wrong type', {'object': 5}),
        ('object that is not there', {'object': 'nowhere'}),
        *((text, {'text': text}) for text in spoilt_texts()),
    )
    def test_rows(self, name, value):
        """Unreadable items are not reported as missing."""
        self.table.corrupt(f'{payload_prefix(JOB)}0000', value)
        self.check_refused(lambda: self.ledger.items(JOB))
        self.assertEqual(self.items, self.ledger.items(OTHER))

    @params('0001', '0002')
    def test_more_rows(self, number):
        """An additional row makes the payload unreadable."""
        self.table.corrupt(f'{payload_prefix(JOB)}{number}', {'text': '[]'})
        self.check_refused(lambda: self.ledger.items(JOB))

    def test_foreign_row(self):
        """A row whose key is not that of a payload is left out."""
        self.table.corrupt(f'{payload_prefix(JOB)}note', {'text': 'x'})
        self.assertEqual(self.items, self.ledger.items(JOB))

    @params(None, b'', b'garbled', b'\xff', b'{}', b'[[1]]')
    def test_object(self, raw):
        """A missing or corrupt object makes the payload unreadable."""
        large = [item(0)._replace(body='YWFh' * 200_000)]
        head = HEAD._replace(id='job3', items=1)
        self.ledger.accept(head, large)
        name = next(iter(self.objects.stored))
        if raw is None:
            self.objects.stored.pop(name)
        else:
            self.objects.stored[name] = raw
        self.check_refused(lambda: self.ledger.items('job3'))
