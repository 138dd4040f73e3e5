"""Callers that have come back wait at an entry process for a free slot."""

import json
import signal

import gevent
from nose2.tools import params

from standins.machines.site import ROUTES
from standins.waiting import wait_for
from tests.machine_case import MachineCase

SLOTS = 2
ORGANISATIONS = (
    {'name': 'one', 'api_keys': ['k1']},
    {'name': 'two', 'api_keys': ['k2'], 'rate_per_s': 0.1, 'burst': 1},
)
APPLY_S = 0.5
# A stream that holds a slot for a second.
LONG = b'4 0.25'
FIRST_MS = 5000
RETURN_MS = 3000


class WaitingCase(MachineCase):
    """One entry and a replica of two slots, both of which are in use."""

    replicas = 1
    slots = SLOTS
    entries: tuple[str, ...] = ()
    policy: dict[str, str] = {}

    def setUp(self):
        """Start the entry and fill the slots."""
        super().setUp()
        self.site.policy = self.policy
        self.site.start_entry('one')
        self.site.configure(ROUTES, ORGANISATIONS)
        gevent.sleep(APPLY_S)
        self.replica = self.site.replicas[0]
        self.running = [
            gevent.spawn(self.send, f'l{number}', FIRST_MS, LONG)
            for number in range(SLOTS)
        ]
        self.addCleanup(gevent.joinall, self.running)
        wait_for('both slots', lambda: self.replica.running == SLOTS)

    def send(self, request_id, left_ms, body=b'1', key='k1'):
        """Send a request; return its status and headers."""
        headers = {
            'X-Attempt-Id': request_id,
            'X-Request-Deadline': str(left_ms),
            'Authorization': f'Bearer {key}',
        }
        found = self.site.call('one', 'POST', '/on/', body, headers)
        return found[0], found[1]

    def lines(self, name):
        """Return the log lines of an event."""
        path = self.site.folder / 'one.log'
        lines = map(json.loads, path.read_text().splitlines())
        return [line for line in lines if line.get('event') == name]


class TestWaiting(WaitingCase):
    """The default policy."""

    def test_served_after_the_wait(self):
        """A caller that came back is answered once a slot is free.

        It must not be sent to the replica before, where it would hold up
        requests on time.
        """
        self.assertEqual(429, self.send('first', FIRST_MS)[0])
        found = self.send('back', RETURN_MS)
        self.assertEqual(200, found[0])
        self.assertEqual(SLOTS, self.replica.max_running)
        wait_for('the log', lambda: self.lines('request_dequeued'))
        line = self.lines('request_dequeued')[0]
        self.assertEqual('started', line['outcome'])
        self.assertEqual('one', line['organisation'])
        self.assertGreater(line['waited_s'], 0.2)

    def test_refused_gives_its_token_back(self):
        """A refused request is not counted against the limit.

        The organisation has one token; a caller whose deadline is too near
        must leave it to the next one.
        """
        self.assertEqual(429, self.send('near', 400, key='k2')[0])
        gevent.joinall(self.running)
        self.assertEqual(200, self.send('next', FIRST_MS, key='k2')[0])

    def test_planned_stop(self):
        """At a planned stop the caller may return at once elsewhere."""
        process = self.site.entries['one']
        waits = [
            gevent.spawn(self.send, f'back{number}', RETURN_MS)
            for number in range(3)
        ]
        wait_for('all wait', lambda: len(self.lines('request_queued')) == 3)
        process.send(signal.SIGTERM)
        for wait in waits:
            status, headers = wait.get(timeout=2)
            self.assertEqual(503, status)
            self.assertEqual('0.000', headers['Retry-After'])
        self.assertEqual(0, process.wait())
        found = [each.get()[0] for each in self.running]
        self.assertEqual([200, 200], found)
        self.assertEqual(0, self.runs('back0'))


class TestNaive(WaitingCase):
    """The naive policy."""

    policy = {'queueing': 'none'}

    @params('back', 'again')
    def test_refused(self, request_id):
        """A caller that came back is refused, as any other one."""
        self.assertEqual(429, self.send(request_id, RETURN_MS)[0])
