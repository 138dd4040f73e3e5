"""Tests of the adaptive timeout for replies of the store."""

import unittest

from nose2.tools import params

from cactusridge.store.reply_timeout import ReplyTimeout

LEAST_S = 0.25
MOST_S = 1.0
USUAL_S = 0.004


class TestReplyTimeout(unittest.TestCase):
    """The timeout is short for a fast store and longer for a slow one."""

    def setUp(self):
        """Record one reply with the usual time."""
        self.timeout = ReplyTimeout(LEAST_S, MOST_S)
        self.timeout.record_reply(USUAL_S)

    def test_lost_answer(self):
        """A lost reply doubles the timeout; ten replies reset it."""
        self.assertEqual(LEAST_S, self.timeout.seconds)
        self.timeout.record_timeout()
        self.assertEqual(LEAST_S * 2, self.timeout.seconds)
        for _ in range(10):
            self.timeout.record_reply(USUAL_S)
        self.assertEqual(LEAST_S, self.timeout.seconds)

    @params(0.2, 0.4, 0.9)
    def test_slow_store(self, takes_s):
        """The timeout exceeds a slow store's reply time after a few calls."""
        lost = self.lost_calls(takes_s, 3)
        self.assertLess(lost, 3)
        self.assertEqual(0, self.lost_calls(takes_s, 20))

    def test_never_longer_than_allowed(self):
        """The timeout never exceeds its maximum."""
        for _ in range(10):
            self.timeout.record_timeout()
        self.assertEqual(MOST_S, self.timeout.seconds)

    @params(0.1, 3.0)
    def test_fixed(self, took_s):
        """With equal minimum and maximum the timeout is constant."""
        fixed = ReplyTimeout(MOST_S, MOST_S)
        fixed.record_reply(took_s)
        self.assertEqual(MOST_S, fixed.seconds)

    def lost_calls(self, takes_s, count):
        """Return how many of ``count`` calls time out."""
        lost = 0
        for _ in range(count):
            if takes_s > self.timeout.seconds:
                self.timeout.record_timeout()
                lost += 1
            else:
                self.timeout.record_reply(takes_s)
        return lost
