"""Admission decisions by themselves, beside their naive versions."""

import unittest
from collections import Counter

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.settings.schema import ObjectiveSettings
from cactusridge.sidecar.controllers import (
    FillController,
    ObjectiveController,
    OnlineLoad,
)
from cactusridge.sidecar.drain_rate import DrainRate
from cactusridge.sidecar.fair_queue import FairQueue
from cactusridge.sidecar.limits import FixedLimit, ObjectiveLimit

SLOTS = 16
OBJECTIVE = ObjectiveSettings()
TICK_S = 0.3
IDLE = OnlineLoad(0, 0)


class TestLimits(unittest.TestCase):
    """How many online requests may be at the upstream."""

    def setUp(self):
        """Start with all slots."""
        self.clock = ManualClock()
        self.limit = ObjectiveLimit(SLOTS, OBJECTIVE, self.clock)

    def observe(self, first_s: float, times: int) -> int:
        """Observe some first tokens; return the limit then."""
        for _ in range(times):
            self.clock.advance(1)
            self.limit.observe(first_s, SLOTS)
        return self.limit.current()

    @params((0.1, 16), (0.31, 16), (0.33, 4), (5, 4))
    def test_objective(self, first_s, wanted):
        """It shrinks in danger only, never under a quarter."""
        naive = FixedLimit(SLOTS)
        naive.observe(first_s, SLOTS)
        self.assertEqual(wanted, self.observe(first_s, 40))
        self.assertEqual(SLOTS, naive.current())

    def test_grows_back(self):
        """What was cut comes back once first tokens are early."""
        self.observe(0.6, 40)
        self.assertEqual(SLOTS, self.observe(0.1, 200))

    def test_one_cut_for_a_wave(self):
        """Requests that were on their way together cut once."""
        self.clock.advance(10)
        for _ in range(12):
            self.limit.observe(0.6, SLOTS)
        self.assertEqual(int(SLOTS * 0.8), self.limit.current())


class TestControllers(unittest.TestCase):
    """How much batch runs beside online."""

    def setUp(self):
        """Start with an idle engine."""
        self.clock = ManualClock()
        self.naive = FillController(SLOTS)
        self.controller = ObjectiveController(
            SLOTS,
            OBJECTIVE,
            0.5,
            self.clock,
        )

    def after(self, seconds: float, load: OnlineLoad = IDLE) -> int:
        """Return the level some time later."""
        self.clock.advance(seconds)
        return self.controller.limit(load)

    def test_idle_engine_is_filled(self):
        """Without online requests batch has every slot."""
        self.assertEqual(SLOTS, self.after(0))

    def test_waiting_online_stops_batch(self):
        """One online request that waits leaves nothing to batch."""
        waits = OnlineLoad(3, 1)
        self.assertEqual(0, self.after(0, waits))
        self.assertEqual(SLOTS - 3, self.naive.limit(waits))

    def test_recent_use_is_kept_free(self):
        """Slots online just used stay free; an idle second fills them."""
        self.after(0, OnlineLoad(5, 0))
        self.assertEqual(SLOTS - 5, self.after(0.5))
        self.assertEqual(SLOTS, self.after(1))
        self.assertEqual(SLOTS, self.naive.limit(IDLE))

    @params((0.02, 16), (0.05, 1))
    def test_times_between_tokens(self, gap_s, wanted):
        """It yields down to one when online is pressed, and comes back."""
        for _ in range(20):
            self.controller.between_tokens(gap_s)
            found = self.after(TICK_S)
        self.assertEqual(wanted, found)
        for _ in range(10):
            found = self.after(TICK_S)
        self.assertEqual(SLOTS, found)


class TestFairQueue(unittest.TestCase):
    """Whose turn it is."""

    def served(self, queue: FairQueue, count: int) -> Counter[str]:
        """Return how often each team is served next."""
        return Counter(queue.pop() for _ in range(count))

    @params((1, 1, 10, 10), (3, 1, 15, 5))
    def test_shares(self, first, second, wanted_first, wanted_second):
        """Teams that wait are served in proportion to their shares."""
        queue = FairQueue()
        for _ in range(100):
            queue.push('a', first, 0, 'a')
        for _ in range(100):
            queue.push('b', second, 0, 'b')
        wanted = Counter(a=wanted_first, b=wanted_second)
        self.assertEqual(wanted, self.served(queue, 20))

    def test_flood_of_one_team(self):
        """A team with one request need not wait behind a flood."""
        queue = FairQueue()
        for _ in range(100):
            queue.push('flood', 1, 0, 'flood')
        self.served(queue, 50)
        queue.push('late', 1, 0, 'late')
        self.assertIn('late', self.served(queue, 2))

    def test_absence_saves_nothing(self):
        """A team that was away gets its share, not what it missed."""
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
        """Within a team the one due first goes first."""
        queue = FairQueue()
        for slack in (30, 10, 20):
            queue.push('a', 1, slack, slack)
        self.assertEqual([10, 20, 30], [queue.pop() for _ in range(3)])

    def test_discard(self):
        """Who has gone is not served; the others are."""
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
    """How long a wait will be."""

    def setUp(self):
        """Work steadily, a slot each 50 ms."""
        self.clock = ManualClock()
        self.rate = DrainRate(self.clock)
        self.work(50)

    def work(self, releases: int) -> None:
        """Release slots while others wait."""
        for _ in range(releases):
            self.clock.advance(0.05)
            self.rate.released(waiting=True)

    def test_steady(self):
        """Twenty ahead take a second."""
        self.assertAlmostEqual(1, self.rate.wait_s(20), places=2)

    def test_idle_time_is_no_work(self):
        """A burst after an idle minute is judged by how fast it goes."""
        self.clock.advance(0.05)
        self.rate.released(waiting=False)
        self.clock.advance(60)
        self.rate.released(waiting=False)
        self.work(1)
        self.assertAlmostEqual(1, self.rate.wait_s(20), places=2)
