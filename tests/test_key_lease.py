"""How long an entry may use its copy of the API keys."""

import unittest

import gevent
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.organisations.directory import Directory, KeyOwner
from cactusridge.organisations.errors import KeysUnconfirmed, UnknownKey
from cactusridge.organisations.key_check import KeyCheck
from cactusridge.organisations.key_lease import MARGIN_S, WATCH_GAP_S, KeyLease
from cactusridge.organisations.key_source import KeysConfirmed, KeySource
from cactusridge.organisations.keys import bearer_key, key_digest
from cactusridge.organisations.organisation import Organisation
from cactusridge.peers.key_confirmation_requests import KeyConfirmationRequests
from cactusridge.peers.loads import LoadTable
from cactusridge.platform.catalog_holder import KEY, CatalogHolder
from cactusridge.store.table import Row
from tests.sent_wire import Wire

LEASE_DURATION_S = 5.0
ONE = Organisation('one')
DIRECTORY = Directory([KeyOwner(ONE, (key_digest('k1'),))])
SOUND = {'version': 3, 'tenants': [{'name': 'one', 'api_keys': ['k1']}]}


class TestKeyLease(unittest.TestCase):
    """The lease is renewed by reads of the store, from their start time."""

    def setUp(self):
        """Create a lease before any read."""
        self.clock = ManualClock(50)
        self.lease = KeyLease(self.clock, LEASE_DURATION_S)

    def test_nothing_read(self):
        """A response to a watch without an earlier read renews nothing."""
        self.lease.renew_from_watch(50)
        self.assertFalse(self.lease.valid)

    @params((4.7, True), (4.9, False))
    def test_counts_from_the_begin(self, after_s, valid):
        """A slow read renews the lease from the time at which it started."""
        self.clock.advance(after_s)
        self.lease.renew(50)
        self.assertEqual(valid, self.lease.valid)

    @params((4.7 - WATCH_GAP_S, True), (4.9 - WATCH_GAP_S, False))
    def test_quiet_watch(self, after_s, valid):
        """A response to a watch renews the lease less WATCH_GAP_S."""
        self.lease.renew(40)
        self.lease.renew_from_watch(50)
        self.clock.advance(after_s)
        self.assertEqual(valid, self.lease.valid)

    def test_never_younger(self):
        """A read that started earlier than the last one changes nothing."""
        self.lease.renew(50)
        self.lease.renew(45)
        self.clock.advance(LEASE_DURATION_S - MARGIN_S - 0.01)
        self.assertTrue(self.lease.valid)

    def test_without_a_bound(self):
        """A lease without a duration never expires after the first read."""
        lease = KeyLease(self.clock, None)
        self.assertFalse(lease.valid)
        lease.renew(50)
        self.clock.advance(1e6)
        self.assertTrue(lease.valid)


class TestKeyCheck(unittest.TestCase):
    """Authentication by key, and the errors for missing or unknown keys."""

    def setUp(self):
        """Create a check with a valid lease."""
        self.clock = ManualClock(50)
        self.behind = False
        lease = KeyLease(self.clock, LEASE_DURATION_S)
        lease.renew(50)
        self.check = KeyCheck(lease, lambda: self.behind)

    def found(self, authorization):
        """Return the organisation of the key in ``authorization``."""
        return self.check.holder(DIRECTORY, authorization).organisation

    @params('Bearer k1', 'bearer  k1 ', 'BEARER k1')
    def test_known(self, authorization):
        """The scheme is matched in any case."""
        self.assertEqual(ONE, self.found(authorization))

    @params('', 'Bearer', 'Bearer ', 'k1', 'Basic k1', 'Bearer k2', 'Bearer K1')
    def test_unknown(self, authorization):
        """Missing and unknown keys raise UnknownKey."""
        with self.assertRaises(UnknownKey):
            self.found(authorization)

    def test_maybe_new(self):
        """An unknown key raises KeysUnconfirmed if the catalog may be stale."""
        self.behind = True
        with self.assertRaises(KeysUnconfirmed):
            self.found('Bearer k2')

    def test_lapsed(self):
        """A known key raises KeysUnconfirmed after the lease has expired."""
        self.clock.advance(LEASE_DURATION_S)
        with self.assertRaises(KeysUnconfirmed):
            self.found('Bearer k1')

    def test_without_a_key(self):
        """A missing key raises UnknownKey even without a valid lease."""
        self.clock.advance(LEASE_DURATION_S)
        with self.assertRaises(UnknownKey):
            self.found('')


