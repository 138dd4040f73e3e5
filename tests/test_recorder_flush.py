"""Concurrent flushes store each period exactly once."""

import unittest
from unittest import mock

import gevent

from cactusridge.clock import ManualClock
from cactusridge.slo.recorder import SloRecorder

SLOW_S = 0.02


class TestFlush(unittest.TestCase):
    """Guards against a shutdown flush that runs during another flush.

    Without the lock, one flush removed a period that was not stored yet.
    """

    def test_concurrent_flushes(self):
        """Three concurrent flushes store three periods, without an error."""
        names = []

        def put(name, body, priority):
            gevent.sleep(SLOW_S)
            names.append(name)

        recorder = SloRecorder('e', mock.Mock(put=put), 2, ManualClock(), None)
        flushes = [gevent.spawn(recorder.flush) for _ in range(3)]
        gevent.joinall(flushes, raise_error=True)
        self.assertEqual(3, len(names))
        self.assertEqual(3, len(set(names)))
