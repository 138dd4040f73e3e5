"""Each period is stored once even if several flushes overlap."""

import unittest
from unittest import mock

import gevent

from cactusridge.clock import ManualClock
from cactusridge.slo.recorder import SloRecorder

SLOW_S = 0.02


class TestFlush(unittest.TestCase):
    """The last flush of a stop comes while another one is under way."""

    def test_flushes_that_meet(self):
        """Each period is stored once, none is lost, and none fails."""
        names = []

        def put(name, body, priority):
            gevent.sleep(SLOW_S)
            names.append(name)

        recorder = SloRecorder('e', mock.Mock(put=put), 2, ManualClock(), None)
        flushes = [gevent.spawn(recorder.flush) for _ in range(3)]
        gevent.joinall(flushes, raise_error=True)
        self.assertEqual(3, len(names))
        self.assertEqual(3, len(set(names)))
