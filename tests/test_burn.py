"""The burn report against a naive one from the raw events."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cactusridge.clock import ManualClock
from cactusridge.errors import StoreUnavailable
from cactusridge.slo.burn import DAY_S, WINDOWS, BurnReporter
from cactusridge.slo.history import SloHistory
from cactusridge.slo.period import find_gaps
from cactusridge.slo.recorder import SloRecorder
from cactusridge.slo.sample import Sample
from standins.memory_table import MemoryTable
from tests.memory_objects import MemoryObjects
from tests.quarter import OBJECTIVE, PERIOD_S, SERVICE, START, Quarter


class TestBurn(unittest.TestCase):
    """What is reported is what happened."""

    @given(st.integers(0, 1000), st.integers(1, 4))
    @settings(max_examples=6, deadline=None, derandomize=True)
    def test_matches_the_naive_report(self, seed, days):
        """Every window burns as the raw events say."""
        quarter = Quarter(seed, days)
        found = quarter.report()['burn']
        for name, length_s in WINDOWS:
            wanted = quarter.naive(length_s)
            for kind, rate in wanted.items():
                self.assertAlmostEqual(rate, found[name][kind])

    def test_budget_left_over_a_quarter(self):
        """A fortnight at burn one leaves the rest of the quarter."""
        quarter = Quarter(1, 14)
        found = quarter.report()
        rate = found['burn']['quarter']['availability']
        left = found['objectives']['availability']['budget_left']
        self.assertAlmostEqual(1 - rate * 14 / 92, left, places=6)

    def test_lost_entry_is_named(self):
        """An entry that vanished leaves a gap that the report shows."""
        quarter = Quarter(2, 1)
        quarter.clock.advance(3 * PERIOD_S)
        missing = quarter.report()['missing']
        self.assertEqual(['e0', 'e1'], [gap['entry'] for gap in missing])
        self.assertEqual({START + DAY_S}, {gap['after'] for gap in missing})

    def test_lost_period_in_the_middle(self):
        """A number left out is a gap; a planned end is none."""
        clock = ManualClock(START)
        objects = MemoryObjects()
        recorder = SloRecorder('e', objects, PERIOD_S, clock)
        for number in range(3):
            clock.advance(PERIOD_S)
            recorder.flush(last=number == 2)
        objects.stored.pop(sorted(objects.stored)[1])
        clock.advance(DAY_S)
        reporter = BurnReporter(SloHistory(objects, MemoryTable()))
        found = reporter.report(SERVICE, OBJECTIVE, clock.wall())
        self.assertEqual(
            [{'entry': 'e', 'after': START + PERIOD_S, 'serial': 1}],
            found['missing'],
        )

    def test_outage_loses_nothing(self):
        """Periods that could not be stored are stored afterwards."""
        clock = ManualClock(START)
        objects = Failing()
        recorder = SloRecorder('e', objects, PERIOD_S, clock)
        for number in range(5):
            objects.down = number < 4
            recorder.record(SERVICE, Sample(True, 0.1, 0.01))
            clock.advance(PERIOD_S)
            recorder.flush()
        reporter = BurnReporter(SloHistory(objects, MemoryTable()))
        found = reporter.report(SERVICE, OBJECTIVE, clock.wall())
        self.assertEqual(5, found['objectives']['availability']['good'])
        self.assertEqual([], found['missing'])

    def test_alert_needs_both_windows(self):
        """A page is for a fast burn that lasts."""
        clock = ManualClock(START)
        objects = MemoryObjects()
        recorder = SloRecorder('e', objects, PERIOD_S, clock)
        for hour in range(7):
            for number in range(100):
                good = number >= 2 or hour < 1
                recorder.record(SERVICE, Sample(good, 0.1, 0.01))
            clock.advance(PERIOD_S)
            recorder.flush()
        reporter = BurnReporter(SloHistory(objects, MemoryTable()))
        found = reporter.report(SERVICE, OBJECTIVE, clock.wall())
        kinds = {each['severity'] for each in found['alerts']}
        self.assertEqual({'page', 'ticket'}, kinds)
        self.assertEqual([], find_gaps([], clock.wall(), PERIOD_S))


class Failing(MemoryObjects):
    """An object store that can be down."""

    down = False

    def put(self, name: str, body: bytes, priority: int) -> None:
        """Store, unless down."""
        if self.down:
            raise StoreUnavailable(retry_after_s=1)
        super().put(name, body, priority)
