"""The cached addresses of the listed entries."""

import unittest
from types import SimpleNamespace

from cactusridge.platform.peer_list import PeerList


class TestPeerList(unittest.TestCase):
    """Messages about requests must not cost time in proportion to the fleet."""

    def setUp(self):
        """List one entry; count how often the members are computed."""
        self.calls = 0
        self.names = ['10.0.0.1']
        self.session = SimpleNamespace(reads=0, members=self.members)
        self.peers = PeerList(self.session)

    def members(self):
        """Return the listed members."""
        self.calls += 1
        return [SimpleNamespace(host=name, port=7) for name in self.names]

    def test_once_a_read(self):
        """The members are computed once for each read of the list."""
        for _ in range(50):
            self.assertEqual({('10.0.0.1', 7)}, self.peers.targets())
        self.assertEqual(1, self.calls)

    def test_joined(self):
        """An entry that has joined is in the list from the next read on."""
        self.peers.targets()
        self.names.append('10.0.0.2')
        self.session.reads += 1
        self.assertEqual(
            {('10.0.0.1', 7), ('10.0.0.2', 7)}, self.peers.targets()
        )
