"""Compares the burn report with one computed from the raw samples."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cactusridge.clock import ManualClock
from cactusridge.errors import StoreUnavailable
from cactusridge.slo.burn import DAY_S, WINDOWS, BurnRateReporter
from cactusridge.slo.history import SloHistory
from cactusridge.slo.period import find_gaps
from cactusridge.slo.recorder import SloRecorder
from cactusridge.slo.sample import ResponseSample
from standins.memory_table import MemoryTable
from tests.memory_objects import MemoryObjects
from tests.quarter import OBJECTIVE, PERIOD_S, SERVICE, START, Quarter


class TestBurn(unittest.TestCase):
    """The report matches the samples and lists missing periods."""

    @given(st.integers(0, 1000), st.integers(1, 4))
    @settings(max_examples=6)
    def test_matches_the_naive_report(self, seed, days):
        """The burn rates of every window match those of the raw samples."""
        quarter = Quarter(seed, days)
        burn_report = quarter.report()['burn']
        for name, length_s in WINDOWS:
            expected = quarter.expected_burn(length_s)
            for kind, rate in expected.items():
                self.assertAlmostEqual(rate, burn_report[name][kind])

    def test_budget_left_over_a_quarter(self):
        """After 14 days, the used budget is the burn rate times 14/92."""
        quarter = Quarter(1, 14)
        burn_report = quarter.report()
        rate = burn_report['burn']['quarter']['availability']
        left = burn_report['objectives']['availability']['budget_left']
        self.assertAlmostEqual(1 - rate * 14 / 92, left, places=6)

    def test_lost_entry_is_named(self):
        """The report lists a gap for an entry that stopped unexpectedly."""
        quarter = Quarter(2, 1)
        quarter.clock.advance(3 * PERIOD_S)
        missing = quarter.report()['missing']
        self.assertEqual(['e0', 'e1'], [gap['entry'] for gap in missing])
        self.assertEqual({START + DAY_S}, {gap['after'] for gap in missing})

    def test_lost_period_in_the_middle(self):
        """A missing serial number is a gap, a planned shutdown is not."""
        clock = ManualClock(START)
        objects = MemoryObjects()
        recorder = SloRecorder('e', objects, PERIOD_S, clock)
        for number in range(3):
            clock.advance(PERIOD_S)
            recorder.flush(last=number == 2)
        objects.stored.pop(sorted(objects.stored)[1])
        clock.advance(DAY_S)
        reporter = BurnRateReporter(SloHistory(objects, MemoryTable()))
        burn_report = reporter.report(SERVICE, OBJECTIVE, clock.wall())
        self.assertEqual(
            [{'entry': 'e', 'after': START + PERIOD_S, 'serial': 1}],
            burn_report['missing'],
        )

    def test_store_outage(self):
        """Periods that end during a store outage are stored after it."""
        clock = ManualClock(START)
        objects = Failing()
        recorder = SloRecorder('e', objects, PERIOD_S, clock)
        for number in range(5):
            objects.down = number < 4
            recorder.record(SERVICE, ResponseSample(True, 0.1, 0.01))
            clock.advance(PERIOD_S)
            recorder.flush()
        reporter = BurnRateReporter(SloHistory(objects, MemoryTable()))
        burn_report = reporter.report(SERVICE, OBJECTIVE, clock.wall())
        self.assertEqual(5, burn_report['objectives']['availability']['good'])
        self.assertEqual([], burn_report['missing'])

    def test_alert_needs_both_windows(self):
        """A high burn rate in both windows raises a page and a ticket."""
        clock = ManualClock(START)
        objects = MemoryObjects()
        recorder = SloRecorder('e', objects, PERIOD_S, clock)
        for hour in range(7):
            for number in range(100):
                good = number >= 2 or hour < 1
                recorder.record(SERVICE, ResponseSample(good, 0.1, 0.01))
            clock.advance(PERIOD_S)
            recorder.flush()
        reporter = BurnRateReporter(SloHistory(objects, MemoryTable()))
        burn_report = reporter.report(SERVICE, OBJECTIVE, clock.wall())
        kinds = {each['severity'] for each in burn_report['alerts']}
        self.assertEqual({'page', 'ticket'}, kinds)
        self.assertEqual([], find_gaps([], clock.wall(), PERIOD_S))


class Failing(MemoryObjects):
    """An object store that can be made unavailable."""

    down = False

    def put(self, name: str, body: bytes, priority: int) -> None:
        """Store an object; raise StoreUnavailable if ``down`` is set."""
        if self.down:
            raise StoreUnavailable(retry_after_s=1)
        super().put(name, body, priority)
