"""Work that is done again and again."""

import unittest

import gevent
from nose2.tools import params

from cactusridge.background import run_every

# Far longer than the test takes.
PAUSE_S = 1000


class TestKeepDoing(unittest.TestCase):
    """When the first step is done."""

    @params((True, 1), (False, 0))
    def test_first_step(self, at_once, wanted):
        """At once where that is asked for, else after a pause."""
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
        """A first step that fails ends nothing."""
        doing = gevent.spawn(
            run_every,
            PAUSE_S,
            lambda: int('no number'),
            at_once=True,
        )
        gevent.sleep(0)
        self.assertFalse(doing.dead)
        doing.kill()