class TestHeldConfiguration(unittest.TestCase):
    """What the holder of the catalog stores and when it renews the lease."""

    def setUp(self):
        """Store a readable catalog."""
        self.clock = ManualClock(50)
        self.lease = KeyLease(self.clock, LEASE_DURATION_S)
        self.holder = CatalogHolder(self.lease)
        self.holder.put(Row(KEY, SOUND, 7))
        self.holder.up_to_date(50, whole=True)

    def test_no_key_is_kept(self):
        """The catalog sent to peers contains digests instead of keys."""
        self.assertNotIn('k1', str(self.holder.raw))
        peer = CatalogHolder(KeyLease(self.clock, None))
        peer.apply(self.holder.raw)
        found = peer.catalog.organisations.by_digest(key_digest('k1'))
        self.assertEqual(ONE, found)

    def test_unreadable_row(self):
        """An unreadable row may revoke keys, so it stops all renewals."""
        self.clock.advance(3)
        self.holder.put(Row(KEY, {'version': 'x'}, 8))
        self.holder.up_to_date(53, whole=True)
        self.clock.advance(2)
        self.assertFalse(self.lease.valid)
        self.holder.put(Row(KEY, {**SOUND, 'version': 4}, 9))
        self.holder.up_to_date(55, whole=True)
        self.assertTrue(self.lease.valid)

    def test_from_a_peer(self):
        """A catalog received from a peer does not renew the lease."""
        self.clock.advance(LEASE_DURATION_S)
        self.holder.apply({**SOUND, 'version': 5}, 'peer', 5)
        self.assertEqual(5, self.holder.catalog.version)
        self.assertFalse(self.lease.valid)

    def test_no_organisations(self):
        """A catalog without organisations requires no keys."""
        self.holder.put(Row(KEY, {'version': 9}, 10))
        self.assertIsNone(self.holder.catalog.organisations)


class FixedKeySource(KeySource):
    """Key source with a fixed confirmation."""

    def __init__(self, found):
        """Return ``found`` as the confirmation."""
        self.found = found

    def confirmation(self):
        """Return the fixed confirmation."""
        return self.found


class TestKeyQuestions(unittest.TestCase):
    """Confirmations received from peers, and their age at the receiver."""

    def confirmation_from(self, known, way_s, back_s):
        """Return the response after delays of both datagrams, in seconds."""
        clock = ManualClock(50)
        loads = LoadTable(clock)
        loads.set_peer_loads('127.0.0.1:9', {})
        here, there = Wire(), Wire()
        asker = KeyConfirmationRequests(
            here, loads, FixedKeySource(None), clock
        )
        KeyConfirmationRequests(there, loads, FixedKeySource(known), clock)
        answer = gevent.spawn(asker.request)
        gevent.sleep(0)
        clock.advance(way_s)
        here.pass_on(there)
        clock.advance(back_s)
        there.pass_on(here)
        return answer.get()

    @params((0, 0, 48), (1, 0, 47), (0, 3, 48), (1, 3, 47))
    def test_never_younger(self, way_s, back_s, at):
        """Datagram delays never make a confirmation appear younger."""
        found = self.confirmation_from(KeysConfirmed(7, 48), way_s, back_s)
        self.assertEqual(KeysConfirmed(7, at), found)

    def test_no_answer(self):
        """A request to a peer that does not respond returns None."""
        clock = ManualClock(50)
        loads = LoadTable(clock)
        loads.set_peer_loads('127.0.0.1:9', {})
        asker = KeyConfirmationRequests(
            Wire(), loads, FixedKeySource(None), clock
        )
        self.assertIsNone(asker.request())

    def test_nothing_to_tell(self):
        """A peer without a valid lease sends no confirmation."""
        self.assertIsNone(self.confirmation_from(None, 0, 0))


class TestBearerKey(unittest.TestCase):
    """Parsing of the Authorization header."""

    @params(('Bearer a b', 'a b'), ('Bearer\ta', None), ('', None))
    def test_key(self, authorization, key):
        """A header consists of the scheme, a space and the key."""
        self.assertEqual(key, bearer_key(authorization))
