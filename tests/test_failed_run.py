"""A run of an item that fails by a fault of the entry itself.

It counted as yielded to online requests: the item was claimed again at once,
thousands of times a second.
"""

import unittest
from unittest import mock

import gevent
from nose2.tools import params

from cactusridge import events
from cactusridge.clock import ManualClock
from cactusridge.errors import UpstreamFailed
from cactusridge.jobs.item_run import ItemRun, RunOutcome
from tests.emitted import emitted
from tests.test_waiting_line import FakeJob

FAULT = UnicodeEncodeError('latin-1', 'ş', 0, 1, 'ordinal not in range(256)')


class TestFailedRun(unittest.TestCase):
    """What the end of a run is that cannot be sent."""

    def run_with(self, error):
        """Return the outcome of a run whose sending raises ``error``."""
        job = FakeJob()
        runner = mock.Mock()
        runner.open.side_effect = error
        run = ItemRun(job.pending[0], job.head, runner, ManualClock())
        return run.execute(mock.Mock())

    @params((FAULT, [events.TASK_FAILED]), (UpstreamFailed(), []))
    def test_interrupted(self, error, logged):
        """The item waits like one that was interrupted; a fault is logged."""
        with emitted() as found:
            self.assertEqual(RunOutcome.interrupted, self.run_with(error))
        self.assertEqual(logged, found)

    def test_preempted(self):
        """A run that is preempted ends at once."""
        with self.assertRaises(gevent.GreenletExit):
            self.run_with(gevent.GreenletExit())
