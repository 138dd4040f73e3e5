"""Batch items of a non-repeatable service run at most once."""

from collections import Counter

from standins.faults import Fault, FaultKind
from standins.local_fleet import YAZMAN
from standins.waiting import wait_for
from tests.rig_case import RigCase

ITEMS = 40


class TestBatchAtMostOnce(RigCase):
    """Lease holders, engines and responses are lost while such a job runs."""

    def submit_non_repeatable(self, tokens: int) -> str:
        """Submit a job whose items may not be repeated; return its id."""
        self.rig.update(YAZMAN, repeatable=False)
        self.rig.wait_ready()
        return self.submit([f'once {n}' for n in range(ITEMS)], tokens)

    def check(self, job: str) -> None:
        """Check that each item ran at most once and has one result line."""
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)
        runs = Counter(each['prompt'] for each in self.rig.executions('once '))
        self.assertEqual({1}, set(runs.values()))
        failed = self.lines(job, 'err')
        codes = {line['error']['code'] for line in failed}
        self.assertLessEqual(codes, {'item_outcome_unknown'})
        # Each item with an output line was executed by an engine.
        done = {line['custom_id'] for line in self.lines(job)}
        prompts = {f'once {name.partition("-")[2]}' for name in done}
        self.assertLessEqual(prompts, set(runs))

    def test_undisturbed(self):
        """Every item is completed when nothing is lost."""
        job = self.submit_non_repeatable(4)
        self.check(job)
        self.assertEqual(ITEMS, len(self.lines(job)))

    def test_holder_lost(self):
        """Chunks that a lost lease holder had started are not started again."""
        job = self.submit_non_repeatable(60)
        holder = self.entry_holding(job)
        # A holder that is lost before it sends an item would leave no
        # execution to check.
        wait_for(
            'an execution of an item', lambda: self.rig.executions('once ')
        )
        self.rig.kill_entry(holder)
        self.check(job)

    def test_engine_lost(self):
        """Items that an engine lost in a crash are not sent elsewhere."""
        job = self.submit_non_repeatable(60)
        self.entry_holding(job)
        self.rig.later(0.3, self.rig.engines[0].subject.batch.crash)
        self.check(job)

    def test_answers_lost(self):
        """Items whose responses were lost are not sent again."""
        for engine in self.rig.engines:
            lost = Fault(FaultKind.lose_answer, 'once', 3)
            engine.subject.faults.add(lost)
        job = self.submit_non_repeatable(4)
        self.check(job)
        self.assertEqual(6, len(self.lines(job, 'err')))
