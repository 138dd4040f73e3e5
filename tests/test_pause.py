"""A paused process does not take its pause for a silence of peers."""

import time
import unittest

import gevent
from gevent.monkey import get_original
from nose2.tools import params

from cactusridge.clock import ManualClock, UnpausedStepClock
from cactusridge.http.client import Address, Clients
from standins.waiting import wait_for
from tests.rig_case import RigCase

CALLS = 30
PAUSE_S = 0.8
SILENCE_S = 0.1
TICK_S = 0.25

really_sleep = get_original('time', 'sleep')


class TestPausedFleet(RigCase):
    """All processes are paused for longer than the silence timeout."""

    def test_calls_under_way_are_answered(self):
        """No call in flight fails because of the pause."""
        sent = [
            gevent.spawn(self.rig.chat, f'own {n}', n % 2, max_tokens=40)
            for n in range(CALLS)
        ]
        wait_for('calls at the engines', lambda: self.rig.executions('own'))
        really_sleep(PAUSE_S)
        gevent.joinall(sent, raise_error=True)
        answers = [each.value for each in sent]
        self.assertEqual({200}, {each.status for each in answers}, answers)

    def test_hosts_stay_known(self):
        """No sidecar is considered silent after the pause."""
        really_sleep(PAUSE_S)
        answers = [self.rig.chat(f'after {n}') for n in range(4)]
        self.assertEqual({200}, {each.status for each in answers}, answers)


class TestPausedReader(unittest.TestCase):
    """A client is paused while its reply arrives."""

    def setUp(self):
        """Listen as a peer."""
        self.listener = gevent.socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)
        self.address = Address(*self.listener.getsockname())
        self.clients = Clients(1, SILENCE_S)

    def test_what_has_come_is_read(self):
        """Bytes that arrive during the pause are read; no timeout expires."""
        asked = gevent.spawn(self.clients.get_json, self.address, '/')
        conn, _ = self.listener.accept()
        conn.recv(1024)
        conn.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n')
        gevent.sleep(SILENCE_S / 2)
        conn.sendall(b'{}')
        really_sleep(PAUSE_S)
        self.assertEqual((200, {}), asked.get())

    def test_silence_is_still_noticed(self):
        """Waiting for a peer that sends nothing times out."""
        with self.assertRaises(TimeoutError):
            self.clients.get_json(self.address, '/')


class TestAwakeClock(unittest.TestCase):
    """The clock that does not count pauses of its process."""

    @params(
        ((0.1, 0.2, 0.25), 0.55),
        ((0.1, 60, 0.1), 0.1 + TICK_S + 0.1),
        ((60, 60), TICK_S * 2),
        ((), 0),
    )
    def test_pauses_do_not_count(self, steps, wanted):
        """A step longer than a tick counts as one tick."""
        source = ManualClock(time.monotonic())
        clock = UnpausedStepClock(source, TICK_S)
        began = clock.monotonic()
        for step in steps:
            source.advance(step)
            clock.monotonic()
        self.assertAlmostEqual(wanted, clock.monotonic() - began)
