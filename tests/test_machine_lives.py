"""Replicas that restart under the same id, and unreadable entries."""

import contextlib
from http.client import IncompleteRead

import gevent
from nose2.tools import params

from standins.waiting import wait_for
from tests.machine_case import MachineCase, request_headers

REQUESTS_PER_REPLICA = 6
LONG_STREAM = b'40 0.05'


class LivesCase(MachineCase):
    """Starts one entry process and two replicas."""

    entries = ('one',)
    sent = 0

    def call(self, path, request_id, body=b'1'):
        """Return the status of a call, or None if its response is cut off."""
        with contextlib.suppress(IncompleteRead):
            headers = request_headers(request_id)
            return self.site.call('one', 'POST', path, body, headers)[0]

    def reached(self):
        """Check that requests succeed; return the replicas that ran them."""
        before = {each.id: len(each.targets) for each in self.site.replicas}
        for _ in range(REQUESTS_PER_REPLICA * 2):
            self.sent += 1
            self.assertEqual(200, self.call('/on/', f'to-{self.sent}'))
        return {
            each.id
            for each in self.site.replicas
            if len(each.targets) > before[each.id]
        }

    def wait_logged(self, event):
        """Wait until the entry has logged ``event``."""
        process = self.site.entries['one']
        wait_for(event, lambda: event in process.tail())

    def wait_all_reached(self):
        """Wait until both replicas receive requests."""
        wait_for('both are in choice', lambda: len(self.reached()) == 2)


class TestLives(LivesCase):
    """Requests on a replica that restarts under the same id."""

    def begin(self, path, request_id):
        """Start a stream of about two seconds; return its greenlet."""
        call = gevent.spawn(self.call, path, request_id, LONG_STREAM)
        wait_for('it runs', lambda: self.runs(request_id) == 1)
        return call

    def restart(self, request_id, moved=False):
        """Restart the replica that runs a request."""
        number = next(
            number
            for number, each in enumerate(self.site.replicas)
            if each.runs[request_id]
        )
        self.site.restart_under_same_id(number, moved)

    @params(False, True)
    def test_never_twice(self, moved):
        """A non-repeatable request is not sent to the next incarnation."""
        call = self.begin('/on/', 'once')
        self.restart('once', moved)
        self.assertNotEqual(200, call.get(timeout=10))
        self.wait_logged('replica_restarted')
        self.wait_all_reached()
        self.assertEqual(1, self.runs('once'))

    @params('/again/', '/safe/')
    def test_goes_on(self, path):
        """A repeatable request is repeated and completes."""
        call = self.begin(path, 'twice')
        self.restart('twice')
        self.assertEqual(200, call.get(timeout=10))
        self.assertEqual(2, self.runs('twice'))

    def test_batch_goes_on(self):
        """A job's items are repeated, and each is listed once."""
        self.site.submit('one', 'j1', ['30 0.05'] * 6)
        wait_for(
            'the items run',
            lambda: sum(each.running for each in self.site.replicas) == 6,
        )
        for number in range(self.replicas):
            self.site.restart_under_same_id(number)
        listed = self.wait_done('one', 'j1', 6)
        self.assertEqual(6, len(set(listed)))


class TestSpoiled(LivesCase):
    """A replica entry that another program has made unreadable."""

    @params(
        'address a number',
        'slots a string',
        'slots true',
        'service a list',
        'zone null',
        'port too large',
        'no born',
        'state not named',
        'half of it',
        'no text',
        'nothing',
        'null',
    )
    def test_left_out(self, how):
        """Its replica gets no requests until the entry is readable again."""
        self.wait_all_reached()
        self.site.corrupt_entry(0, how)
        self.wait_logged('host_unreadable')
        self.assertEqual({'i-1'}, self.reached())
        self.site.restore_entry(0)
        self.wait_all_reached()
