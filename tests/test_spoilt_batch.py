"""Unreadable rows of batch jobs are reported and never overwritten."""

import unittest

from nose2.tools import params

from cactusridge.batch.held_span import HeldSpan, LeaseLost
from cactusridge.batch.job_reader import JobReader
from cactusridge.batch.job_store import JobStore
from cactusridge.batch.jobs import (
    Job,
    Progress,
    cancel_key,
    job_key,
    progress_key,
)
from cactusridge.batch.span import Span, done_key
from cactusridge.clock import ManualClock
from cactusridge.errors import CactusridgeError
from cactusridge.slo.history import SloHistory, hour_key
from cactusridge.startup.models import BatchSettings
from cactusridge.store.table import (
    Priority,
    Write,
)
from tests.memory_objects import MemoryObjects
from tests.rig_case import RigCase
from tests.spoilt_table import SpoiltTable, corruptions

REPORT = Priority.report
CFG = BatchSettings(shards=1)
DONE = {'0': ['object', 1, 2, 1, 0]}
SPAN = Span(
    job='j',
    team='t',
    number=0,
    service='/s',
    url='/u',
    segment='s',
    offsets=[0, 1, 2],
    items=2,
    due=0.5,
    created=0.5,
    repeatable=True,
    started={'0': 1},
    done=DONE,
    marks={'0/0': 1},
)
JOB = Job(
    id='j',
    team='t',
    file='f',
    service='/s',
    model='m',
    url='/u',
    window='1h',
    due=0.5,
    created=0.5,
    items=2,
    spans=1,
    digest='d',
    metadata={},
)
WITH_DEFAULTS = ('holder', 'holders', 'started', 'done', 'marks', 'write_id')
SPOILT_DONE = tuple(
    (str(done), {**SPAN._asdict(), 'done': done})
    for done in (
        {'x': DONE['0']},
        {'0': []},
        {'0': ['object', 1, 2, 1]},
        {'0': ['object', 1, 2, 1, '0']},
        {'0': [5, 1, 2, 1, 0]},
        {'0': ['object', 1, 2, 1, -1]},
    )
)


class SpoiltBatchCase(unittest.TestCase):
    """A job with one span in a table whose rows the tests can corrupt."""

    def setUp(self):
        """Store the rows of the job."""
        self.table = SpoiltTable()
        self.clock = ManualClock()
        objects = MemoryObjects()
        self.jobs = JobStore(1, self.table, objects, self.clock)
        self.reader = JobReader(1, self.table, objects, self.clock)
        self.held = HeldSpan(CFG, self.table, self.clock, SPAN, 1)
        writes = [
            Write(job_key('t', 'j'), JOB._asdict()),
            Write(progress_key('j'), Progress()._asdict()),
            Write(self.held.key, SPAN._asdict()),
        ]
        self.table.transact([], writes, REPORT)

    def check_refused(self, act):
        """Check that ``act`` fails as unreadable_record and writes nothing."""
        before = self.table.store.version
        with self.assertRaises(CactusridgeError) as caught:
            act()
        self.assertEqual('unreadable_record', caught.exception.code)
        self.assertEqual(503, caught.exception.status)
        self.assertEqual(before, self.table.store.version)


class TestSpoiltBatch(SpoiltBatchCase):
    """Unreadable rows of jobs, progress, cancellations and spans."""

    @params(*corruptions(JOB._asdict(), ('job_class',)))
    def test_job(self, name, value):
        """An unreadable job is not reported as missing; others are listed."""
        other = JOB._replace(id='k')._asdict()
        self.table.corrupt(job_key('t', 'k'), other)
        self.table.corrupt(job_key('t', 'j'), value)
        self.check_refused(lambda: self.jobs.get('t', 'j'))
        self.check_refused(lambda: self.jobs.cancel('t', 'j'))
        listed = [job.id for job in self.jobs.page('t', '', 9)]
        self.assertEqual(['k'], listed)

    @params(*corruptions(Progress(0, 0, 0, 0.5)._asdict()))
    def test_progress(self, name, value):
        """Unreadable progress is neither reported nor overwritten."""
        self.table.corrupt(progress_key('j'), value)
        self.check_refused(lambda: self.reader.status(JOB))
        self.check_refused(lambda: self.held.close(cancelled=False))

    @params(*corruptions({'when': 0.5}))
    def test_cancel(self, name, value):
        """A job with an unreadable cancel row is not shown as in progress."""
        self.table.corrupt(cancel_key('j'), value)
        self.check_refused(lambda: self.reader.status(JOB))

    @params(*corruptions(SPAN._asdict(), WITH_DEFAULTS), *SPOILT_DONE)
    def test_span(self, name, value):
        """An unreadable span makes reads fail, and its holder loses it."""
        self.table.corrupt(self.held.key, value)
        self.check_refused(lambda: self.reader.status(JOB))
        self.check_refused(lambda: list(self.reader.spans(JOB)))
        with self.assertRaises(LeaseLost):
            self.held.renew()

    @params(*corruptions(SPAN._asdict(), WITH_DEFAULTS), *SPOILT_DONE)
    def test_closed_span(self, name, value):
        """An unreadable closed span makes reads of the results fail."""
        self.table.store.apply([[self.held.key, None]])
        self.table.corrupt(done_key('j', 0), value)
        self.check_refused(lambda: list(self.reader.spans(JOB)))


class TestSpoiltDone(SpoiltBatchCase):
    """The row of a closed span contains bytes that are not JSON."""

    def test_close(self):
        """Closing a span does not overwrite an unreadable closed row."""
        self.table.corrupt(done_key('j', 0))
        self.check_refused(lambda: self.held.close(cancelled=False))


class TestSpoiltHours(unittest.TestCase):
    """Rows of merged hours in the history of objectives."""

    @params(*corruptions({'object': 'name'}))
    def test_hour(self, name, value):
        """An unreadable or foreign row does not hide the other hours."""
        table = SpoiltTable()
        for hour in (3600, 7200):
            table.corrupt(hour_key(hour), {'object': f'{hour}'})
        table.corrupt(hour_key(3600), value)
        table.corrupt('slo-hours/foreign', {'object': 'x'})
        history = SloHistory(MemoryObjects(), table)
        self.assertEqual({7200: '7200'}, history.merged_hours(0))


class TestSpoiltScan(RigCase):
    """Entries that scan for open spans."""

    @params({}, {'holder': ''}, {'holder': 5}, [1], 5, 'text')
    def test_other_jobs_go_on(self, value):
        """A row that is not a valid span does not stop the other spans."""
        rows = self.rig.platform.table
        shards = self.rig.entries[0].subject.parts.cfg.batch.shards
        for number in range(shards):
            # Written directly, so that the row is not in the commit history
            # that is checked below.
            rows._put(f'spans/{number:03}/odd/00000', value)
        job = self.submit(['a', 'b'])
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, 2)
        left = rows.row('spans/000/odd/00000')
        self.assertEqual(value, left[1])
