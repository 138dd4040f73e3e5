"""Accepted items complete exactly once, whichever process fails."""

from nose2.tools import params

from cactusridge.store.table import (
    Condition,
    ConditionFailed,
    Priority,
    Write,
)
from standins.faults import Fault, FaultKind
from standins.waiting import wait_for
from tests.rig_case import RigCase

ITEMS = 70
LOST_ANSWERS = (
    ('acceptance', '"jobs/'),
    ('lease and commit', '[["spans/'),
    ('closing', '"done/'),
    ('every write', 'transact'),
)


class TestExactlyOnce(RigCase):
    """Processes and replies are lost while items are in flight."""

    def test_undisturbed(self):
        """A job completes with one result for each item."""
        job = self.submit([f'p{number}' for number in range(ITEMS)])
        shown = self.wait_state(job, 'completed')
        self.assertEqual(ITEMS, shown['request_counts']['completed'])
        self.check_exactly_once(job, ITEMS)

    def test_entry_lost_after_acceptance(self):
        """The entry fails right after it has accepted the job."""
        job = self.submit([f'p{number}' for number in range(ITEMS)])
        self.rig.kill_entry(self.rig.entries[0])
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)

    def test_holder_lost_with_items_in_flight(self):
        """The lease holder fails, and another entry takes over its spans."""
        job = self.submit(
            [f'p{number}' for number in range(ITEMS)],
            tokens=30,
        )
        self.rig.kill_entry(self.entry_holding(job))
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)

    def test_every_entry_lost(self):
        """All entries fail, and a new one completes the job."""
        job = self.submit(
            [f'p{number}' for number in range(ITEMS)],
            tokens=30,
        )
        self.entry_holding(job)
        for served in list(self.rig.entries):
            self.rig.kill_entry(served)
        self.rig.add_entry()
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)

    def test_sidecar_and_engine_lost(self):
        """A sidecar fails together with the other sidecar's engine."""
        job = self.submit(
            [f'p{number}' for number in range(ITEMS)],
            tokens=30,
        )
        self.entry_holding(job)
        self.rig.kill_sidecar(0)
        self.rig.engines[1].subject.batch.crash()
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)

    def test_results_readable_while_it_runs(self):
        """Committed results can be read before the job ends."""
        job = self.submit(
            [f'p{number}' for number in range(ITEMS)],
            tokens=40,
        )
        wait_for(
            'a first result',
            lambda: self.show(job)['request_counts']['completed'],
        )
        self.assertTrue(self.lines(job))
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)

    @params(*LOST_ANSWERS)
    def test_lost_answers(self, kind, match):
        """Replies are lost after writes took effect; no item runs twice."""
        lost = Fault(FaultKind.lose_answer, match, 8)
        self.rig.platform.faults.add(lost)
        job = self.submit([f'p{number}' for number in range(ITEMS)])
        self.wait_state(job, 'completed')
        self.assertTrue(self.rig.platform.faults.hits, kind)
        self.check_exactly_once(job, ITEMS)

    def test_stale_holder_cannot_commit(self):
        """A commit with an old version of the row is rejected."""
        table = self.rig.entries[0].subject.parts.table
        job = self.submit(['p'], tokens=400)
        self.entry_holding(job)
        key = next(
            key
            for key in self.rig.platform.table.keys
            if key.startswith('spans/')
        )
        with self.assertRaises(ConditionFailed):
            table.transact(
                [Condition(key, 1)],
                [Write(key, {})],
                Priority.commit,
            )
