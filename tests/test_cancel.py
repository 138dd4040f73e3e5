"""A cancelled job stops, and its earlier results stay readable."""

from nose2.tools import params

from standins.faults import Fault, FaultKind
from standins.waiting import wait_for
from tests.rig_case import RigCase

ITEMS = 120
FAULT_KINDS = (None, FaultKind.lose_answer, FaultKind.slow)


class TestCancel(RigCase):
    """Jobs are cancelled while they run."""

    @params(*FAULT_KINDS)
    def test_running_job(self, kind):
        """A running job ends early even if the cancel meets a store fault."""
        job = self.submit([f'c{n}' for n in range(ITEMS)], tokens=60)
        wait_for(
            'a completed item',
            lambda: self.show(job)['request_counts']['completed'],
        )
        if kind is not None:
            fault = Fault(kind, '"cancel/', 1, 0.3)
            self.rig.platform.faults.add(fault)
        path = f'/v1/batches/{job}/cancel'
        answer = self.rig.call(self.rig.entries[0], path, {})
        self.assertEqual(200, answer.status, answer)
        self.assertIn(answer.body['status'], {'cancelling', 'cancelled'})
        shown = self.wait_state(job, 'cancelled')
        done = shown['request_counts']['completed']
        self.assertLess(done, ITEMS)
        self.assertEqual(done, len(self.lines(job)))
        self.check_commits()
        self.check_nothing_runs()

    def test_cancel_of_a_held_span_whose_holder_is_lost(self):
        """Another entry closes the spans of a cancelled job's lost holder."""
        job = self.submit([f'c{n}' for n in range(ITEMS)], tokens=60)
        holder = self.entry_holding(job)
        path = f'/v1/batches/{job}/cancel'
        self.rig.call(self.rig.entries[0], path, {})
        self.rig.kill_entry(holder)
        self.wait_state(job, 'cancelled')
        self.check_commits()

    def test_cancel_of_a_completed_job(self):
        """A completed job stays completed when it is cancelled."""
        job = self.submit(['x', 'y'])
        self.wait_state(job, 'completed')
        self.rig.call(self.rig.entries[0], f'/v1/batches/{job}/cancel', {})
        self.assertEqual('completed', self.show(job)['status'])
        self.check_exactly_once(job, 2)

    def check_nothing_runs(self) -> None:
        """Wait until the engines run no request."""
        wait_for(
            'idle engines',
            lambda: (
                not any(
                    engine.subject.batch.running for engine in self.rig.engines
                )
            ),
        )
