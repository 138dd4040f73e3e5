"""An entry raises burn rate alerts from its own counts alone."""

import unittest

import structlog
from nose2.tools import params
from structlog.testing import LogCapture

from cactusridge.clock import ManualClock
from cactusridge.slo.burn import HOUR_S
from cactusridge.slo.burn_rate_monitor import BUCKET_S, BurnRateMonitor
from cactusridge.slo.window import GoodBadCounts, ServiceWindow
from tests.quarter import OBJECTIVE, SERVICE

PERIOD_S = BUCKET_S / 5
LONG_PERIOD_S = BUCKET_S * 4
FAST = 0.03
SLOW = 0.008
WITHIN = 0.0005


class TestBurnWatch(unittest.TestCase):
    """Alerts follow multi-window thresholds and are logged once each."""

    def setUp(self):
        """Watch one service and capture the log."""
        self.clock = ManualClock(1_000_000_000)
        self.watch = BurnRateMonitor(lambda path: OBJECTIVE, self.clock)
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
        """Count ``rate`` responses each period; return the alerts raised."""
        for _ in range(int(hours * HOUR_S / period_s)):
            self.clock.advance(period_s)
            window = ServiceWindow()
            window.bad = round(rate * bad_share)
            window.good = rate - window.bad
            self.watch.add({SERVICE: window})
        return self.raised()

    def raised(self) -> list[tuple[str, str]]:
        """Return the alerts raised since the last call of this method."""
        logged = [
            (each['severity'], each['objective'])
            for each in self.logs.entries
            if each['event'] == 'burn_alert'
        ]
        self.logs.entries.clear()
        return sorted(logged)

    @params(
        (FAST, ['page', 'ticket']),
        (SLOW, ['ticket']),
        (WITHIN, []),
        (0, []),
    )
    def test_thresholds(self, bad_share, expected):
        """Each burn rate raises the expected alerts, once each."""
        raised_alerts = self.run_for(7, bad_share)
        alerts = [(severity, 'availability') for severity in expected]
        self.assertEqual(alerts, raised_alerts)

    def test_short_burst_in_a_long_good_time(self):
        """A burst too short for the long window raises no alert."""
        self.run_for(6, 0, period_s=PERIOD_S)
        minutes = BUCKET_S / HOUR_S
        raised_alerts = self.run_for(minutes, FAST * 10, period_s=PERIOD_S)
        self.assertEqual([], raised_alerts)

    def test_logged_again_only_after_its_end(self):
        """A continuing alert is not logged again, a returning one is."""
        first = self.run_for(7, FAST)
        continuing = self.run_for(1, FAST)
        self.run_for(80, 0)
        again = self.run_for(7, FAST)
        self.assertEqual([], continuing)
        self.assertEqual(['page', 'ticket'], [name for name, _ in first])
        # Seven bad hours after 80 good ones do not reach the threshold of
        # the three-day window, so that no ticket is raised.
        self.assertEqual([('page', 'availability')], again)

    def test_too_few_samples(self):
        """A few bad responses raise no alert."""
        self.assertEqual([], self.run_for(0.2, 1, 1, PERIOD_S))

    def test_item_without_exactly_one_result(self):
        """One batch item without exactly one result raises alerts at once."""
        window = ServiceWindow()
        window.count('exactly_once', GoodBadCounts(100, 1))
        self.watch.add({SERVICE: window})
        expected = [('page', 'exactly_once'), ('ticket', 'exactly_once')]
        self.assertEqual(expected, self.raised())
