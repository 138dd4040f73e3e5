"""The end of a planned stop: how each connection and request ends.

The failure: a caller sends a whole request and gets neither an answer nor a
refusal, because the process ends while the connection is open.
"""

import socket
import unittest
from contextlib import suppress
from types import SimpleNamespace
from unittest import mock

import gevent
from gevent.monkey import get_original
from nose2.tools import params

from cactusridge import events, serving
from cactusridge.http.app import App, route
from cactusridge.http.exchange import Reply, json_reply
from cactusridge.http.server import QUIET_S, Server
from cactusridge.startup.models import CommonSettings
from standins.ports import Ports
from standins.waiting import wait_for
from tests.emitted import emitted

BLOCKING_SOCKET = get_original('socket', 'socket')
BOUND_S = 5
FOREVER_S = 60
# Seconds in which the rule lets a connection end without an answer.
SLACK_S = 0.2
DELAY_S = 0.1
LIMIT_S = 1.0
GET = b'GET %b HTTP/1.1\r\nHost: x\r\n\r\n'
POST = b'POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
HALF_SENT = b'%b12345678' % POST
QUICK = GET % b'/quick'
DO_NOTHING = object
LAST_CHUNK = b'0\r\n\r\n'


class EndlessRole(serving.Role):
    """Serves requests of which some never end."""

    def __init__(self) -> None:
        """Hand over at once."""
        self.at_hand_over = DO_NOTHING

    def application(self):
        """Return the application."""
        routes = [
            route('GET', '/quick', lambda req: json_reply({})),
            route('GET', '/slow', self.slow),
            route('GET', '/never', self.never),
            route('GET', '/stream', self.stream),
            route('POST', '/body', self.body),
        ]
        return App(routes, 1024, FOREVER_S)

    def slow(self, req):
        """Reply while the stop is under way."""
        gevent.sleep(DELAY_S * 2)
        return json_reply({})

    def never(self, req):
        """Wait for a replica that does not answer."""
        gevent.sleep(FOREVER_S)

    def stream(self, req):
        """Send one event and then nothing."""
        return Reply(200, [], self.parts())

    def parts(self):
        """Yield the parts of the stream."""
        yield b'data: 1\n\n'
        gevent.sleep(FOREVER_S)

    def body(self, req):
        """Read the body."""
        return json_reply({'size': len(req.body())})

    def start(self):
        """Do nothing."""

    def begin_drain(self):
        """Do nothing."""

    def hand_over(self, bound_s):
        """Do what the test wants at the end of the hand-over."""
        self.at_hand_over()


