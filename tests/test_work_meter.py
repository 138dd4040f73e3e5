"""Processor time by part, and its reports."""

import unittest

import gevent
import structlog
from structlog.testing import LogCapture

from cactusridge import metrics
from cactusridge.work_meter import Part, WorkMeter, spawn
from cactusridge.work_report import WorkReport

STEP = 'test_work_meter'


class Ticks:
    """A clock that has gone on by a second at every look."""

    def __init__(self):
        """Start at 0."""
        self.now = 0

    def __call__(self):
        """Return the time."""
        self.now += 1
        return self.now


class TestWorkMeter(unittest.TestCase):
    """Booking by switches between greenlets."""

    def setUp(self):
        """Have a meter whose every switch takes a second."""
        self.meter = WorkMeter(Ticks())
        self.addCleanup(self.meter.stop)

    def measure(self, *parts):
        """Run a greenlet of each of ``parts``, with a pause."""
        self.meter.start()
        gevent.joinall([spawn(part, gevent.sleep, 0) for part in parts])
        self.meter.stop()

    def test_parts(self):
        """Each part has its turns; the time between them is its own."""
        self.measure(Part.feeds, Part.items, Part.items)
        parts = self.meter.parts
        turns = [parts[part].turns for part in (Part.feeds, Part.items)]
        self.assertEqual([2, 4], turns)
        self.assertEqual(4, parts[Part.items].seconds)
        self.assertEqual(0, parts[Part.claims].turns)

    def test_loop(self):
        """The loop's own turns are told from greenlets without a part."""
        self.measure(Part.feeds)
        self.assertGreaterEqual(self.meter.parts[Part.loop].turns, 2)

    def test_report(self):
        """A report has what is new, in the log and in the metrics."""
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
