"""Tests of timeouts that exclude the time in which the process was paused."""

import unittest
from unittest import mock

import gevent
from gevent.monkey import get_original
from nose2.tools import params

from cactusridge.http.awake import (
    MAX_STEP_S,
    TICK_S,
    PatientTimeout,
    listening_clock,
)

# Far over what counts of a pause.
PAUSE_S = 0.5
TURN_S = 0.001

really_sleep = get_original('time', 'sleep')


class Failed(Exception):
    """A wait is over."""


class TestListeningClock(unittest.TestCase):
    """The clock stands still in what the loop does at one go."""

    def setUp(self):
        """Hold the clock of this loop."""
        self.clock = listening_clock()
        self.clock.hold()
        self.addCleanup(self.clock.release)
        gevent.sleep(MAX_STEP_S)

    def test_one_for_each_loop(self):
        """Who waits in the same loop goes by the same clock."""
        self.assertIs(self.clock, listening_clock())

    def test_pause(self):
        """A pause counts as one step, read as often as may be."""
        began = self.clock.monotonic()
        for _ in range(10):
            really_sleep(PAUSE_S / 10)
            self.clock.monotonic()
        passed_s = self.clock.monotonic() - began
        self.assertLessEqual(passed_s, MAX_STEP_S * 2)

    def test_work_that_was_ready(self):
        """What was ready together, in however many turns, is one pause."""
        began = self.clock.monotonic()
        working = [gevent.spawn(really_sleep, 0.01) for _ in range(100)]
        gevent.joinall(working)
        passed_s = self.clock.monotonic() - began
        self.assertLessEqual(passed_s, MAX_STEP_S * 5)

    def test_seldom(self):
        """It ticks now and then, not all the time."""
        with mock.patch.object(self.clock, '_count') as counted:
            gevent.sleep(PAUSE_S)
        self.assertLessEqual(counted.call_count, PAUSE_S / TICK_S + 1)

    def test_goes_on(self):
        """It goes on with a loop that keeps up."""
        began = self.clock.monotonic()
        gevent.sleep(PAUSE_S)
        self.assertGreater(self.clock.monotonic() - began, MAX_STEP_S)


class TestPatientTimeout(unittest.TestCase):
    """Ends as the library's does, by another clock."""

    @params(0, 0.05)
    def test_over(self, seconds):
        """Without a pause it ends the wait with what it was given."""
        with self.assertRaises(Failed), PatientTimeout(seconds, Failed()):
            gevent.sleep(60)

    def test_itself(self):
        """Without an exception it raises itself."""
        limit = PatientTimeout(0.05)
        with self.assertRaises(PatientTimeout) as caught, limit:
            gevent.sleep(60)
        self.assertIs(limit, caught.exception)
        self.assertIn('a word: nothing in 0.05 s', limit.described('a word'))

    def test_never(self):
        """None as seconds never ends."""
        with PatientTimeout(None, Failed()):
            gevent.sleep(0.05)

    def test_done_in_time(self):
        """What ends in time is left alone afterwards."""
        with PatientTimeout(0.05, Failed()):
            gevent.sleep(0)
        gevent.sleep(0.1)

    def test_nested(self):
        """The outer one ends a wait of the inner one."""
        inner = PatientTimeout(60)
        with self.assertRaises(Failed), PatientTimeout(0.05, Failed()), inner:
            gevent.sleep(60)

    def test_pause(self):
        """A pause longer than the whole leaves time to go on."""
        with PatientTimeout(0.1, Failed()):
            gevent.sleep(TURN_S)
            really_sleep(PAUSE_S)
            gevent.sleep(TURN_S)
