"""Unreadable settings rows leave the last good settings in force."""

import random
import unittest
from unittest import mock

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.errors import CactusridgeError, OutcomeUnknown
from cactusridge.settings import store as store_module
from cactusridge.settings.follower import PeerSource, SettingsFollower
from cactusridge.settings.store import SettingsStore
from cactusridge.settings.tree import SettingsTree
from cactusridge.store.table import WriteUnknown
from tests.spoilt_table import SpoiltTable, corruptions

HEAD = 'settings/head'
PATH, OTHER = '/teams/t', '/teams/u'
RAW = {'share': 2.0}
CHANGE = {
    'version': 2,
    'path': PATH,
    'raw': {'share': 3.0},
    'who': 'w',
    'when': 0.5,
    'write_id': 'w',
}
OPTIONAL = ('raw', 'who', 'when', 'write_id')
MISFITS = (
    ('unknown field', {**CHANGE, 'raw': {'odd': 1}}),
    ('out of range', {**CHANGE, 'raw': {'share': -1}}),
    ('no path', {**CHANGE, 'path': '/nowhere'}),
    ('another path', {**CHANGE, 'path': OTHER, 'version': 9}),
)


class NoPeer(PeerSource):
    """A peer source that has no newer settings."""

    def changes_after(self, version):
        """Return None."""


class TestSpoiltTree(unittest.TestCase):
    """A settings tree follows a table whose rows become unreadable."""

    def setUp(self):
        """Store one node, load it into the tree, and disable the backoff."""
        self.table = SpoiltTable()
        clock, rng = ManualClock(), random.Random(1)
        self.store = SettingsStore(self.table, clock, rng)
        self.tree = SettingsTree()
        self.follower = SettingsFollower(self.tree, self.store, NoPeer())
        self.store.put(PATH, RAW, 0, 'w')
        self.follower.step()
        for name in ('FIRST_BACKOFF_S', 'MAX_BACKOFF_S'):
            patch = mock.patch.object(store_module, name, 0)
            patch.start()
            self.addCleanup(patch.stop)

    def check_refused(self, act):
        """Check that ``act`` raises unreadable_record and writes nothing."""
        before = self.table.store.version
        with self.assertRaises(CactusridgeError) as caught:
            act()
        self.assertEqual('unreadable_record', caught.exception.code)
        self.assertEqual(before, self.table.store.version)

    @params(*corruptions({'version': 1}))
    def test_head(self, name, value):
        """With an unreadable head, the tree stays and writes are refused.

        A write that took the head as absent would restart at version 1.
        """
        self.table.corrupt(HEAD, value)
        self.follower.step()
        self.assertEqual(RAW, self.tree.raw(PATH))
        self.check_refused(lambda: self.store.put(OTHER, RAW, 0, 'w'))

    @params(*corruptions(CHANGE, OPTIONAL), *MISFITS)
    def test_history(self, name, value):
        """An unreadable change in the history does not block later ones."""
        self.store.put(PATH, {'share': 3.0}, 1, 'w')
        self.store.put(OTHER, RAW, 0, 'w')
        self.table.corrupt('settings/history/000000000002', value)
        self.follower.step()
        self.assertEqual(3, self.tree.version)
        self.assertEqual(RAW, self.tree.raw(OTHER))
        self.assertEqual({'share': 3.0}, self.tree.raw(PATH))

    @params(*corruptions(CHANGE, OPTIONAL), *MISFITS)
    def test_node(self, name, value):
        """An unreadable node keeps its last good settings in the tree."""
        self.store.put(OTHER, RAW, 0, 'w')
        self.table.corrupt('settings/history/000000000002', {'odd': 1})
        self.table.corrupt(f'settings/node{PATH}', value)
        self.follower.step()
        self.assertEqual(2, self.tree.version)
        self.assertEqual(RAW, self.tree.raw(PATH))
        self.assertEqual(RAW, self.tree.raw(OTHER))
        self.check_refused(lambda: self.store.read(PATH))
        self.check_refused(lambda: self.store.put(PATH, RAW, 0, 'w'))

    def test_spoilt_after_a_lost_answer(self):
        """The outcome is unknown if the head is unreadable after a write.

        The write takes effect, its response is lost, and the head row
        becomes unreadable before the retry.
        """
        transact = self.table.transact

        def spoiling(*call):
            transact(*call)
            self.table.corrupt(HEAD)
            raise WriteUnknown

        self.table.transact = spoiling
        with self.assertRaises(OutcomeUnknown):
            self.store.put(OTHER, RAW, 0, 'w')

    def test_listener(self):
        """A follower that raises does not stop calls to other followers."""
        notified = []

        def failing(path):
            raise KeyError(path)

        self.tree.follow(failing)
        self.tree.follow(notified.append)
        notified.clear()
        self.store.put(OTHER, RAW, 0, 'w')
        self.follower.step()
        self.assertEqual([OTHER], notified)
