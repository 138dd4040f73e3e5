"""When a job is refused without asking the store."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.errors import StoreUnavailable
from cactusridge.jobs.intake import (
    OUTAGE_RETRY_S,
    PEER_REPORT_VALID_S,
    PEER_RETRY_S,
    Intake,
)


class TestIntake(unittest.TestCase):
    """What a caller is told while this entry counts the store as lost."""

    def setUp(self):
        """Start with the store lost and no word of a peer."""
        self.lost = True
        self.clock = ManualClock()
        self.intake = Intake(lambda: self.lost, self.clock)

    def test_open_while_the_store_answers(self):
        """With the store there is nothing to refuse."""
        self.lost = False
        self.intake.check('job')

    @params(
        # Whether the store is lost here, whether a peer has it, how long
        # ago it said so, and whether callers had better go elsewhere.
        (True, True, 0, True),
        (True, True, PEER_REPORT_VALID_S * 2, False),
        (True, False, 0, False),
        (False, True, 0, False),
    )
    def test_better_elsewhere(self, lost, has_store, age_s, elsewhere):
        """Only while a peer has the store; nobody leaves for an outage."""
        self.lost = lost
        self.intake.heard(has_store)
        self.clock.advance(age_s)
        self.assertEqual(elsewhere, self.intake.better_elsewhere())

    @params(
        # Peers that have the store, how long ago they said so, and when
        # the caller is to come back.
        (True, 0, PEER_RETRY_S),
        (True, PEER_REPORT_VALID_S * 2, OUTAGE_RETRY_S),
        (False, 0, OUTAGE_RETRY_S),
    )
    def test_refused_at_once(self, has_store, age_s, retry_s):
        """Soon if another entry can take the job, else later."""
        self.intake.heard(has_store)
        self.clock.advance(age_s)
        with self.assertRaises(StoreUnavailable) as caught:
            self.intake.check('job')
        self.assertEqual(retry_s, caught.exception.retry_after_s)
