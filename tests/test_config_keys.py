"""Keys and quotas change while requests of their organisations are in work."""

import gevent
from gevent.event import Event
from nose2.tools import params

from standins.machines.site import ROUTES
from tests.config_case import ConfigCase, Got, each_route, request, split

FIRST = ('Authorization', 'Bearer k1')
SECOND = ('Authorization', 'Bearer k2')
ONE = {'name': 'one', 'api_keys': ['k1'], 'rate_per_s': 50, 'burst': 50}
TWO = {'name': 'two', 'api_keys': ['k2']}
BOTH = (ONE, TWO)
MOVED_KEY = (
    {**ONE, 'api_keys': []},
    {**TWO, 'api_keys': ['k1', 'k2']},
)
STREAM = b'12 0.05'
PLAIN = b'plain 1'
# What changes, and the status of a request whose body has not arrived then.
CHANGES = (
    ({'holders': BOTH}, 200),
    ({'holders': ({**ONE, 'api_keys': ['k9']}, TWO)}, 401),
    ({'holders': (TWO,)}, 401),
    ({'holders': ({**ONE, 'name': 'uno'}, TWO)}, 503),
    ({'holders': MOVED_KEY}, 503),
    ({'holders': ({**ONE, 'priority': 9}, TWO)}, 200),
    ({'holders': ({**ONE, 'rate_per_s': 0.01, 'burst': 1}, TWO)}, 200),
    ({'holders': ({**ONE, 'burst': 0}, TWO)}, 200),
    ({'holders': ({**ONE, 'rate_per_s': 0}, TWO)}, 200),
    ({'holders': None}, 200),
    ({'holders': BOTH, 'routes': each_route(public=True)}, 200),
    ({'holders': BOTH, 'routes': split(0, 1)}, 200),
)
TARGETS = (
    ('/on/', STREAM),
    ('/again/', STREAM),
    ('/safe/', PLAIN),
    ('/plain/', PLAIN),
)


class TestKeys(ConfigCase):
    """Requests of an organisation whose keys, name or quota change."""

    slots = 16

    def setUp(self):
        """Configure the organisations."""
        super().setUp()
        self.configure(holders=BOTH)
        self.changed = Event()

    def after(self, target: str, body: bytes) -> Got:
        """Return the answer to a request whose body ends after the change."""
        sender = self.sender()
        raw = request(f'later{target}', body, target, [FIRST])
        sender.send(raw[:-2])
        self.changed.wait()
        sender.send(raw[-2:])
        return sender.read()

    def before(self, target: str, body: bytes) -> Got:
        """Return the answer to a request that is in work at the change."""
        sender = self.sender()
        sender.send(request(f'sooner{target}', body, target, [FIRST]))
        return sender.read()

    @params(*CHANGES)
    def test_change(self, change, status):
        """Answers in work are whole, bodies on their way get the status."""
        sooner = [gevent.spawn(self.before, *each) for each in TARGETS]
        later = [gevent.spawn(self.after, *each) for each in TARGETS]
        gevent.sleep(0.1)
        self.configure(**{'routes': ROUTES, **change})
        self.changed.set()
        gevent.joinall([*sooner, *later], raise_error=True)
        for run in sooner:
            found = run.value.status, run.value.whole
            self.assertEqual((200, True), found, run.value)
        for run in later:
            found = run.value.status, run.value.whole
            self.assertEqual((status, True), found, run.value)
        if status != 200:
            ran = [self.runs(f'later{target}') for target, _ in TARGETS]
            self.assertEqual([0, 0, 0, 0], ran)
