"""Until when an entry goes by the keys that it knows."""

import unittest

import gevent
from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.organisations.directory import Directory, Holder
from cactusridge.organisations.errors import KeysUnsure, UnknownKey
from cactusridge.organisations.key_check import KeyCheck
from cactusridge.organisations.key_lease import DEAF_S, MARGIN_S, KeyLease
from cactusridge.organisations.key_source import KeysConfirmed, KeySource
from cactusridge.organisations.keys import bearer_key, key_digest
from cactusridge.organisations.organisation import Organisation
from cactusridge.peers.key_questions import KeyQuestions
from cactusridge.peers.loads import LoadTable
from cactusridge.platform.operator import KEY, CatalogHolder
from cactusridge.store.table import Row
from tests.sent_wire import Wire

LASTS_S = 5.0
ONE = Organisation('one')
DIRECTORY = Directory([Holder(ONE, (key_digest('k1'),))])
SOUND = {'version': 3, 'tenants': [{'name': 'one', 'api_keys': ['k1']}]}


class TestKeyLease(unittest.TestCase):
    """It is renewed by the store alone, and from the begin of a reading."""

    def setUp(self):
        """Begin without any reading."""
        self.clock = ManualClock(50)
        self.lease = KeyLease(self.clock, LASTS_S)

    def test_nothing_read(self):
        """A watch alone says nothing."""
        self.lease.quiet(50)
        self.assertFalse(self.lease.valid)

    @params((4.7, True), (4.9, False))
    def test_counts_from_the_begin(self, after_s, valid):
        """A reading that took long vouches for what was at its begin."""
        self.clock.advance(after_s)
        self.lease.read(50)
        self.assertEqual(valid, self.lease.valid)

    @params((4.7 - DEAF_S, True), (4.9 - DEAF_S, False))
    def test_quiet_watch(self, after_s, valid):
        """It may have been deaf for a while."""
        self.lease.read(40)
        self.lease.quiet(50)
        self.clock.advance(after_s)
        self.assertEqual(valid, self.lease.valid)

    def test_never_younger(self):
        """An older reading that comes late changes nothing."""
        self.lease.read(50)
        self.lease.read(45)
        self.clock.advance(LASTS_S - MARGIN_S - 0.01)
        self.assertTrue(self.lease.valid)

    def test_without_a_bound(self):
        """What was read once holds."""
        lease = KeyLease(self.clock, None)
        self.assertFalse(lease.valid)
        lease.read(50)
        self.clock.advance(1e6)
        self.assertTrue(lease.valid)


class TestKeyCheck(unittest.TestCase):
    """Whose key it is, and what is said where that is not known."""

    def setUp(self):
        """Know one organisation."""
        self.clock = ManualClock(50)
        self.behind = False
        lease = KeyLease(self.clock, LASTS_S)
        lease.read(50)
        self.check = KeyCheck(lease, lambda: self.behind)

    def found(self, authorization):
        """Return whose key it is."""
        return self.check.holder(DIRECTORY, authorization).organisation

    @params('Bearer k1', 'bearer  k1 ', 'BEARER k1')
    def test_known(self, authorization):
        """The scheme is in any case."""
        self.assertEqual(ONE, self.found(authorization))

    @params('', 'Bearer', 'Bearer ', 'k1', 'Basic k1', 'Bearer k2', 'Bearer K1')
    def test_unknown(self, authorization):
        """Anything else is told at once."""
        with self.assertRaises(UnknownKey):
            self.found(authorization)

    def test_maybe_new(self):
        """An entry that hears nothing does not call a key unknown."""
        self.behind = True
        with self.assertRaises(KeysUnsure):
            self.found('Bearer k2')

    def test_lapsed(self):
        """Known keys open nothing once they may have been taken."""
        self.clock.advance(LASTS_S)
        with self.assertRaises(KeysUnsure):
            self.found('Bearer k1')

    def test_without_a_key(self):
        """No lease is needed to refuse who has no key."""
        self.clock.advance(LASTS_S)
        with self.assertRaises(UnknownKey):
            self.found('')


