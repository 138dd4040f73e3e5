"""Tests of the processor time by part and of its reports."""

import unittest

import gevent
import structlog
from structlog.testing import LogCapture

from cactusridge import metrics
from cactusridge.work_meter import Part, WorkMeter, spawn
from cactusridge.work_report import WorkReport

STEP = 'test_work_meter'


class Ticks:
    """A clock that advances by a second at every read."""

    def __init__(self):
        """Start at 0."""
        self.now = 0

    def __call__(self):
        """Return the time."""
        self.now += 1
        return self.now


class TestWorkMeter(unittest.TestCase):
    """The meter adds up time at each switch between greenlets."""

    def setUp(self):
        """Create a meter for which each switch takes a second."""
        self.meter = WorkMeter(Ticks())
        self.addCleanup(self.meter.stop)

    def measure(self, *parts):
        """Run a greenlet that sleeps once for each of ``parts``."""
        self.meter.start()
        gevent.joinall([spawn(part, gevent.sleep, 0) for part in parts])
        self.meter.stop()

    def test_parts(self):
        """Switches and seconds are counted for the part that ran."""
        self.measure(Part.feeds, Part.items, Part.items)
        parts = self.meter.parts
        turns = [parts[part].turns for part in (Part.feeds, Part.items)]
        self.assertEqual([2, 4], turns)
        self.assertEqual(4, parts[Part.items].seconds)
        self.assertEqual(0, parts[Part.claims].turns)

    def test_loop(self):
        """Switches to the event loop are counted as the part ``loop``."""
        self.measure(Part.feeds)
        self.assertGreaterEqual(self.meter.parts[Part.loop].turns, 2)

    def test_report(self):
        """A report has the increase, in the log and in the metrics."""
        captured = LogCapture()
        self.addCleanup(structlog.configure, **structlog.get_config())
        structlog.configure(
            processors=[captured],
            wrapper_class=structlog.make_filtering_bound_logger(0),
        )
        report = WorkReport(self.meter, lambda: {'items_waiting': 3})
        self.meter.steps[STEP] += 2
        report.report()
        self.meter.steps[STEP] += 5
        report.report()
        said = captured.entries
        self.assertEqual([2, 5], [line['steps'][STEP] for line in said])
        self.assertEqual({'items_waiting': 3}, said[0]['depths'])
        self.assertEqual(7, metrics.STEPS.get({'step': STEP}))
