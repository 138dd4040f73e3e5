"""Tests of the adaptive timeout for replies of the store."""

import unittest

from nose2.tools import params

from cactusridge.store.reply_timeout import ReplyTimeout

LEAST_S = 0.25
MOST_S = 1.0
USUAL_S = 0.004


class TestReplyTimeout(unittest.TestCase):
    """Short for a fast store, longer for a slow one."""

    def setUp(self):
        """Start with a store that answers as usual."""
        self.timeout = ReplyTimeout(LEAST_S, MOST_S)
        self.timeout.answered(USUAL_S)

    def test_lost_answer(self):
        """A lost answer is noticed soon, and some answers later again."""
        self.assertEqual(LEAST_S, self.timeout.seconds)
        self.timeout.silent()
        self.assertEqual(LEAST_S * 2, self.timeout.seconds)
        for _ in range(10):
            self.timeout.answered(USUAL_S)
        self.assertEqual(LEAST_S, self.timeout.seconds)

    @params(0.2, 0.4, 0.9)
    def test_slow_store(self, takes_s):
        """A slow store is met within a few calls, and from then on."""
        lost = self.lost_calls(takes_s, 3)
        self.assertLess(lost, 3)
        self.assertEqual(0, self.lost_calls(takes_s, 20))

    def test_never_longer_than_allowed(self):
        """However often it is silent, no call waits for ever."""
        for _ in range(10):
            self.timeout.silent()
        self.assertEqual(MOST_S, self.timeout.seconds)

    @params(0.1, 3.0)
    def test_fixed(self, took_s):
        """With equal bounds the wait is always the same."""
        fixed = ReplyTimeout(MOST_S, MOST_S)
        fixed.answered(took_s)
        self.assertEqual(MOST_S, fixed.seconds)

    def lost_calls(self, takes_s, count):
        """Return how many of ``count`` calls are given up."""
        lost = 0
        for _ in range(count):
            if takes_s > self.timeout.seconds:
                self.timeout.silent()
                lost += 1
            else:
                self.timeout.answered(takes_s)
        return lost
