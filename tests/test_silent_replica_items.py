"""Items of jobs at replicas that fall silent and go on."""

from nose2.tools import params

from standins.waiting import wait_for
from tests.machine_case import MachineCase

ITEMS = 6
# An item of 1 s, so that some output comes before and after the silence.
BODY = '20 0.05'


class TestSilentReplicas(MachineCase):
    """All replicas fall silent while they run the items of a job."""

    def silence(self, seconds: float) -> None:
        """Let all replicas fall silent once all items have started."""
        wait_for(
            'all items run',
            lambda: all(self.runs(f'j-{n}') for n in range(ITEMS)),
        )
        for replica in self.site.replicas:
            replica.fall_silent(seconds)

    def log_lines(self, text: str) -> list[str]:
        """Return the log lines of all entries that contain ``text``."""
        return [
            line
            for path in self.log_folder.glob('*.log')
            for line in path.read_text().splitlines()
            if text in line
        ]

    @params(0.5, 1.4, 2.0)
    def test_silence_of_a_sound_replica_interrupts_no_item(self, seconds):
        """Each item runs once and no run of an item is interrupted."""
        self.assertEqual(202, self.site.submit('one', 'j', [BODY] * ITEMS))
        self.silence(seconds)
        self.wait_done('one', 'j', ITEMS)
        self.assertEqual([1] * ITEMS, [self.runs(f'j-{n}') for n in range(ITEMS)])
        self.assertEqual([], self.log_lines('"interrupted"'))

    def test_longer_silence_loses_no_output_and_no_attempt(self):
        """Items that are interrupted go on after their last events."""
        self.assertEqual(202, self.site.submit('one', 'j', [BODY] * ITEMS))
        self.silence(3.6)
        self.wait_done('one', 'j', ITEMS)
        states = {each['state'] for each in self.site.results('one', 'j')}
        self.assertEqual({'completed'}, states)
        self.assertTrue(self.log_lines('"interrupted"'))
        self.assertEqual([], self.log_lines('"item_started_over"'))
