"""Which entries may count limits while the store is unavailable."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.organisations.common_outage import (
    CONFIRM_GAP_S,
    CONFIRM_S,
    RECOVERY_S,
    CommonOutage,
    StoreReport,
)

MEMBERS = tuple(f'e{number}' for number in range(10))
STEP_S = 0.25


class TestCommonOutage(unittest.TestCase):
    """One of ten entries, which renewed its lease at the start."""

    def setUp(self):
        """Start without reports."""
        self.clock = ManualClock(100)
        self.outage = CommonOutage(lambda: self.clock.now * 1000, self.clock)
        self.renewed_at = self.clock.now

    def step(self, without, with_store=()):
        """Report for ``without`` and ``with_store``, and advance a step."""
        self.clock.advance(STEP_S)
        now_ms = int(self.clock.now * 1000)
        for entry in without:
            self.outage.note(StoreReport(entry, now_ms, has_store=False))
        for entry in with_store:
            self.outage.note(StoreReport(entry, now_ms, has_store=True))
        self.outage.update(MEMBERS, self.clock.now - self.renewed_at)

    def run_for(self, length_s, without, with_store=()):
        """Repeat the same reports for ``length_s`` seconds."""
        for _ in range(int(length_s / STEP_S)):
            self.step(without, with_store)

    @params((0, False), (5, False), (6, True), (10, True))
    def test_majority(self, lacking, holds):
        """More than half of the members must lack the store."""
        self.run_for(8, MEMBERS[:lacking])
        self.assertEqual(holds, self.outage.holds())

    def test_one_has_the_store(self):
        """An entry that never lacked the store ends the right at once."""
        self.run_for(4, MEMBERS[:8])
        self.step(MEMBERS[:8], MEMBERS[9:])
        self.assertFalse(self.outage.holds())
        self.run_for(4, MEMBERS[:8])
        self.assertFalse(self.outage.holds())

    def test_others_notice_later(self):
        """Entries may notice the outage some time after this one."""
        self.run_for(1.5, MEMBERS[:3], MEMBERS[3:])
        self.assertFalse(self.outage.holds())
        self.run_for(2, MEMBERS)
        self.assertTrue(self.outage.holds())

    def test_too_late(self):
        """A confirmation that comes late counts for nothing.

        Another entry may have taken over in the meantime.
        """
        self.run_for(CONFIRM_S, MEMBERS[:5])
        self.run_for(4, MEMBERS)
        self.assertFalse(self.outage.holds())

    def test_frozen(self):
        """An entry that was suspended during the outage counts no longer."""
        self.run_for(4, MEMBERS)
        self.clock.advance(CONFIRM_GAP_S + 0.01)
        self.assertFalse(self.outage.holds())
        self.run_for(4, MEMBERS)
        self.assertFalse(self.outage.holds())

    def test_end(self):
        """When the store is back there is time to renew the lease."""
        self.run_for(4, MEMBERS)
        self.step(MEMBERS[:8], MEMBERS[8:])
        self.assertTrue(self.outage.holds())
        self.run_for(RECOVERY_S - STEP_S, MEMBERS[:1], MEMBERS[1:])
        self.assertTrue(self.outage.holds())
        self.step(MEMBERS[:1], MEMBERS[1:])
        self.assertFalse(self.outage.holds())

    def test_renewed(self):
        """A renewal ends the outage, and the next one begins anew."""
        self.run_for(4, MEMBERS)
        self.renewed_at = self.clock.now
        self.run_for(2, ())
        self.assertFalse(self.outage.holds())
        self.renewed_at = self.clock.now
        self.run_for(3, MEMBERS)
        self.assertTrue(self.outage.holds())

    def test_reports_are_bounded(self):
        """Only current reports are passed on."""
        self.run_for(4, MEMBERS)
        self.assertEqual(len(MEMBERS), len(self.outage.reports()))
        self.clock.advance(5)
        self.assertEqual([], self.outage.reports())
