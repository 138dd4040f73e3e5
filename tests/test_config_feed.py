"""Configurations reach entries by feeds and peers with faults."""

import base64
import itertools
import json

import gevent
from nose2.tools import params

from standins.machines.site import ROUTES
from tests.config_case import APPLY_S, ConfigCase, request

STREAM = b'3 0.02'
CONFIG = ('op', '', 'config')
# Time after the acknowledgement from which the new rules hold.
IN_FORCE_S = 2.0
STORM_S = 0.25
STORM_VERSIONS = 8
UNREADABLE = (b'\xff', b'{}', b'{"version": 99, "routes": 5}', b'')


class TestFeed(ConfigCase):
    """Two entries, of which one has no store."""

    entries = ('one', 'two')

    def setUp(self):
        """Start without any request."""
        super().setUp()
        self.numbers = itertools.count()

    def status(self, entry: str, target: str) -> int:
        """Return the status of a new request."""
        sender = self.sender(entry)
        sender.send(request(f'r{next(self.numbers)}', STREAM, target))
        got = sender.read()
        self.assertTrue(got.whole, got)
        return got.status

    def added(self, number: int) -> dict[str, str]:
        """Return a route that a version adds."""
        return {
            **ROUTES[0],
            'name': f'n{number}',
            'path_prefix': f'/n{number}/',
        }

    def cut(self, entry: str) -> None:
        """Take the store from an entry."""
        link = self.site.store_links[entry]
        link.refusing = True
        link.stall_connections()

    @params(False, True)
    def test_storm(self, is_cut):
        """In a storm each route serves 2 s after it was added, until removed.

        Also at an entry that has its configurations from a peer only.
        """
        if is_cut:
            self.cut('two')
        steady = [gevent.spawn(self.steady, each) for each in self.entries]
        checks = []
        for number in range(STORM_VERSIONS):
            kept = [self.added(each) for each in range(number + 1)]
            self.site.configure((*ROUTES, *kept))
            checks += [
                gevent.spawn_later(
                    IN_FORCE_S, self.status, entry, f'/n{number}/'
                )
                for entry in self.entries
            ]
            gevent.sleep(STORM_S)
        gevent.joinall(checks, raise_error=True)
        self.assertEqual({200}, {each.value for each in checks})
        for run in steady:
            self.assertEqual({200}, run.get())
        self.site.configure(ROUTES)
        gevent.sleep(IN_FORCE_S)
        found = {self.status(entry, '/n0/') for entry in self.entries}
        # An entry without the store can't tell that there is no newer route.
        self.assertLessEqual(found, {404, 503} if is_cut else {404})

    def steady(self, entry: str) -> set[int]:
        """Send requests on the routes that all versions have."""
        found = set()
        for _ in range(10):
            for route in ROUTES[:-1]:
                found.add(self.status(entry, route['path_prefix']))
            gevent.sleep(0.05)
        return found

    def test_two_versions_in_one_answer(self):
        """The newest of the versions that a feed delivers at once holds."""
        changes = self.site.store._changed_since
        older = self.raw(self.site.version + 1, [*ROUTES, self.added(1)])
        newer = self.raw(self.site.version + 2, [*ROUTES, self.added(2)])

        def both(table, after):
            rows = changes(table, after)
            config = [row for row in rows if row['key'] == 'config']
            if not config:
                return rows
            found = [{**config[0], 'value': each} for each in (older, newer)]
            return [{**found[0], 'ver': found[0]['ver'] - 1}, found[1]]

        self.site.store._changed_since = both
        self.site.store.put_encoded(CONFIG, newer)
        gevent.sleep(APPLY_S)
        for entry in self.entries:
            self.assertEqual(404, self.status(entry, '/n1/'))
            self.assertEqual(200, self.status(entry, '/n2/'))

    def test_unreadable_rows(self):
        """An unreadable row leaves the last configuration in force."""
        for number, raw in enumerate(UNREADABLE):
            self.site.store.put_bytes(CONFIG, raw)
            gevent.sleep(APPLY_S)
            for entry in self.entries:
                self.assertEqual(200, self.status(entry, '/on/'), raw)
            self.site.configure((*ROUTES, self.added(number)))
            gevent.sleep(APPLY_S)
            for entry in self.entries:
                self.assertEqual(200, self.status(entry, f'/n{number}/'), raw)

    def raw(self, version: int, routes: list[dict[str, str]]) -> str:
        """Return the encoded row of a configuration."""
        self.site.configure(routes)
        held = self.site.store.encoded(CONFIG)
        message = json.loads(base64.b64decode(held))
        changed = json.dumps({**message, 'version': version + 100})
        return base64.b64encode(changed.encode()).decode()
