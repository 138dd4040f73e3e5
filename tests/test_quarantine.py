"""Which requests are held back, by the replicas that crashed under them."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.errors import Quarantined
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
from cactusridge.quarantine.suspects import Suspects

QUEUED, BEGUN, ANSWERING = Stage.queued, Stage.begun, Stage.answering
REQUEST = ('10.0.0.1', 'POST', 'h', '/p', b'b')


def strike(fingerprint: str, life: str, stage: Stage = BEGUN) -> Strike:
    """Return a strike noted at 0 s."""
    return Strike(fingerprint, life, stage, 0)


class Told(StrikeListener):
    """Keeps what it is told."""

    def __init__(self) -> None:
        """Be told nothing yet."""
        self.strikes = []
        self.pairs = []

    def publish_strikes(self, strikes) -> None:
        """Keep the strikes against a request."""
        self.strikes.append([each.pair for each in strikes])

    def publish_withdrawals(self, pairs) -> None:
        """Keep strikes that are taken back."""
        self.pairs.extend(pairs)


class TestFingerprint(unittest.TestCase):
    """Which requests are the same one."""

    def test_repeat(self):
        """The same path, caller and body."""
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
        """Whatever differs, also where the whole text is the same."""
        self.assertNotEqual(fingerprint_of(*REQUEST), fingerprint_of(*request))


class TestRule(unittest.TestCase):
    """Strikes as (fingerprint, lives, stage), and who is held back."""

    @params(
        ((('a', '12', BEGUN),), ''),
        ((('a', '123', BEGUN),), 'a'),
        ((('a', '12345', ANSWERING),), ''),
        ((('a', '123456', ANSWERING),), 'a'),
        ((('a', '12345', QUEUED),), ''),
        ((('a', '12', BEGUN), ('a', '34', ANSWERING)), 'a'),
        # Whoever shared the replicas of a certain cause.
        ((('a', '123456', BEGUN), ('b', '123456', ANSWERING)), 'a'),
        ((('a', '123', BEGUN), ('b', '123456', ANSWERING)), 'a'),
        ((('a', '123', BEGUN), ('b', '12', BEGUN), ('b', '3', QUEUED)), 'a'),
        # Two causes at once.
        ((('a', '123', BEGUN), ('b', '456', BEGUN)), 'ab'),
        ((('a', '123', BEGUN), ('b', '345', BEGUN)), 'ab'),
        ((('a', '123', BEGUN), ('b', '3456789', ANSWERING)), 'ab'),
    )
    def test_held(self, noted, wanted):
        """By crashes, and by the naive rule nobody."""
        strikes = {}
        for fingerprint, lives, stage in noted:
            found = strikes.setdefault(fingerprint, {})
            found |= {life: strike(fingerprint, life, stage) for life in lives}
        self.assertEqual(frozenset(wanted), ByCrashes().quarantined(strikes))
        self.assertEqual(frozenset(), NoQuarantine().quarantined(strikes))


class TestBook(unittest.TestCase):
    """Strikes as they are heard."""

    def setUp(self):
        """Know nothing."""
        self.clock = ManualClock()
        self.book = StrikeBook(ByCrashes(), self.clock)

    def add(self, lives: str, fingerprint: str = 'a') -> list[bool]:
        """Add strikes; return which are new."""
        return [self.book.add(strike(fingerprint, life)) for life in lives]

    def test_same_life_counts_once(self):
        """However often it is heard of."""
        self.assertEqual([True, False, True], self.add('112'))
        self.assertEqual(frozenset(), self.book.quarantined())

    def test_withdrawn_stays_so(self):
        """A peer that tells of it again does not bring it back."""
        self.add('123')
        self.assertEqual(frozenset('a'), self.book.quarantined())
        self.book.withdraw([('a', '1'), ('a', '9')])
        self.assertEqual(frozenset(), self.book.quarantined())
        self.assertEqual([False, False], self.add('19'))

    def test_old_ones_count_no_more(self):
        """A request is held back until its strikes are over."""
        self.add('123')
        self.assertEqual(STRIKE_LIFETIME_S, self.book.min_remaining_s('a'))
        self.clock.advance(STRIKE_LIFETIME_S - 1)
        self.assertEqual(frozenset('a'), self.book.quarantined())
        self.clock.advance(1)
        self.assertEqual(frozenset(), self.book.quarantined())
        self.assertEqual([False], self.add('4'))

    def test_bounded(self):
        """The oldest go first."""
        for number in range(MAX_REQUESTS + 1):
            self.add('1', f'f{number}')
        self.assertEqual([], self.book.strikes('f0'))
        self.assertEqual(1, len(self.book.strikes('f1')))


class TestSuspects(unittest.TestCase):
    """What one entry sees and passes on."""

    def setUp(self):
        """Have a listener."""
        self.clock = ManualClock()
        self.suspects = Suspects(ByCrashes(), self.clock)
        self.told = Told()
        self.suspects.pass_on(self.told)

    def crash(self, lives: str, fingerprint: str = 'a') -> None:
        """Let replicas break off under a request, a second apart."""
        for life in lives:
            self.clock.advance(1)
            self.suspects.crashed(fingerprint, life, BEGUN)

    def test_refusal(self):
        """Held back after three crashes; the refusal promises no run."""
        self.crash('12')
        self.suspects.check('a')
        self.crash('3')
        with self.assertRaises(Quarantined) as caught:
            self.suspects.check('a')
        self.assertTrue(caught.exception.not_run)
        self.assertGreater(caught.exception.retry_after_s, 3000)
        self.suspects.check('b')

    def test_each_strike_is_told_with_those_before(self):
        """So that a lost datagram costs nothing for long."""
        self.crash('12')
        wanted = [[('a', '1')], [('a', '1'), ('a', '2')]]
        self.assertEqual(wanted, self.told.strikes)

    def test_heard_strikes_are_not_told_again(self):
        """A peer's strikes count and go no further."""
        self.suspects.add_strikes([strike('a', life) for life in '123'])
        self.assertTrue(self.suspects.is_held('a'))
        self.assertEqual([], self.told.strikes)

    @params(
        (2.9, 0.5, True),
        (3.1, 0.5, False),
        (3.1, MIN_RESTART_S, True),
    )
    def test_replica_that_answers_has_not_crashed(self, sent_at, later, held):
        """Unless it was asked before, or may have come back since."""
        self.crash('123')
        self.clock.advance(later)
        self.suspects.answered('3', sent_at)
        self.assertEqual(held, self.suspects.is_held('a'))
        self.assertEqual([] if held else [('a', '3')], self.told.pairs)

    def test_request_that_was_run_to_its_end(self):
        """It is no cause of what broke off before."""
        self.crash('123')
        self.crash('456', 'b')
        self.suspects.survived('a')
        self.assertFalse(self.suspects.is_held('a'))
        self.assertTrue(self.suspects.is_held('b'))
        self.assertEqual([('a', life) for life in '123'], self.told.pairs)