class TestStopEnd(unittest.TestCase):
    """A server with open connections is drained."""

    def setUp(self):
        """Start the server."""
        ports = Ports()
        self.addCleanup(ports.close)
        self.address = ports.reserve()
        self.limit_s = LIMIT_S
        self.role = EndlessRole()
        self.server = Server(self.address, self.role.application(), FOREVER_S)
        self.server.start()
        self.addCleanup(self.server.stop, 0)

    def connect(self, sent: bytes = b'') -> socket.socket:
        """Return a new connection on which ``sent`` was sent."""
        conn = socket.create_connection(self.address, BOUND_S)
        self.addCleanup(conn.close)
        conn.sendall(sent)
        gevent.sleep(0.01)
        return conn

    def drain(self) -> list:
        """Drain the server to the end; return the events."""
        cfg = CommonSettings(
            listen=str(self.address),
            zone='z',
            internal_secret='x' * 16,
            readiness_delay_s=DELAY_S,
            drain_timeout_s=self.limit_s,
        )
        with emitted() as found:
            serving.drain(cfg, self.role, self.server)
        return found

    def received(self, conn: socket.socket) -> bytes:
        """Return all that was sent on a connection that has ended."""
        raw = b''
        conn.settimeout(SLACK_S)
        with suppress(ConnectionResetError):
            while received := conn.recv(65_536):
                raw += received
        return raw

    def test_idle_connections_are_closed(self):
        """A caller sees the close before the process begins to exit."""
        conns = [self.connect(), self.connect(QUICK)]
        self.drain()
        self.assertEqual(b'', self.received(conns[0]))
        self.assertEqual(b'200', self.received(conns[1]).split()[1])

    @params(
        (QUICK[:9], b'503', True),
        (QUICK[:-2], b'503', True),
        (POST, b'503', True),
        (HALF_SENT, b'503', True),
        (GET % b'/never', b'502', None),
    )
    def test_request_at_the_limit(self, sent, status, not_run):
        """It gets a refusal if it has certainly not run, or a failure."""
        conn = self.connect(sent)
        found = self.drain()
        head, _, body = self.received(conn).partition(b'\r\n\r\n')
        self.assertEqual(status, head.split()[1])
        wanted = b'"not_run":true' if not_run else b'"not_run":null'
        self.assertIn(wanted, body)
        # A refusal has to say when the caller may come back.
        self.assertTrue(not not_run or b'Retry-After: ' in head)
        self.assertIn(events.REQUESTS_CUT, found)

    def test_stream_at_the_limit(self):
        """It ends visibly."""
        conn = self.connect(GET % b'/stream')
        self.drain()
        raw = self.received(conn)
        self.assertIn(b'data: 1', raw)
        self.assertFalse(raw.endswith(LAST_CHUNK))

    def test_request_at_the_last_look(self):
        """Bytes that have arrived, but were not read yet, get a refusal."""
        conn = self.connect()

        def at_hand_over():
            gevent.sleep(DELAY_S + 0.5)
            BLOCKING_SOCKET.send(conn._sock, QUICK)

        self.role.at_hand_over = at_hand_over
        self.drain()
        self.assertEqual(b'503', self.received(conn).split()[1])

    def test_head_in_two_pieces(self):
        """A head that is completed during the end gets a refusal."""
        conn = self.connect(QUICK[:9])
        drained = gevent.spawn(self.drain)
        wait_for('it is late', lambda: self.server.rejects_requests)
        conn.sendall(QUICK[9:])
        drained.join()
        self.assertEqual(b'503', self.received(conn).split()[1])

    def test_trickling_body_of_a_late_request(self):
        """A body that arrives byte by byte does not delay the stop."""
        self.limit_s = 4 * LIMIT_S
        conn = self.connect()
        self.server.active += 1
        drained = gevent.spawn(self.drain)
        wait_for('it is late', lambda: self.server.rejects_requests)
        conn.sendall(POST.replace(b': 9', b': 999'))
        wait_for('it is read', lambda: self.server.active == 2)
        self.server.active -= 1
        begun_at = self.server.clock.monotonic()
        while not drained.ready():
            with suppress(OSError):
                conn.send(b'x')
            gevent.sleep(0.02)
        self.assertLess(self.server.clock.monotonic() - begun_at, 2 * LIMIT_S)

    def test_late_request_while_the_drain_is_behind(self):
        """The time of the last request taken is kept on a busy machine."""
        conn = self.connect()
        slow = SimpleNamespace(
            spawn=gevent.spawn, sleep=lambda seconds: gevent.sleep(seconds * 9)
        )
        with mock.patch.object(serving, 'gevent', slow):
            drained = gevent.spawn(self.drain)
            gevent.sleep(DELAY_S + QUIET_S + 0.05)
            conn.sendall(QUICK)
            self.assertEqual(b'503', self.received(conn).split()[1])
        drained.join()

    def test_pipelined_requests(self):
        """A request behind one that is in work is answered too."""
        conn = self.connect(b''.join((GET % b'/slow', QUICK)))
        self.drain()
        self.assertEqual(2, self.received(conn).count(b'HTTP/1.1 200'))

    def test_backlog(self):
        """A connection that was not accepted yet is served, not reset."""
        conns = [BLOCKING_SOCKET() for _ in range(120)]
        for conn in conns:
            self.addCleanup(conn.close)
            conn.connect(self.address)
            conn.sendall(QUICK)
        self.server.drain(BOUND_S)
        heads = [conn.recv(65_536)[:12] for conn in conns]
        self.assertEqual({b'HTTP/1.1 200'}, set(heads))

    def test_takes_its_time_at_most(self):
        """The end takes place within the limit of the drain."""
        conns = [self.connect(GET % b'/never') for _ in range(20)]
        begun_at = self.server.clock.monotonic()
        self.drain()
        took_s = self.server.clock.monotonic() - begun_at
        self.assertLess(took_s, DELAY_S + LIMIT_S + 0.1)
        statuses = {self.received(conn).split()[1] for conn in conns}
        self.assertEqual({b'502'}, statuses)

    def test_request_as_the_idle_timeout_expires(self):
        """It is answered, although the loop handles the timeout first."""
        self.server.idle_timeout_s = 0.1
        conn = self.connect(QUICK)
        held = BLOCKING_SOCKET(fileno=conn.detach())
        self.addCleanup(held.close)
        held.recv(65_536)
        gevent.sleep(0.05)
        held.sendall(QUICK)
        # The loop does not run meanwhile.
        get_original('time', 'sleep')(0.1)
        gevent.sleep(0.05)
        self.assertEqual(b'HTTP/1.1 200', held.recv(65_536)[:12])
