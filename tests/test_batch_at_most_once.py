"""Items of a service whose calls may not repeat run at most once."""

from collections import Counter

from standins.faults import Fault, FaultKind
from standins.local_fleet import YAZMAN
from standins.waiting import wait_for
from tests.rig_case import RigCase

ITEMS = 40


class TestBatchAtMostOnce(RigCase):
    """Holders, engines and sidecars are lost under such a job."""

    def begin(self, tokens: int) -> str:
        """Start a job whose items may not repeat."""
        self.rig.update(YAZMAN, repeatable=False)
        self.rig.wait_ready()
        return self.submit([f'once {n}' for n in range(ITEMS)], tokens)

    def check(self, job: str) -> None:
        """Each item ran once at most and has one line."""
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)
        begun = Counter(each['prompt'] for each in self.rig.executions('once '))
        self.assertEqual({1}, set(begun.values()))
        failed = self.lines(job, 'err')
        codes = {line['error']['code'] for line in failed}
        self.assertLessEqual(codes, {'item_outcome_unknown'})
        # What is said to be done has been done.
        done = {line['custom_id'] for line in self.lines(job)}
        prompts = {f'once {name.partition("-")[2]}' for name in done}
        self.assertLessEqual(prompts, set(begun))

    def test_undisturbed(self):
        """Nothing is lost, so every item is done."""
        job = self.begin(4)
        self.check(job)
        self.assertEqual(ITEMS, len(self.lines(job)))

    def test_holder_lost(self):
        """Chunks that a lost holder had begun are not begun again."""
        job = self.begin(60)
        holder = self.entry_holding(job)
        # A holder lost before it sent anything leaves nothing that ran.
        wait_for('an item begun', lambda: self.rig.executions('once '))
        self.rig.kill_entry(holder)
        self.check(job)

    def test_engine_lost(self):
        """Items in an engine that died are not sent to another."""
        job = self.begin(60)
        self.entry_holding(job)
        self.rig.later(0.3, self.rig.engines[0].subject.batch.crash)
        self.check(job)

    def test_answers_lost(self):
        """Answers that never came are not asked for again."""
        for engine in self.rig.engines:
            lost = Fault(FaultKind.lose_answer, 'once', 3)
            engine.subject.faults.add(lost)
        job = self.begin(4)
        self.check(job)
        self.assertEqual(6, len(self.lines(job, 'err')))
