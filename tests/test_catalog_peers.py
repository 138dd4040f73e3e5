"""An entry fetches a newer configuration from a peer."""

import unittest

import gevent

from cactusridge.clock import ManualClock
from cactusridge.http.app import App, route
from cactusridge.http.server import Server
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.platform.catalog_holder import CatalogHolder
from cactusridge.platform.catalog_peers import CATALOG_PATH, CatalogPeers
from standins.waiting import wait_for

NEWER = {'version': 7, 'routes': [], 'limits': {}}


class CatalogPeersCase(unittest.TestCase):
    """An entry without a configuration and a peer that has one."""

    def setUp(self):
        """Serve the configuration of a peer, which has version 7."""
        holder = CatalogHolder(KeyLease(ManualClock(), None))
        holder.apply(NEWER)
        served = CatalogPeers(holder)
        app = App([route('GET', CATALOG_PATH, served.serve)], 1024, 1)
        self.server = Server(('127.0.0.1', 0), app, 5)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.peer = ('127.0.0.1', self.server.server_port)
        self.holder = CatalogHolder(KeyLease(ManualClock(), None))
        self.catalogs = CatalogPeers(self.holder)


class TestCatalogPeers(CatalogPeersCase):
    """The newest version that a peer announces is fetched from it."""

    def test_newer_is_fetched(self):
        """An entry with an older version gets version 7 from the peer."""
        self.catalogs.on_peer_version(self.peer, 7)
        wait_for('version 7', lambda: self.holder.catalog.version == 7)

    def test_older_is_not(self):
        """An older version is not fetched from a peer."""
        self.holder.apply({**NEWER, 'version': 9})
        self.catalogs.on_peer_version(self.peer, 7)
        gevent.sleep(0.5)
        self.assertEqual(9, self.catalogs.version())