class TestHeldConfiguration(unittest.TestCase):
    """What the holder of the configuration keeps, and when it renews."""

    def setUp(self):
        """Hold one that can be read."""
        self.clock = ManualClock(50)
        self.lease = KeyLease(self.clock, LASTS_S)
        self.holder = CatalogHolder(self.lease)
        self.holder.put(Row(KEY, SOUND, 7))
        self.holder.confirmed(50, whole=True)

    def test_no_key_is_kept(self):
        """What peers are told has digests only."""
        self.assertNotIn('k1', str(self.holder.raw))
        peer = CatalogHolder(KeyLease(self.clock, None))
        peer.take(self.holder.raw)
        found = peer.catalog.organisations.by_digest(key_digest('k1'))
        self.assertEqual(ONE, found)

    def test_unreadable_row(self):
        """It may have taken keys: nothing is renewed while it stands."""
        self.clock.advance(3)
        self.holder.put(Row(KEY, {'version': 'x'}, 8))
        self.holder.confirmed(53, whole=True)
        self.clock.advance(2)
        self.assertFalse(self.lease.valid)
        self.holder.put(Row(KEY, {**SOUND, 'version': 4}, 9))
        self.holder.confirmed(55, whole=True)
        self.assertTrue(self.lease.valid)

    def test_from_a_peer(self):
        """A peer's copy renews nothing."""
        self.clock.advance(LASTS_S)
        self.holder.take({**SOUND, 'version': 5}, 'peer', 5)
        self.assertEqual(5, self.holder.catalog.version)
        self.assertFalse(self.lease.valid)

    def test_no_organisations(self):
        """A configuration without them asks nobody for a key."""
        self.holder.put(Row(KEY, {'version': 9}, 10))
        self.assertIsNone(self.holder.catalog.organisations)


class Known(KeySource):
    """What an entry knows of keys."""

    def __init__(self, found):
        """Tell ``found``."""
        self.found = found

    def confirmed(self):
        """Return what is known."""
        return self.found


class TestKeyQuestions(unittest.TestCase):
    """What a peer has confirmed, and how old that is here."""

    def asked(self, known, way_s, back_s):
        """Return an answer after the ways there and back, in seconds."""
        clock = ManualClock(50)
        loads = LoadTable(clock)
        loads.set_peer_loads('127.0.0.1:9', {})
        here, there = Wire(), Wire()
        asker = KeyQuestions(here, loads, Known(None), clock)
        KeyQuestions(there, loads, Known(known), clock)
        answer = gevent.spawn(asker.ask)
        gevent.sleep(0)
        clock.advance(way_s)
        here.pass_on(there)
        clock.advance(back_s)
        there.pass_on(here)
        return answer.get()

    @params((0, 0, 48), (1, 0, 47), (0, 3, 48), (1, 3, 47))
    def test_never_younger(self, way_s, back_s, at):
        """Whatever the ways take, also before it is read here."""
        found = self.asked(KeysConfirmed(7, 48), way_s, back_s)
        self.assertEqual(KeysConfirmed(7, at), found)

    def test_no_answer(self):
        """A peer that is silent is waited for no longer than a moment."""
        clock = ManualClock(50)
        loads = LoadTable(clock)
        loads.set_peer_loads('127.0.0.1:9', {})
        asker = KeyQuestions(Wire(), loads, Known(None), clock)
        self.assertIsNone(asker.ask())

    def test_nothing_to_tell(self):
        """A peer that may not go by its keys says nothing."""
        self.assertIsNone(self.asked(None, 0, 0))


class TestBearerKey(unittest.TestCase):
    """The header by itself."""

    @params(('Bearer a b', 'a b'), ('Bearer\ta', None), ('', None))
    def test_key(self, authorization, key):
        """A scheme, a space and the key."""
        self.assertEqual(key, bearer_key(authorization))
