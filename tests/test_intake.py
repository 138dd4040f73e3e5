"""Tests of the rejection of jobs without a call to the store."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.errors import StoreUnavailable
from cactusridge.jobs.job_admission import (
    OUTAGE_RETRY_S,
    PEER_REPORT_VALID_S,
    PEER_RETRY_S,
    JobAdmission,
)
from tests.store_time import store_clock_at


class TestIntake(unittest.TestCase):
    """Responses to callers while this entry cannot reach the store."""

    def setUp(self):
        """Start with an unreachable store and no report of a peer."""
        self.lost = True
        self.clock = ManualClock()
        self.intake = JobAdmission(
            lambda: self.lost, store_clock_at(self.clock), self.clock
        )

    def test_open_while_the_store_answers(self):
        """No job is rejected while the store responds."""
        self.lost = False
        self.intake.check('job')

    @params(
        # Whether the store is unreachable here, whether a peer reports that
        # it reaches the store, the age of the report in seconds, and whether
        # new callers should be sent to another entry.
        (True, True, 0, True),
        (True, True, PEER_REPORT_VALID_S * 2, False),
        (True, False, 0, False),
        (False, True, 0, False),
    )
    def test_better_elsewhere(self, lost, has_store, age_s, elsewhere):
        """Callers are sent elsewhere only while a peer reaches the store.

        During an outage for all entries they stay.
        """
        self.lost = lost
        self.intake.record_peer_report(has_store)
        self.clock.advance(age_s)
        self.assertEqual(elsewhere, self.intake.should_redirect_callers())

    @params(
        # Whether a peer reports that it reaches the store, the age of the
        # report in seconds, and the expected Retry-After in seconds.
        (True, 0, PEER_RETRY_S),
        (True, PEER_REPORT_VALID_S * 2, OUTAGE_RETRY_S),
        (False, 0, OUTAGE_RETRY_S),
    )
    def test_refused_at_once(self, has_store, age_s, retry_s):
        """Retry-After is short only if another entry can accept the job."""
        self.intake.record_peer_report(has_store)
        self.clock.advance(age_s)
        with self.assertRaises(StoreUnavailable) as caught:
            self.intake.check('job')
        self.assertEqual(retry_s, caught.exception.retry_after_s)
