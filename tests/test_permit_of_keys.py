"""Permits of requests, which are checked before each attempt is sent."""

import unittest

from cactusridge.clock import ManualClock
from cactusridge.organisations.directory import Directory, KeyOwner
from cactusridge.organisations.errors import (
    KeyMoved,
    KeysUnconfirmed,
    OverLimit,
    UnknownKey,
)
from cactusridge.organisations.key_check import KeyCheck, KeyHolder
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.organisations.limiter import FixedShares
from cactusridge.organisations.organisation import Organisation, RateLimit
from cactusridge.organisations.permit import KeyPermit

LEASE_DURATION_S = 5.0
ONE = Organisation('one', None, RateLimit(0.001, 1))


class DelayedShares(FixedShares):
    """Limiter whose calls take time, as if the host were suspended."""

    delay_s = float(0)

    def take(self, name, limit, version):
        """Advance the clock by ``delay_s`` seconds, then take a token."""
        self._clock.advance(self.delay_s)
        return super().take(name, limit, version)


class TestKeyPermit(unittest.TestCase):
    """Permits of an organisation whose limit allows a single request."""

    def setUp(self):
        """Create a directory with the organisation's key."""
        self.clock = ManualClock(50)
        lease = KeyLease(self.clock, LEASE_DURATION_S)
        lease.renew(50)
        self.directory = Directory([KeyOwner(ONE, ('d1',))])
        self.limiter = DelayedShares(lambda: 1, self.clock)
        self.check = KeyCheck(lease, bool)

    def permit(self):
        """Return a permit for one more request."""
        return KeyPermit(
            KeyHolder('d1', ONE),
            lambda: self.directory,
            self.check,
            self.limiter,
            1,
        )

    def test_counted_once(self):
        """A request that is sent several times is counted only once."""
        permit = self.permit()
        for _ in range(3):
            permit.count()
        with self.assertRaises(OverLimit):
            self.permit().count()

    def test_given_back_once(self):
        """A request that is returned several times frees only one token."""
        permit = self.permit()
        permit.count()
        for _ in range(3):
            permit.undo_count()
        self.permit().count()
        with self.assertRaises(OverLimit):
            self.permit().count()

    def test_key_is_taken_between_two_sendings(self):
        """No further attempt is sent after the key has been revoked."""
        permit = self.permit()
        permit.check()
        self.directory = Directory([])
        with self.assertRaises(UnknownKey):
            permit.check()

    def test_key_changes_hands(self):
        """A key reassigned to another organisation fails the old request.

        The key is valid, so the caller is told that it may try again.
        """
        self.directory = Directory([KeyOwner(Organisation('two'), ('d1',))])
        for act in (self.permit().check, self.permit().count):
            with self.assertRaises(KeyMoved) as refused:
                act()
            self.assertEqual(503, refused.exception.status)
            self.assertTrue(refused.exception.not_run)

    def test_lease_ends_between_two_sendings(self):
        """No further attempt is sent after the key lease has expired."""
        permit = self.permit()
        permit.check()
        self.clock.advance(LEASE_DURATION_S)
        with self.assertRaises(KeysUnconfirmed):
            permit.check()

    def test_suspended_while_it_asks(self):
        """The key lease is checked again after the limiter has responded."""
        self.limiter.delay_s = LEASE_DURATION_S
        with self.assertRaises(KeysUnconfirmed):
            self.permit().count()
