"""How long a replica may be unreachable before it counts as crashed."""

import unittest
from unittest import mock

import gevent
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch.crash_watch import (
    ABANDONED_PROBE_DELAY_S,
    UNREACHABLE_S,
    CrashWatch,
    InterruptedRun,
)
from cactusridge.quarantine.strike import Stage

NOW_S = 10


class TestUnreachable(unittest.TestCase):
    """The time for which a probe tries to connect."""

    @params(
        ((0.3,), UNREACHABLE_S - 0.3),
        ((1.4,), UNREACHABLE_S - 1.4),
        ((1.4, 0.1), UNREACHABLE_S - 0.1),
        ((5,), UNREACHABLE_S - 5),
    )
    def test_crash_is_noticed_late(self, silent_s, connect_s):
        """The time counts from the last bytes, not from the probe."""
        clock = ManualClock()
        clock.advance(NOW_S)
        upstream, replica = mock.Mock(), mock.Mock()
        watch = CrashWatch(upstream, mock.Mock(), clock)
        for each in silent_s:
            run = InterruptedRun('f', Stage.started, heard_at=NOW_S - each)
            watch.run_abandoned(replica, run)
        gevent.sleep(ABANDONED_PROBE_DELAY_S * 2)
        upstream.is_running.assert_called_once()
        asked, tried_s = upstream.is_running.call_args.args
        self.assertEqual(replica, asked)
        self.assertAlmostEqual(connect_s, tried_s)
