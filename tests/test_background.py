"""Tests of repeated background tasks."""

import unittest

import gevent
from nose2.tools import params

from cactusridge.background import run_every

# Seconds; far longer than the test takes.
PAUSE_S = 1000


class TestKeepDoing(unittest.TestCase):
    """The time of the first step, and a failure of it."""

    @params((True, 1), (False, 0))
    def test_first_step(self, at_once, wanted):
        """The first step runs at once if requested, else after a pause."""
        steps = []
        doing = gevent.spawn(
            run_every,
            PAUSE_S,
            lambda: steps.append(1),
            at_once=at_once,
        )
        gevent.sleep(0)
        doing.kill()
        self.assertEqual(wanted, len(steps))

    def test_failed_first_step(self):
        """A first step that raises does not end the task."""
        doing = gevent.spawn(
            run_every,
            PAUSE_S,
            lambda: int('no number'),
            at_once=True,
        )
        gevent.sleep(0)
        self.assertFalse(doing.dead)
        doing.kill()
