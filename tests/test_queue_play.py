"""Simulated bursts on a cell whose callers may wait at their entry."""

import unittest

from bench.decisions.paired import difference
from tests.queue_figures import MEASURES, NAIVE
from tests.queue_plays import simulate

LOADS = ('0.9', '1.2')
SEEDS = '8'
PERIODS = '3'
FAIR = 'fair'


class TestBursts(unittest.TestCase):
    """The queue and the naive policy at a load above and below the slots.

    The mean load is 0.9 and 1.2 times what the slots hold, in bursts of 1.91
    times the mean. Differences are compared with their 95% interval.
    """

    @classmethod
    def setUpClass(cls):
        """Simulate both policies with the same seeds."""
        cls.plays = {
            load: simulate(load, f'{NAIVE},{FAIR}', SEEDS, PERIODS)
            for load in LOADS
        }

    def differences(self, name):
        """Return the differences of a measure from the naive policy."""
        measure = MEASURES[name]
        return [
            difference(plays, NAIVE, FAIR, measure)
            for plays in self.plays.values()
        ]

    def test_all_callers_are_counted(self):
        """No caller is lost in the simulation, and each counts once."""
        for plays in self.plays.values():
            for naive, fair in zip(plays[::2], plays[1::2], strict=True):
                self.assertEqual(naive.asked, fair.asked)

    def test_fewer_unanswered(self):
        """Fewer callers get no answer, at least 1 in 100."""
        for found in self.differences('unanswered'):
            self.assertTrue(found.excludes_zero, found)
            self.assertLess(found.mean, -0.01)

    def test_not_fewer_on_time(self):
        """Waiting requests do not displace requests that are on time."""
        for found in self.differences('on time'):
            self.assertGreater(found.mean, -found.half_width, found)

    def test_small_organisations(self):
        """Organisations that ask little gain too.

        One organisation asks 7.5 times as much as each other one. In a queue
        in order of arrival it would take the slots of the others.
        """
        for found in self.differences('small'):
            self.assertTrue(found.excludes_zero, found)
            self.assertLess(found.mean, 0)

    def test_worst_served(self):
        """The worst served tenth of the organisations does not lose."""
        for found in self.differences('worst tenth'):
            self.assertLess(found.mean, found.half_width, found)

    def test_few_are_held_back(self):
        """Few requests that have waited meet a replica without free slots.

        They would delay requests that are on time. Entries that take the last
        slot of a replica hold up a third of them.
        """
        plays = [
            play
            for plays in self.plays.values()
            for play in plays
            if play.variant == FAIR
        ]
        started = sum(play.started for play in plays)
        held_back = sum(play.held_back for play in plays)
        self.assertGreater(started, 0)
        self.assertLess(held_back, 0.2 * started)
