"""Burn alerts are raised from an entry's counts without the store."""

import unittest

import structlog
from nose2.tools import params
from structlog.testing import LogCapture

from cactusridge.clock import ManualClock
from cactusridge.slo.burn import HOUR_S
from cactusridge.slo.burn_watch import BUCKET_S, BurnWatch
from cactusridge.slo.window import Quantity, ServiceWindow
from tests.quarter import OBJECTIVE, SERVICE

PERIOD_S = BUCKET_S / 5
LONG_PERIOD_S = BUCKET_S * 4
FAST = 0.03
SLOW = 0.008
WITHIN = 0.0005


class TestBurnWatch(unittest.TestCase):
    """The usual thresholds over two windows, said once."""

    def setUp(self):
        """Watch one service from now on."""
        self.clock = ManualClock(1_000_000_000)
        self.watch = BurnWatch(lambda path: OBJECTIVE, self.clock)
        self.addCleanup(structlog.configure, **structlog.get_config())
        self.logs = LogCapture()
        structlog.configure(
            processors=[self.logs],
            wrapper_class=structlog.make_filtering_bound_logger(0),
        )

    def run_for(
        self,
        hours: float,
        bad_share: float,
        rate: int = 1000,
        period_s: float = LONG_PERIOD_S,
    ) -> list[tuple[str, str]]:
        """Answer for some hours; return the alerts raised."""
        for _ in range(int(hours * HOUR_S / period_s)):
            self.clock.advance(period_s)
            window = ServiceWindow()
            window.bad = round(rate * bad_share)
            window.good = rate - window.bad
            self.watch.add({SERVICE: window})
        return self.raised()

    def raised(self) -> list[tuple[str, str]]:
        """Return the alerts raised since this was last asked."""
        seen = [
            (each['severity'], each['objective'])
            for each in self.logs.entries
            if each['event'] == 'burn_alert'
        ]
        self.logs.entries.clear()
        return sorted(seen)

    @params(
        (FAST, ['page', 'ticket']),
        (SLOW, ['ticket']),
        (WITHIN, []),
        (0, []),
    )
    def test_thresholds(self, bad_share, wanted):
        """Each speed of burning raises what it should, once."""
        found = self.run_for(7, bad_share)
        alerts = [(severity, 'availability') for severity in wanted]
        self.assertEqual(alerts, found)

    def test_short_burst_in_a_long_good_time(self):
        """A burst that the long window does not show raises no page."""
        self.run_for(6, 0, period_s=PERIOD_S)
        minutes = BUCKET_S / HOUR_S
        found = self.run_for(minutes, FAST * 10, period_s=PERIOD_S)
        self.assertEqual([], found)

    def test_said_again_only_after_its_end(self):
        """An alert that goes on is silent; one that comes back is not."""
        first = self.run_for(7, FAST)
        going_on = self.run_for(1, FAST)
        self.run_for(80, 0)
        again = self.run_for(7, FAST)
        self.assertEqual([], going_on)
        self.assertEqual(['page', 'ticket'], [name for name, _ in first])
        # Seven hours of it are little in the last three days.
        self.assertEqual([('page', 'availability')], again)

    def test_too_few_to_tell(self):
        """One bad answer among a handful raises nothing."""
        self.assertEqual([], self.run_for(0.2, 1, 1, PERIOD_S))

    def test_one_item_not_once(self):
        """A single item that has not one result raises at once."""
        window = ServiceWindow()
        window.count('exactly_once', Quantity(100, 1))
        self.watch.add({SERVICE: window})
        wanted = [('page', 'exactly_once'), ('ticket', 'exactly_once')]
        self.assertEqual(wanted, self.raised())
