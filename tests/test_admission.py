"""Unit tests of the admission policies, compared with the baselines."""

import unittest
from collections import Counter

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.routing.fair_queue import FairQueue
from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.sidecar.controllers import (
    FillSlotsController,
    ObjectiveController,
    OnlineLoad,
)
from cactusridge.sidecar.drain_rate import DrainRate
from cactusridge.sidecar.limits import FixedLimit, ObjectiveLimit

SLOTS = 16
OBJECTIVE = ObjectiveSettings()
TICK_S = 0.3
IDLE = OnlineLoad(0, 0)


class TestLimits(unittest.TestCase):
    """The limit on running online requests follows the objective."""

    def setUp(self):
        """Create a limit that allows all slots."""
        self.clock = ManualClock()
        self.limit = ObjectiveLimit(SLOTS, OBJECTIVE, self.clock)

    def observe(self, first_s: float, times: int) -> int:
        """Observe a time to first token repeatedly; return the limit."""
        for _ in range(times):
            self.clock.advance(1)
            self.limit.observe(first_s, SLOTS)
        return self.limit.current()

    @params((0.1, 16), (0.31, 16), (0.33, 4), (5, 4))
    def test_objective(self, first_s, expected):
        """The limit shrinks only above half the objective, to 1/4 at least."""
        baseline = FixedLimit(SLOTS)
        baseline.observe(first_s, SLOTS)
        self.assertEqual(expected, self.observe(first_s, 40))
        self.assertEqual(SLOTS, baseline.current())

    def test_grows_back(self):
        """The limit grows to all slots again after short first-token times."""
        self.observe(0.6, 40)
        self.assertEqual(SLOTS, self.observe(0.1, 200))

    def test_one_decrease_per_wave(self):
        """Requests that were in flight together decrease the limit once."""
        self.clock.advance(10)
        for _ in range(12):
            self.limit.observe(0.6, SLOTS)
        self.assertEqual(int(SLOTS * 0.8), self.limit.current())


class TestControllers(unittest.TestCase):
    """The number of batch requests adapts to the online load."""

    def setUp(self):
        """Create controllers for an idle engine."""
        self.clock = ManualClock()
        self.baseline = FillSlotsController(SLOTS)
        self.controller = ObjectiveController(
            SLOTS,
            OBJECTIVE,
            0.5,
            self.clock,
        )

    def after(self, seconds: float, load: OnlineLoad = IDLE) -> int:
        """Return the batch limit under ``load`` after some seconds."""
        self.clock.advance(seconds)
        return self.controller.limit(load)

    def test_idle_engine_is_filled(self):
        """Batch requests may use every slot while no online request runs."""
        self.assertEqual(SLOTS, self.after(0))

    def test_waiting_online_stops_batch(self):
        """The batch limit is 0 while an online request waits."""
        waits = OnlineLoad(3, 1)
        self.assertEqual(0, self.after(0, waits))
        self.assertEqual(SLOTS - 3, self.baseline.limit(waits))

    def test_recent_peak_is_reserved(self):
        """Recently used online slots stay reserved for less than 1.5 s."""
        self.after(0, OnlineLoad(5, 0))
        self.assertEqual(SLOTS - 5, self.after(0.5))
        self.assertEqual(SLOTS, self.after(1))
        self.assertEqual(SLOTS, self.baseline.limit(IDLE))

    @params((0.02, 16), (0.05, 1))
    def test_times_between_tokens(self, gap_s, expected):
        """The limit drops to 1 at a slow token rate and recovers after it."""
        for _ in range(20):
            self.controller.observe_token_gap(gap_s)
            found = self.after(TICK_S)
        self.assertEqual(expected, found)
        for _ in range(10):
            found = self.after(TICK_S)
        self.assertEqual(SLOTS, found)


class TestFairQueue(unittest.TestCase):
    """Teams are served by share, and entries of a team by rank."""

    def served(self, queue: FairQueue, count: int) -> Counter[str]:
        """Pop ``count`` entries; return the number of each."""
        return Counter(queue.pop() for _ in range(count))

    @params((1, 1, 10, 10), (3, 1, 15, 5))
    def test_shares(self, first, second, expected_first, expected_second):
        """Teams with waiting entries are served in proportion to shares."""
        queue = FairQueue()
        for _ in range(100):
            queue.push('a', first, 0, 'a')
        for _ in range(100):
            queue.push('b', second, 0, 'b')
        expected = Counter(a=expected_first, b=expected_second)
        self.assertEqual(expected, self.served(queue, 20))

    def test_flood_of_one_team(self):
        """One entry of a team is served soon despite a long queue."""
        queue = FairQueue()
        for _ in range(100):
            queue.push('flood', 1, 0, 'flood')
        self.served(queue, 50)
        queue.push('late', 1, 0, 'late')
        self.assertIn('late', self.served(queue, 2))

    def test_idle_team_gains_no_credit(self):
        """A team that was idle gets its share, not the turns it missed."""
        queue = FairQueue()
        queue.push('b', 1, 0, 'b')
        queue.pop()
        for _ in range(100):
            queue.push('a', 1, 0, 'a')
        self.served(queue, 50)
        for _ in range(20):
            queue.push('b', 1, 0, 'b')
        self.assertLessEqual(self.served(queue, 10)['b'], 6)

    def test_least_slack_first(self):
        """The entry with the least slack of a team is served first."""
        queue = FairQueue()
        for slack in (30, 10, 20):
            queue.push('a', 1, slack, slack)
        self.assertEqual([10, 20, 30], [queue.pop() for _ in range(3)])

    def test_discard(self):
        """A discarded entry is not served, and other entries are."""
        queue = FairQueue()
        entries = [object(), object()]
        for entry in entries:
            queue.push('a', 1, 0, entry)
        self.assertTrue(queue.discard(entries[0]))
        self.assertFalse(queue.discard(entries[0]))
        self.assertEqual(1, len(queue))
        self.assertIs(entries[1], queue.pop())
        self.assertIsNone(queue.peek())


class TestDrainRate(unittest.TestCase):
    """The expected wait follows the interval between slot releases."""

    def setUp(self):
        """Release a slot every 50 ms while requests wait."""
        self.clock = ManualClock()
        self.rate = DrainRate(self.clock)
        self.work(50)

    def work(self, releases: int) -> None:
        """Release slots while requests wait, one every 50 ms."""
        for _ in range(releases):
            self.clock.advance(0.05)
            self.rate.record_release(waiting=True)

    def test_steady(self):
        """The wait for 20 slots is 1 s."""
        self.assertAlmostEqual(1, self.rate.expected_wait_s(20), places=2)

    def test_idle_time_is_ignored(self):
        """An idle minute before a burst does not change the expected wait."""
        self.clock.advance(0.05)
        self.rate.record_release(waiting=False)
        self.clock.advance(60)
        self.rate.record_release(waiting=False)
        self.work(1)
        self.assertAlmostEqual(1, self.rate.expected_wait_s(20), places=2)
