"""A process that is paused during an exchange completes it."""

import socket
import unittest

import gevent
from gevent.event import Event

from cactusridge.clock import SystemClock
from cactusridge.errors import NoReplica
from cactusridge.http.app import App, route
from cactusridge.http.exchange import json_reply
from cactusridge.http.unpaused_sockets import UnpausedSocket
from cactusridge.identity import new_id
from cactusridge.orders import RunOrder, WorkClass
from cactusridge.sidecar.upstream import Upstream
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient
from cactusridge.startup.models import SidecarSettings
from standins.local_fleet import DEFTER
from standins.ports import Ports
from tests.late_case import CHUNK, PAUSE_S, TURN_S, LateCase, really_sleep
from tests.served import serve

SECRET = 'internal-secret-of-tests'


class TestPausedConnect(unittest.TestCase):
    """A process connects to a peer that accepts no new connections."""

    def setUp(self):
        """Listen with a full backlog."""
        self.listener = socket.socket()
        self.addCleanup(self.listener.close)
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(0)
        self.address = self.listener.getsockname()
        waiting = socket.create_connection(self.address)
        self.addCleanup(waiting.close)
        self.sock = UnpausedSocket()
        self.addCleanup(self.sock.close)

    def test_paused(self):
        """A pause of the connecting process does not use up the timeout.

        The peer accepts a connection at the end of the pause; the kernel
        retries the SYN packet a second after the last one.
        """
        self.sock.settimeout(1.6)
        connecting = gevent.spawn(self.sock.connect, self.address)
        gevent.sleep(TURN_S)
        really_sleep(1.8)
        self.listener.accept()[0].close()
        connecting.get()
        self.assertEqual(self.address, self.sock.getpeername())

    def test_silent(self):
        """Connecting to a peer that does not respond times out."""
        self.sock.settimeout(0.2)
        with self.assertRaisesRegex(
            TimeoutError, 'connecting: timed out after'
        ):
            self.sock.connect(self.address)


class TestPausedExchange(LateCase):
    """A process is paused for longer than the timeouts of an exchange."""

    def setUp(self):
        """Configure short timeouts."""
        super().setUp()
        self.cfg = SidecarSettings.from_values(
            listen='127.0.0.1:1',
            zone='a',
            internal_secret=SECRET,
            connect_timeout_s=0.2,
            silence_timeout_s=0.2,
            upstreams=[
                {
                    'service': DEFTER,
                    'address': str(self.address),
                    'read_timeout_s': 0.2,
                },
            ],
        )

    def test_probe(self):
        """A probe succeeds if the sidecar answers soon after the pause."""
        gevent.spawn(self.answer, 3)
        asking = gevent.spawn(SidecarClient(self.cfg).probe, self.address, 0)
        self.pause_after_asking()
        self.assertEqual({}, asking.get())

    def test_probe_of_a_silent_one(self):
        """A probe of a sidecar that sends nothing times out."""
        with self.assertRaisesRegex(NoReplica, 'timed out after'):
            SidecarClient(self.cfg).probe(self.address, 0)

    def test_call_that_may_not_repeat(self):
        """A non-idempotent call gets a reply sent soon after the pause."""
        gevent.spawn(self.answer, 3)
        upstream = Upstream(self.cfg.upstreams[0], self.cfg)
        order = RunOrder(
            id=new_id('r', SystemClock()),
            incarnation='any',
            service=DEFTER,
            team='any',
            work=WorkClass.online,
            method='PUT',
            path='/registers/1',
            headers=(),
            deadline_s=60,
            repeatable=False,
        )
        calling = gevent.spawn(upstream.call, order, b'{}', False)
        self.pause_after_asking()
        answer = calling.get()
        self.assertEqual(200, answer.head.status)
        self.assertEqual(b'{}', b''.join(answer.body))


class TestPausedServer(unittest.TestCase):
    """A server is paused while a caller sends a body."""

    def setUp(self):
        """Serve one route that reads the body."""
        ports = Ports()
        self.addCleanup(ports.close)
        self.reading = Event()
        app = App([route('POST', '/', self.read)], CHUNK, 0.2)
        self.served = serve(None, app, ports.give())
        self.addCleanup(self.served.server.stop, 0)

    def read(self, req):
        """Reply with the JSON of the body."""
        self.reading.set()
        return json_reply(req.json())

    def test_body(self):
        """A body that is sent soon after the pause is accepted."""
        with gevent.socket.create_connection(self.served.address) as sock:
            head = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n'
            sock.sendall(head)
            self.assertTrue(self.reading.wait(10))
            gevent.sleep(TURN_S)
            really_sleep(PAUSE_S)
            gevent.sleep(TURN_S)
            sock.sendall(b'{}')
            self.assertIn(b'200 OK', sock.recv(CHUNK))
