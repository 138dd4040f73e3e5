"""Settings rows that cannot be read leave the last good settings."""

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
from tests.spoilt_table import SpoiltTable, spoilings

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
    """Knows nothing newer."""

    def changes_after(self, version):
        """Return nothing."""


class TestSpoiltTree(unittest.TestCase):
    """A tree that follows a table that others write too."""

    def setUp(self):
        """Set two nodes and follow them."""
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
        """Check that something fails as unreadable and writes nothing."""
        before = self.table.store.version
        with self.assertRaises(CactusridgeError) as caught:
            act()
        self.assertEqual('unreadable_record', caught.exception.code)
        self.assertEqual(before, self.table.store.version)

    @params(*spoilings({'version': 1}))
    def test_head(self, name, value):
        """What is in force stays; nobody begins at version 1 again."""
        self.table.spoil(HEAD, value)
        self.follower.step()
        self.assertEqual(RAW, self.tree.raw(PATH))
        self.check_refused(lambda: self.store.put(OTHER, RAW, 0, 'w'))

    @params(*spoilings(CHANGE, OPTIONAL), *MISFITS)
    def test_history(self, name, value):
        """One change that cannot be read keeps no later one away."""
        self.store.put(PATH, {'share': 3.0}, 1, 'w')
        self.store.put(OTHER, RAW, 0, 'w')
        self.table.spoil('settings/history/000000000002', value)
        self.follower.step()
        self.assertEqual(3, self.tree.version)
        self.assertEqual(RAW, self.tree.raw(OTHER))
        self.assertEqual({'share': 3.0}, self.tree.raw(PATH))

    @params(*spoilings(CHANGE, OPTIONAL), *MISFITS)
    def test_node(self, name, value):
        """A node that cannot be read anew stays as it was."""
        self.store.put(OTHER, RAW, 0, 'w')
        self.table.spoil('settings/history/000000000002', {'odd': 1})
        self.table.spoil(f'settings/node{PATH}', value)
        self.follower.step()
        self.assertEqual(2, self.tree.version)
        self.assertEqual(RAW, self.tree.raw(PATH))
        self.assertEqual(RAW, self.tree.raw(OTHER))
        self.check_refused(lambda: self.store.read(PATH))
        self.check_refused(lambda: self.store.put(PATH, RAW, 0, 'w'))

    def test_spoilt_after_a_lost_answer(self):
        """Whether a change took effect cannot be told any more."""
        transact = self.table.transact

        def spoiling(*call):
            transact(*call)
            self.table.spoil(HEAD)
            raise WriteUnknown

        self.table.transact = spoiling
        with self.assertRaises(OutcomeUnknown):
            self.store.put(OTHER, RAW, 0, 'w')

    def test_listener(self):
        """A listener that fails at a path keeps no other from hearing."""
        heard = []

        def failing(path):
            raise KeyError(path)

        self.tree.follow(failing)
        self.tree.follow(heard.append)
        heard.clear()
        self.store.put(OTHER, RAW, 0, 'w')
        self.follower.step()
        self.assertEqual([OTHER], heard)
