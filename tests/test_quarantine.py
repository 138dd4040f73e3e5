"""Tests which requests are quarantined by the crashes they caused."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.errors import Quarantined
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.fingerprint import fingerprint_of
from cactusridge.quarantine.rules import ByCrashes, NoQuarantine
from cactusridge.quarantine.strike import Stage, Strike
from cactusridge.quarantine.strike_book import (
    MAX_REQUESTS,
    MIN_RESTART_S,
    STRIKE_LIFETIME_S,
    StrikeBook,
)
from cactusridge.quarantine.strike_listener import StrikeListener

QUEUED, BEGUN, ANSWERING = Stage.queued, Stage.started, Stage.answering
REQUEST = ('10.0.0.1', 'POST', 'h', '/p', b'b')


def strike(fingerprint: str, incarnation: str, stage: Stage = BEGUN) -> Strike:
    """Return a strike recorded at 0 s."""
    return Strike(fingerprint, incarnation, stage, 0)


class RecordingListener(StrikeListener):
    """Records what it is notified of."""

    def __init__(self) -> None:
        """Create a listener without records."""
        self.strikes = []
        self.pairs = []

    def publish_strikes(self, strikes) -> None:
        """Record the strikes of a request."""
        self.strikes.append([each.pair for each in strikes])

    def publish_withdrawals(self, pairs) -> None:
        """Record withdrawn strikes."""
        self.pairs.extend(pairs)


class TestFingerprint(unittest.TestCase):
    """Which requests have the same fingerprint."""

    def test_repeat(self):
        """A repeat has the same path, caller and body."""
        self.assertEqual(fingerprint_of(*REQUEST), fingerprint_of(*REQUEST))

    @params(
        ('10.0.0.2', 'POST', 'h', '/p', b'b'),
        ('10.0.0.1', 'PUT', 'h', '/p', b'b'),
        ('10.0.0.1', 'POST', 'g', '/p', b'b'),
        ('10.0.0.1', 'POST', 'h', '/p?', b'b'),
        ('10.0.0.1', 'POST', 'h', '/p', b'c'),
        ('10.0.0.1', 'POST', 'h/', 'p', b'b'),
        ('10.0.0.1', 'POST', 'h', '/pb', b''),
    )
    def test_other(self, *request):
        """Requests that differ have different fingerprints.

        This holds even if the concatenation of their parts is the same.
        """
        self.assertNotEqual(fingerprint_of(*REQUEST), fingerprint_of(*request))


class TestRule(unittest.TestCase):
    """Strikes as (fingerprint, incarnations, stage), and the quarantine."""

    @params(
        ((('a', '12', BEGUN),), ''),
        ((('a', '123', BEGUN),), 'a'),
        ((('a', '12345', ANSWERING),), ''),
        ((('a', '123456', ANSWERING),), 'a'),
        ((('a', '12345', QUEUED),), ''),
        ((('a', '12', BEGUN), ('a', '34', ANSWERING)), 'a'),
        # Requests that shared the replicas of a certain cause.
        ((('a', '123456', BEGUN), ('b', '123456', ANSWERING)), 'a'),
        ((('a', '123', BEGUN), ('b', '123456', ANSWERING)), 'a'),
        ((('a', '123', BEGUN), ('b', '12', BEGUN), ('b', '3', QUEUED)), 'a'),
        # Two causes at once.
        ((('a', '123', BEGUN), ('b', '456', BEGUN)), 'ab'),
        ((('a', '123', BEGUN), ('b', '345', BEGUN)), 'ab'),
        ((('a', '123', BEGUN), ('b', '3456789', ANSWERING)), 'ab'),
    )
    def test_held(self, recorded, wanted):
        """Crashes quarantine requests; the naive rule has no quarantine."""
        strikes = {}
        for fingerprint, incarnations, stage in recorded:
            found = strikes.setdefault(fingerprint, {})
            found |= {
                incarnation: strike(fingerprint, incarnation, stage)
                for incarnation in incarnations
            }
        self.assertEqual(frozenset(wanted), ByCrashes().quarantined(strikes))
        self.assertEqual(frozenset(), NoQuarantine().quarantined(strikes))


class TestBook(unittest.TestCase):
    """The book of strikes of one entry."""

    def setUp(self):
        """Create an empty book."""
        self.clock = ManualClock()
        self.book = StrikeBook(ByCrashes(), self.clock)

    def add(self, incarnations: str, fingerprint: str = 'a') -> list[bool]:
        """Add strikes; return for each whether it is new."""
        return [
            self.book.add(strike(fingerprint, incarnation))
            for incarnation in incarnations
        ]

    def test_same_life_counts_once(self):
        """A strike that is added again does not count twice."""
        self.assertEqual([True, False, True], self.add('112'))
        self.assertEqual(frozenset(), self.book.quarantined())

    def test_withdrawn_stays_so(self):
        """A withdrawn strike stays withdrawn when a peer sends it again."""
        self.add('123')
        self.assertEqual(frozenset('a'), self.book.quarantined())
        self.book.withdraw([('a', '1'), ('a', '9')])
        self.assertEqual(frozenset(), self.book.quarantined())
        self.assertEqual([False, False], self.add('19'))

    def test_old_ones_count_no_more(self):
        """A request is quarantined until its strikes expire."""
        self.add('123')
        self.assertEqual(STRIKE_LIFETIME_S, self.book.min_remaining_s('a'))
        self.clock.advance(STRIKE_LIFETIME_S - 1)
        self.assertEqual(frozenset('a'), self.book.quarantined())
        self.clock.advance(1)
        self.assertEqual(frozenset(), self.book.quarantined())
        self.assertEqual([False], self.add('4'))

    def test_bounded(self):
        """The request that was added first is evicted first."""
        for number in range(MAX_REQUESTS + 1):
            self.add('1', f'f{number}')
        self.assertEqual([], self.book.strikes('f0'))
        self.assertEqual(1, len(self.book.strikes('f1')))


class TestSuspects(unittest.TestCase):
    """What one entry records and publishes."""

    def setUp(self):
        """Create an object with a listener."""
        self.clock = ManualClock()
        self.suspects = CrashEvidence(ByCrashes(), self.clock)
        self.listener = RecordingListener()
        self.suspects.add_listener(self.listener)

    def crash(self, incarnations: str, fingerprint: str = 'a') -> None:
        """Record crashes of replicas under a request, one second apart."""
        for incarnation in incarnations:
            self.clock.advance(1)
            self.suspects.crashed(fingerprint, incarnation, BEGUN)

    def test_refusal(self):
        """Three crashes quarantine; the refusal says it did not run."""
        self.crash('12')
        self.suspects.check('a')
        self.crash('3')
        with self.assertRaises(Quarantined) as caught:
            self.suspects.check('a')
        self.assertTrue(caught.exception.not_run)
        self.assertGreater(caught.exception.retry_after_s, 3000)
        self.suspects.check('b')

    def test_each_strike_is_told_with_those_before(self):
        """A new strike is published with the earlier ones of its request.

        This makes up for lost datagrams.
        """
        self.crash('12')
        wanted = [[('a', '1')], [('a', '1'), ('a', '2')]]
        self.assertEqual(wanted, self.listener.strikes)

    def test_heard_strikes_are_not_told_again(self):
        """Strikes of a peer count and are not published again."""
        self.suspects.add_strikes(
            [strike('a', incarnation) for incarnation in '123']
        )
        self.assertTrue(self.suspects.is_quarantined('a'))
        self.assertEqual([], self.listener.strikes)

    @params(
        (2.9, 0.5, True),
        (3.1, 0.5, False),
        (3.1, MIN_RESTART_S, True),
    )
    def test_replica_that_answers_has_not_crashed(self, sent_at, later, held):
        """A response to a request sent after the strike disproves the strike.

        It does not if enough time has passed for the replica to restart.
        """
        self.crash('123')
        self.clock.advance(later)
        self.suspects.answered('3', sent_at)
        self.assertEqual(held, self.suspects.is_quarantined('a'))
        self.assertEqual([] if held else [('a', '3')], self.listener.pairs)

    def test_request_that_was_run_to_its_end(self):
        """A completed request caused none of the crashes recorded before."""
        self.crash('123')
        self.crash('456', 'b')
        self.suspects.record_completion('a')
        self.assertFalse(self.suspects.is_quarantined('a'))
        self.assertTrue(self.suspects.is_quarantined('b'))
        self.assertEqual(
            [('a', incarnation) for incarnation in '123'], self.listener.pairs
        )
