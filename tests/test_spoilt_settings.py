"""An invalid configuration leaves the last valid one in force."""

import unittest

from nose2.tools import params

from cactusridge import events
from cactusridge.clock import ManualClock
from cactusridge.http.app import App, route
from cactusridge.http.exchange import json_reply
from cactusridge.http.server import Server
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.platform.catalog_holder import KEY, CatalogHolder
from cactusridge.platform.catalog_peers import CATALOG_PATH, CatalogPeers
from cactusridge.store.table import Row
from standins.waiting import wait_for
from tests.emitted import emitted

ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/p/',
    'kind': 'idempotent',
    'timeout_ms': 5000,
    'target_latency_ms': 300,
    'priority': 0,
    'traffic_split': [{'service': 's', 'weight': 90}],
    'max_attempts': 2,
    'resumable': True,
}
LIMITS = {'max_header_bytes': 99, 'idle_timeout_ms': 5}
GOOD = {'version': 4, 'routes': [ROUTE], 'limits': LIMITS}
NEWER = {**GOOD, 'version': 7}


def with_route(**fields):
    """Return a newer configuration with another route."""
    return {**NEWER, 'routes': [ROUTE, {**ROUTE, **fields}]}


def without(name):
    """Return a newer configuration whose route lacks a field."""
    kept = {key: each for key, each in ROUTE.items() if key != name}
    return {**NEWER, 'routes': [kept]}


SPOILT = (
    {},
    {**NEWER, 'version': '7'},
    {**NEWER, 'version': None},
    {**NEWER, 'version': 7.5},
    {**NEWER, 'version': -1},
    {**NEWER, 'version': True},
    {**NEWER, 'routes': {}},
    {**NEWER, 'routes': 'r'},
    {**NEWER, 'routes': [5]},
    {**NEWER, 'routes': [None]},
    {**NEWER, 'limits': []},
    {**NEWER, 'limits': {'max_body_bytes': 'x'}},
    {**NEWER, 'limits': {'header_timeout_ms': -1}},
    *(without(name) for name in ('name', 'host', 'path_prefix')),
    *(without(name) for name in ('kind', 'timeout_ms')),
    with_route(kind='sideways'),
    with_route(kind=5),
    with_route(host=5),
    with_route(path_prefix=['/']),
    with_route(timeout_ms='5'),
    with_route(timeout_ms=-5),
    with_route(max_attempts='2'),
    with_route(priority=[]),
    with_route(resumable='yes'),
    with_route(traffic_split={}),
    with_route(traffic_split=[5]),
    with_route(traffic_split=[{'service': 's'}]),
    with_route(traffic_split=[{'service': 's', 'weight': '1'}]),
    with_route(traffic_split=None),
)


class TestSpoiltSettings(unittest.TestCase):
    """Invalid configurations of another writer in the store."""

    def setUp(self):
        """Apply a valid configuration."""
        self.holder = CatalogHolder(KeyLease(ManualClock(), None))
        self.holder.put(Row(KEY, GOOD, 1))

    @params(*((raw,) for raw in SPOILT))
    def test_last_good(self, raw):
        """Each invalid version is logged once; the next valid one applies."""
        with emitted() as found:
            for _ in range(3):
                self.holder.put(Row(KEY, raw, 2))
        self.assertEqual([events.SETTINGS_UNREADABLE], found)
        self.assertEqual(4, self.holder.catalog.version)
        self.assertEqual(GOOD, self.holder.raw)
        self.holder.put(Row(KEY, {**GOOD, 'version': 9}, 3))
        self.assertEqual(9, self.holder.catalog.version)

    def test_bytes(self):
        """Undecodable bytes are logged once and leave the last one."""
        with emitted() as found:
            for _ in range(3):
                self.holder.put(Row(KEY, None, 2, unreadable=True))
        self.assertEqual([events.SETTINGS_UNREADABLE], found)
        self.assertEqual(4, self.holder.catalog.version)

    def test_null_is_missing(self):
        """An optional field that is null has its default value."""
        raw = with_route(max_attempts=None, priority=None, resumable=None)
        self.holder.put(Row(KEY, raw, 2))
        self.assertEqual(7, self.holder.catalog.version)
        self.assertEqual(1, self.holder.catalog.routes[1].attempts)

    @params(5, [], None, 'text', {'version': 'x'}, SPOILT[-2])
    def test_from_peer(self, raw):
        """An invalid configuration of a peer is not applied."""
        asked = []

        def serve(req):
            asked.append(req.path)
            return json_reply(raw)

        app = App([route('GET', CATALOG_PATH, serve)], 1024, 1)
        server = Server(('127.0.0.1', 0), app, 5)
        server.start()
        self.addCleanup(server.stop)
        catalogs = CatalogPeers(self.holder)
        with emitted() as found:
            catalogs.on_peer_version(('127.0.0.1', server.server_port), 7)
            wait_for('the question', lambda: asked)
            wait_for('its end', lambda: not catalogs._fetching)
        self.assertIn(events.SETTINGS_UNREADABLE, found)
        self.assertEqual(4, catalogs.version())
