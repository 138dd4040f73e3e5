"""Tests of timeouts that do not count pauses of the process."""

import unittest
from unittest import mock

import gevent
from gevent.monkey import get_original
from nose2.tools import params

from cactusridge.http.unpaused_time import (
    MAX_STEP_S,
    TICK_S,
    UnpausedTimeout,
    unpaused_clock,
)

# Seconds; far longer than the part of a pause that counts.
PAUSE_S = 0.5
TURN_S = 0.001

really_sleep = get_original('time', 'sleep')


class Failed(Exception):
    """The error that an expired timeout raises."""


class TestListeningClock(unittest.TestCase):
    """The clock does not count time in which its loop is blocked."""

    def setUp(self):
        """Hold the clock of the test's event loop."""
        self.clock = unpaused_clock()
        self.clock.hold()
        self.addCleanup(self.clock.release)
        gevent.sleep(MAX_STEP_S)

    def test_one_for_each_loop(self):
        """All timeouts of an event loop use the same clock."""
        self.assertIs(self.clock, unpaused_clock())

    def test_pause(self):
        """A pause counts as one step, however often the clock is read."""
        began = self.clock.monotonic()
        for _ in range(10):
            really_sleep(PAUSE_S / 10)
            self.clock.monotonic()
        passed_s = self.clock.monotonic() - began
        self.assertLessEqual(passed_s, MAX_STEP_S * 2)

    def test_work_that_was_ready(self):
        """Greenlets that were ready at the same time count as one pause."""
        began = self.clock.monotonic()
        working = [gevent.spawn(really_sleep, 0.01) for _ in range(100)]
        gevent.joinall(working)
        passed_s = self.clock.monotonic() - began
        self.assertLessEqual(passed_s, MAX_STEP_S * 5)

    def test_seldom(self):
        """The clock ticks every TICK_S, not in each loop iteration."""
        with mock.patch.object(self.clock, '_count') as counted:
            gevent.sleep(PAUSE_S)
        self.assertLessEqual(counted.call_count, PAUSE_S / TICK_S + 1)

    def test_goes_on(self):
        """The clock advances while the loop is not blocked."""
        began = self.clock.monotonic()
        gevent.sleep(PAUSE_S)
        self.assertGreater(self.clock.monotonic() - began, MAX_STEP_S)


class TestPatientTimeout(unittest.TestCase):
    """The timeout behaves like ``gevent.Timeout`` but for pauses."""

    @params(0, 0.05)
    def test_over(self, seconds):
        """Without a pause the timeout raises the given exception."""
        with self.assertRaises(Failed), UnpausedTimeout(seconds, Failed()):
            gevent.sleep(60)

    def test_itself(self):
        """Without a given exception the timeout raises itself."""
        limit = UnpausedTimeout(0.05)
        with self.assertRaises(UnpausedTimeout) as caught, limit:
            gevent.sleep(60)
        self.assertIs(limit, caught.exception)
        self.assertIn(
            'a word: timed out after 0.05 s', limit.timeout_message('a word')
        )

    def test_never(self):
        """A timeout of None never expires."""
        with UnpausedTimeout(None, Failed()):
            gevent.sleep(0.05)

    def test_done_in_time(self):
        """A timeout that is cancelled in time does not expire later."""
        with UnpausedTimeout(0.05, Failed()):
            gevent.sleep(0)
        gevent.sleep(0.1)

    def test_nested(self):
        """An outer timeout expires within an inner one."""
        inner = UnpausedTimeout(60)
        with self.assertRaises(Failed), UnpausedTimeout(0.05, Failed()), inner:
            gevent.sleep(60)

    def test_pause(self):
        """A pause longer than the timeout does not make it expire."""
        with UnpausedTimeout(0.1, Failed()):
            gevent.sleep(TURN_S)
            really_sleep(PAUSE_S)
            gevent.sleep(TURN_S)
