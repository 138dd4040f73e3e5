"""An entry that starts while the store is down is configured by its peers.

It waited 0.3 s before it asked the first peer, and for a peer that did not
reply another half second. With a configuration and no replicas it was ready
and refused each request.
"""

import socket
from unittest import mock

import gevent
from nose2.tools import params

from cactusridge.http.client import Address
from cactusridge.platform.catalog_peers import FETCH_DELAY_S, TIMEOUT_S
from standins.waiting import wait_for
from tests.machine_case import MachineCase, request_headers
from tests.test_catalog_peers import NEWER, CatalogPeersCase

# Longest Retry-After of an entry that is still starting, in seconds.
RETRY_BOUND_S = 0.5


class TestFirstFetch(CatalogPeersCase):
    """The first configuration is fetched from a peer without a delay."""

    def configured_after(self, delay_s):
        """Return whether version 7 is in force after ``delay_s`` seconds."""
        gevent.sleep(delay_s)
        return self.holder.catalog.version == 7

    def test_at_once(self):
        """An entry without a configuration does not await the store's feed."""
        with mock.patch.object(gevent, 'sleep') as sleep:
            self.catalogs._fetch(Address(*self.peer), 7)  # noqa: SLF001
        self.assertEqual(7, self.holder.catalog.version)
        sleep.assert_not_called()

    def test_newer_after_a_delay(self):
        """An entry that has a configuration awaits the store's feed first."""
        self.holder.apply({**NEWER, 'version': 5})
        self.catalogs.on_peer_version(self.peer, 7)
        self.assertFalse(self.configured_after(FETCH_DELAY_S / 2))

    def test_silent_peer(self):
        """Another peer is asked while the first one does not reply."""
        silent = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(silent.close)
        self.catalogs.on_peer_version(silent.getsockname(), 7)
        self.catalogs.on_peer_version(self.peer, 7)
        self.assertTrue(self.configured_after(TIMEOUT_S / 2))

    def test_few_at_a_time(self):
        """Each peer is asked once, and three at most at the same time."""
        request = mock.Mock(side_effect=lambda *_: gevent.sleep(1))
        with mock.patch.object(self.catalogs, '_request', request):
            for port in (1, 1, 2, 3, 4, 5):
                self.catalogs.on_peer_version(('127.0.0.1', port), 7)
            gevent.sleep(0.05)
        self.assertEqual(3, request.call_count)


class TestStoreDown(MachineCase):
    """Real entries, one of which restarts while the store is down."""

    def call(self):
        """Call the restarted entry; return status and Retry-After."""
        status, headers, _ = self.site.call(
            'two', 'POST', '/on/', b'1', request_headers('r1')
        )
        return status, float(headers.get('Retry-After', 0))

    def log(self, name='two'):
        """Return the log of an entry, by default of the restarted one."""
        return self.site.entries[name].log.read_text()

    def is_known(self):
        """Return whether the first entry has the second one as a member."""
        lines = self.log('one').splitlines()
        return any('"member_found"' in x and '"two"' in x for x in lines)

    def refusal(self):
        """Return the answer of the restarted entry once it listens."""
        wait_for('it listens', lambda: self.log().count('"listening"') == 2)
        return self.call()

    @params(True, False)
    def test_restart(self, with_peer):
        """The entry refuses briefly, is not ready, and serves with the store.

        With a peer it has the configuration, but not the replicas.
        """
        wait_for('it is known', self.is_known)
        if not with_peer:
            self.site.entries['one'].kill()
        self.site.store.down = True
        self.site.entries['two'].kill()
        self.site.spawn_entry('two')
        status, retry_s = self.refusal()
        self.assertEqual(503, status)
        self.assertLessEqual(retry_s, RETRY_BOUND_S)
        if with_peer:
            wait_for('settings', lambda: 'settings_from_peer' in self.log())
            status, retry_s = self.call()
            self.assertEqual(503, status)
            self.assertLessEqual(retry_s, RETRY_BOUND_S)
        self.assertFalse(self.site.is_ready('two'))
        self.assertEqual(0, self.runs('r1'))
        self.site.store.down = False
        wait_for('it is ready', lambda: self.site.is_ready('two'))
        self.assertEqual(200, self.call()[0])
        self.assertEqual(1, self.runs('r1'))
