"""A process with a slow event loop does not time out responsive peers."""

import contextlib
import unittest

import gevent
import structlog
from nose2.tools import params
from structlog.testing import LogCapture

from cactusridge import events
from cactusridge.http.client import Clients
from cactusridge.http.unpaused_sockets import UnpausedSocket
from standins.local_fleet import YAZMAN
from standins.waiting import wait_for
from tests.late_case import (
    CHUNK,
    PAUSE_S,
    TURN_S,
    LateCase,
    block_turns,
)
from tests.rig_case import RigCase

SILENCE_S = 0.5
REQUESTS = 100


class TestLateFleet(RigCase):
    """All processes share an event loop that is slow in each iteration."""

    @params((0.03, REQUESTS), (0.09, REQUESTS))
    def test_sound_sidecars_are_not_silent(self, late_s, count):
        """Every request is answered, although late."""
        late = gevent.spawn(block_turns, late_s)
        self.addCleanup(late.kill)
        sent = [
            gevent.spawn(self.rig.chat, f'own {n}', n % 2) for n in range(count)
        ]
        gevent.joinall(sent, raise_error=True)
        failed = [each.value for each in sent if each.value.status != 200]
        self.assertEqual([], failed)

    def test_hosts_stay_known(self):
        """Sidecars that are probed late are not considered silent."""
        fleet = self.rig.entries[0].subject.parts.fleet
        late = gevent.spawn(block_turns, 0.09)
        self.addCleanup(late.kill)
        busy = [gevent.spawn(self.rig.chat, f'own {n}') for n in range(60)]
        known = set()
        while not all(each.ready() for each in busy):
            gevent.sleep(TURN_S)
            known.add(len(fleet.replicas(YAZMAN)))
        self.assertEqual({2}, known)


class TestLateReader(LateCase):
    """A responsive peer needs some iterations of a slow event loop."""

    @params((0.03, 18), (0.09, 12))
    def test_reading(self, late_s, turns):
        """The client waits for the peer's reply."""
        clients = Clients(1, SILENCE_S)
        gevent.spawn(self.answer, turns)
        self.late_by(late_s)
        found = clients.get_json(self.address, '/')
        self.assertEqual((200, {}), found)

    def test_sending(self):
        """The peer receives a long request in small pieces."""
        taken = []

        def take():
            conn, _ = self.listener.accept()
            while block := conn.recv(CHUNK):
                taken.append(len(block))
                gevent.sleep(TURN_S)

        taking = gevent.spawn(take)
        self.late_by(0.09)
        with contextlib.closing(UnpausedSocket()) as sock:
            sock.connect(self.address)
            sock.settimeout(SILENCE_S)
            sock.sendall(bytes(32 * CHUNK))
        taking.join()
        self.assertEqual(32 * CHUNK, sum(taken))

    def test_nothing_taken(self):
        """Sending to a peer that receives nothing times out."""
        self.late_by(0.03)
        with contextlib.closing(UnpausedSocket()) as sock:
            sock.connect(self.address)
            sock.settimeout(SILENCE_S)
            with self.assertRaisesRegex(
                TimeoutError, 'sending: timed out after'
            ):
                sock.sendall(bytes(32 * CHUNK))

    def test_nothing_said(self):
        """Reading from a peer that sends nothing times out."""
        self.late_by(0.03)
        with self.assertRaisesRegex(
            TimeoutError, 'reading: timed out after 0.5 s'
        ):
            Clients(1, SILENCE_S).get_json(self.address, '/')


class TestBehindOthers(unittest.TestCase):
    """Timeouts that expire in the same iteration of the loop."""

    def test_what_has_come_meanwhile(self):
        """Data that arrives while the first timeout is handled is read."""
        pairs = [gevent.socket.socketpair() for _ in range(2)]
        socks = []
        for near, far in pairs:
            self.addCleanup(far.close)
            socks.append(UnpausedSocket(near.family, fileno=near.detach()))
            self.addCleanup(socks[-1].close)

        def read(sock, other):
            sock.settimeout(1e-9)
            try:
                return sock.recv(1)
            except TimeoutError:
                other.sendall(b'x')
                return b''

        reading = [
            gevent.spawn(read, sock, pairs[1 - n][1])
            for n, sock in enumerate(socks)
        ]
        gevent.joinall(reading)
        self.assertEqual({b'', b'x'}, {each.get() for each in reading})


class TestLoopLate(LateCase):
    """A pause of the event loop is logged."""

    def test_logged(self):
        """A long pause during a timeout is logged as ``loop_late``."""
        capture = LogCapture()
        old = structlog.get_config()
        self.addCleanup(structlog.configure, **old)
        structlog.configure(
            processors=[capture],
            wrapper_class=structlog.make_filtering_bound_logger(0),
        )
        clients = Clients(1, SILENCE_S)
        gevent.spawn(self.answer, 3)
        asking = gevent.spawn(clients.get_json, self.address, '/')
        self.pause_after_asking()
        asking.get()

        def logged():
            return [
                entry['late_s']
                for entry in capture.entries
                if entry['event'] == events.LOOP_LATE.name
            ]

        self.assertGreater(max(wait_for('the event', logged)), PAUSE_S / 2)
