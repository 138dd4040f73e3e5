"""Failures of callers, replicas, entry processes and the store."""

import signal
import socket
from pathlib import Path

import gevent
from nose2.tools import params

from standins.machines.site import HOST
from standins.waiting import wait_for
from tests.machine_case import MachineCase, request_headers

LONG_STREAM = b'400 0.05'
HEAD = (
    f'POST /on/ HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: raw\r\n'
    'X-Request-Deadline: 4000\r\n'
)


class TestCallers(MachineCase):
    """Callers that disconnect, and requests with ambiguous framing."""

    entries = ('one',)

    def test_caller_leaves(self):
        """A replica stops a request soon after its caller disconnects."""
        with socket.create_connection(self.site.addresses['one']) as caller:
            text = f'{HEAD}Content-Length: {len(LONG_STREAM)}\r\n\r\n'
            caller.sendall(text.encode() + LONG_STREAM)
            wait_for('it runs', lambda: self.runs('raw'))
        wait_for(
            'the replica stops',
            lambda: not any(each.running for each in self.site.replicas),
            2,
        )
        self.assertEqual(1, self.runs('raw'))

    @params(
        'Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1',
        'Content-Length: 1\r\nContent-Length: 2\r\n\r\n1',
        'Transfer-Encoding: gzip\r\n\r\n1',
    )
    def test_two_lengths(self, rest):
        """A request with ambiguous body length is rejected and not run."""
        with socket.create_connection(self.site.addresses['one']) as caller:
            caller.settimeout(5)
            caller.sendall(f'{HEAD}{rest}'.encode())
            first_line = caller.recv(1024).partition(b'\r\n')[0]
        self.assertIn(b' 400 ', first_line)
        self.assertEqual(0, self.runs('raw'))


class TestReplicas(MachineCase):
    """Replicas that drain, break off or lose their address."""

    entries = ('one',)

    def check_served(self, request_id: str) -> None:
        """Check that a request succeeds."""
        call = ('one', 'POST', '/on/', b'1', request_headers(request_id))
        self.assertEqual(200, self.site.call(*call)[0])

    def test_draining_gets_nothing(self):
        """A draining replica gets no new request half a second later."""
        entry = {
            'service': 'model',
            'address': str(self.site.replica_address(0)),
            'zone': 'z',
            'slots': self.slots,
            'state': 'draining',
        }
        self.site.store.put(('servers', '', 'i-0'), entry)
        gevent.sleep(0.5)
        for number in range(8):
            found = self.site.call(
                'one', 'POST', '/on/', b'1', request_headers(f'{number}')
            )
            self.assertEqual(200, found[0])
        self.assertEqual([], self.site.replicas[0].targets)

    def test_cut_before_the_first_event(self):
        """A stream cut before its first event is answered with 502.

        No part of the response has been sent to the caller yet, so an error
        status can still report that the outcome is unknown.
        """
        for replica in self.site.replicas:
            replica.close_after_events = [1]
        call = ('one', 'POST', '/on/', b'2 0.01', request_headers('cut'))
        self.assertEqual(502, self.site.call(*call)[0])
        self.assertEqual(1, self.runs('cut'))

    def test_address_of_another(self):
        """A request is not run by a replica that took over an address."""
        self.site.replicas[0].id = 'i-other'
        for number in range(8):
            found = self.site.call(
                'one', 'POST', '/on/', b'1', request_headers(f'{number}')
            )
            self.assertEqual(200, found[0])
        self.assertEqual([], self.site.replicas[0].targets)

    def test_lapsed_in_an_outage(self):
        """Replicas whose entries expired in a store outage stay in use."""
        self.site.store.down = True
        gevent.sleep(2.5)
        for replica in self.site.replicas:
            self.site.store.remove(('servers', '', replica.id))
        self.site.store.down = False
        gevent.sleep(1)
        found = self.site.call(
            'one', 'POST', '/on/', b'1', request_headers('r1')
        )
        self.assertEqual(200, found[0])
        wait_for(
            'the replicas are dropped',
            lambda: (
                self.site.call(
                    'one', 'POST', '/on/', b'1', request_headers('r2')
                )[0]
                == 503
            ),
            6,
        )


class TestEntries(MachineCase):
    """Entry processes that stop, are killed, or lose the store."""

    def test_reload_while_starting(self):
        """SIGHUP does not end an entry that is still importing modules."""
        self.site.spawn_entry('three')
        process = self.site.entries['three']
        maps = Path(f'/proc/{process.process.pid}/maps')
        wait_for('it loads', lambda: 'gevent' in maps.read_text())
        process.send(signal.SIGHUP)
        wait_for('it is ready', lambda: self.site.is_ready('three'), 10)

    def test_stop_cuts_no_stream(self):
        """A planned stop waits for the streams in progress."""
        call = gevent.spawn(
            self.site.call,
            'one',
            'POST',
            '/on/',
            b'20 0.1',
            request_headers('r3'),
        )
        wait_for('it runs', lambda: self.runs('r3'))
        process = self.site.entries['one']
        process.send(signal.SIGTERM)
        status, _, body = call.get()
        self.assertEqual((200, 20), (status, body.count(b'data:')))
        self.assertEqual(0, process.wait())

    def test_all_killed(self):
        """Jobs resume after all entries are killed; items are listed once."""
        self.site.submit('one', 'j1', ['40 0.05'] * 3)
        self.site.submit('two', 'j2', ['40 0.05'] * 3)
        gevent.sleep(1.3)
        for process in self.site.entries.values():
            process.kill()
        for name in ('one', 'two'):
            self.site.start_entry(name)
        for job in ('j1', 'j2'):
            listed = self.wait_done('two', job, 3)
            self.assertEqual(3, len(set(listed)))

    def test_ended_while_the_store_turns_away(self):
        """A peer's message ends a job whose holder cannot reach the store."""
        self.site.submit('one', 'j3', ['400 0.05'] * 4)
        wait_for(
            'the items run',
            lambda: sum(each.running for each in self.site.replicas) == 4,
        )
        entry = self.site.entries['one']
        entry.send(signal.SIGSTOP)
        ended = self.site.call('two', 'DELETE', '/api/lots/j3')
        self.site.store.down = True
        entry.send(signal.SIGCONT)
        self.assertEqual(200, ended[0])
        wait_for(
            'all items stop',
            lambda: not any(each.running for each in self.site.replicas),
            3,
        )
