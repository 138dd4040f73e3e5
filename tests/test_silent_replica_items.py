"""Items of jobs at replicas that fall silent and go on."""

from nose2.tools import params

from standins.waiting import wait_for
from tests.machine_case import MachineCase

ITEMS = 6
# An item of 1 s, so that output comes before and after the silence.
BODY = '20 0.05'
# Longer than the read time-out of an item's run.
LONG_SILENCE_S = 3.6
ITEM_IDS = tuple(f'j-{number}' for number in range(ITEMS))


class TestSilentReplicas(MachineCase):
    """All replicas fall silent while they run the items of a job."""

    def run_job(self, silent_s: float) -> list[dict[str, str]]:
        """Run a job with a silence in all its items; return the results."""
        self.assertEqual(202, self.site.submit('one', 'j', [BODY] * ITEMS))
        wait_for('all items run', lambda: all(map(self.runs, ITEM_IDS)))
        for replica in self.site.replicas:
            replica.fall_silent(silent_s)
        self.wait_done('one', 'j', ITEMS)
        return self.site.results('one', 'j')

    @params(0.5, 1.4, 2.0)
    def test_silence_of_a_sound_replica_interrupts_no_item(self, silent_s):
        """Each item runs once, and its run is not interrupted."""
        self.run_job(silent_s)
        self.assertEqual([1] * ITEMS, list(map(self.runs, ITEM_IDS)))
        self.assertEqual([], self.log_lines('"interrupted"'))

    def test_longer_silence_costs_no_output_and_no_attempt(self):
        """Items that are interrupted go on after their last events."""
        results = self.run_job(LONG_SILENCE_S)
        self.assertEqual({'completed'}, {each['state'] for each in results})
        self.assertTrue(self.log_lines('"interrupted"'))
        self.assertEqual([], self.log_lines('"item_started_over"'))
