"""A stream goes on while what it stands on is taken away."""

import gevent
from nose2.tools import params

from standins.machines.site import ROUTES
from tests.config_case import ConfigCase, each_route, request

FIRST = ('Authorization', 'Bearer k1')
ONE = {'name': 'one', 'api_keys': ['k1'], 'rate_per_s': 5, 'burst': 5}
STREAM = b'12 0.05'
EVENTS = 12
SILENCE_S = 1.4
# Replicas of the service of the streams.
OWN = (0, 1)
TAKEN_KEYS = (
    {'holders': [{**ONE, 'api_keys': ['k9']}]},
    {'holders': [{**ONE, 'name': 'uno'}]},
    {'holders': []},
)
CHANGES = (
    {'holders': [{**ONE, 'rate_per_s': 0.01, 'burst': 0}]},
    {'holders': None},
    {'holders': [ONE], 'routes': ROUTES[-1:]},
    {'holders': [ONE], 'routes': each_route(service='other')},
    {'holders': [ONE], 'routes': each_route(timeout_ms=400)},
    {'holders': [ONE], 'routes': each_route(max_attempts=1)},
)


class TestGoesOn(ConfigCase):
    """A stream whose replica falls silent or breaks after a change."""

    def setUp(self):
        """Configure the organisation."""
        super().setUp()
        self.configure(holders=[ONE])

    def after_change(self, change, fault):
        """Return the answer of a stream with a fault after a change."""
        sender = self.sender()
        sender.send(request('s1', STREAM, '/again/', [FIRST]))
        gevent.sleep(0.1)
        self.configure(**{'routes': ROUTES, **change})
        fault()
        return sender.read()

    def fall_silent(self) -> None:
        """Let the replicas of the service send nothing for some time."""
        for number in OWN:
            self.site.replicas[number].fall_silent(SILENCE_S)

    def check_silence(self, change):
        """Check that a stream goes on after a change and a silence."""
        got = self.after_change(change, self.fall_silent)
        self.assertEqual(EVENTS, got.body.count(b'id:'), got)
        self.assertTrue(got.whole)

    @params(*TAKEN_KEYS)
    def test_silence_without_the_key(self, change):
        """A replica's silence ends no stream whose key has been taken."""
        self.check_silence(change)

    @params(*CHANGES)
    def test_silence(self, change):
        """A replica's silence ends no stream, whatever has changed."""
        self.check_silence(change)

    @params(*CHANGES)
    def test_break(self, change):
        """A stream that breaks goes on at another replica."""

        def reset():
            for number in OWN:
                if self.site.replicas[number].running:
                    self.site.restart_under_same_id(number)

        got = self.after_change(change, reset)
        self.assertEqual(EVENTS, got.body.count(b'id:'), got)
        self.assertTrue(got.whole)
