"""A limit that a configuration lowers and raises again."""

import unittest

from nose2.tools import params

from cactusridge.organisations.organisation import RateLimit
from cactusridge.organisations.token_bucket import TokenBucket

USUAL = RateLimit(20, 20)
LOW = RateLimit(0.01, 1)


class TestChangedLimit(unittest.TestCase):
    """A bucket of an organisation that stays within its usual limit."""

    @params(1, 5, 50)
    def test_told_by_the_limit_in_force(self, refused):
        """After a raise callers aren't told the waits of the lower limit."""
        bucket = TokenBucket(USUAL, 20, 0)
        bucket.change(LOW, 1)
        for _ in range(refused + 1):
            bucket.take(1)
        bucket.change(USUAL, 2)
        waits = [bucket.take(2) for _ in range(3)]
        self.assertLessEqual(waits[0], 1 / USUAL.rate_per_s)
        self.assertLessEqual(waits[-1], 3 / USUAL.rate_per_s)

    def test_refused_stay_in_turn(self):
        """After a cut callers are told to return one after the other."""
        bucket = TokenBucket(USUAL, 0, 0)
        for _ in range(5):
            bucket.take(0)
        bucket.change(RateLimit(2, 2), 0)
        waits = [bucket.take(0) for _ in range(3)]
        for earlier, later in zip(waits, waits[1:], strict=False):
            self.assertGreaterEqual(later - earlier, 0.5 - 1e-9)
