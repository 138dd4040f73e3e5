"""Requests with a limit at an entry that has just started.

It takes requests as soon as it can place them, and may not know who counts
limits then.
"""

import unittest
from unittest import mock

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.organisations.limit_messages import LimitResponse
from cactusridge.organisations.organisation import RateLimit
from cactusridge.organisations.owner_limiter import START_S, OwnerLimiter

OWN = 'own:1'


class TestStart(unittest.TestCase):
    """A process that reads the list of members some time after its start."""

    def setUp(self):
        """Start a process; each pause of a request advances the clock."""
        self.clock = ManualClock()
        self.owners = mock.Mock()
        client = mock.Mock()
        client.pause.side_effect = self.clock.advance
        counter = mock.Mock()
        counter.count.return_value = LimitResponse(counted=True)
        self.limiter = OwnerLimiter(
            OWN, self.owners, counter, client, self.clock
        )

    def read_at(self, at_s):
        """Let the process read the list at a time of the clock."""
        self.owners.ranked_entries.side_effect = lambda name: (
            [OWN] if self.clock.now >= at_s else []
        )

    @params(0, 0.3, START_S - 0.1)
    def test_waits(self, read_at_s):
        """A request waits until the list is read and is counted then."""
        self.read_at(read_at_s)
        self.assertEqual(0, self.limiter.take('o', RateLimit(1, 1), 1))
        self.assertLess(self.clock.now, read_at_s + 0.1)

    def test_store_is_away(self):
        """A second after the start no request waits any longer."""
        self.read_at(9)
        for _ in range(2):
            with self.assertRaises(LimitUnavailable):
                self.limiter.take('o', RateLimit(1, 1), 1)
            self.assertLess(self.clock.now, START_S + 0.1)
