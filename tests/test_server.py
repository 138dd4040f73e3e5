"""Tests of the HTTP server."""

import itertools
import socket
import unittest
from collections.abc import Iterator
from unittest import mock

import gevent
from nose2.tools import params

from cactusridge import wire
from cactusridge.clock import ManualClock
from cactusridge.http.app import App, route
from cactusridge.http.client import Clients
from cactusridge.http.exchange import SOCKET_KEY, Reply, Req, json_reply
from cactusridge.http.server import QUIET_S
from standins.ports import Ports
from standins.waiting import wait_for
from tests.served import serve

MEGABYTE = 1 << 20
BLOB = 64 * MEGABYTE
LONG = b'x' * 9000
LONGER = b'x' * 70_000


def no_delay(req: Req) -> Reply:
    """Reply whether Nagle's algorithm is off for this connection."""
    sock = req.environ[SOCKET_KEY]
    found = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    return json_reply({'no_delay': bool(found)})


def blob(req: Req) -> Reply:
    """Reply with more bytes than the system buffers for a slow reader."""
    return Reply(200, [('Content-Length', str(BLOB))], blocks())


def blocks() -> Iterator[bytes]:
    """Yield BLOB zero bytes, a megabyte at a time."""
    yield from itertools.repeat(bytes(MEGABYTE), BLOB // MEGABYTE)


class TestServer(unittest.TestCase):
    """A server with two routes."""

    def setUp(self):
        """Start the server."""
        routes = [route('GET', '/', no_delay), route('GET', '/blob', blob)]
        app = App(routes, 1024, 5)
        ports = Ports()
        self.addCleanup(ports.close)
        self.served = serve(None, app, ports.reserve())
        self.addCleanup(self.served.server.stop, 0)
        self.clients = Clients(1, 5)

    def test_small_writes_are_not_held_back(self):
        """Nagle's algorithm is off, so that small writes are not delayed."""
        found = self.clients.get_json(self.served.address, '/')
        self.assertEqual((200, {'no_delay': True}), found)

    def test_draining_server_answers_and_closes(self):
        """A request that arrives while draining is served in full."""
        self.served.server.draining = True
        with self.clients.send(
            self.served.address,
            '/',
            b'',
            method='GET',
        ) as resp:
            self.assertEqual(
                (200, 'close'), (resp.status_code, resp['connection'])
            )
            self.assertEqual(b'{"no_delay":true}', resp.read())

    def drain(self, conn, until_closed):
        """Drain the server, and send a request on the open ``conn``.

        It is sent once the listener is closed, or after the drain.
        """
        server = self.served.server
        draining = gevent.spawn(server.drain, 5)
        wait_for('it is closed', lambda: server.closed)
        if not until_closed:
            draining.join()
        conn.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        with conn.makefile('rb') as answer:
            raw = answer.read()
        draining.join()
        return raw

    @params((True, b'200'), (False, b'503'))
    def test_open_connection_at_the_end(self, until_closed, status):
        """A request in transit is served; one after the drain is rejected.

        No request starts once the process may exit.
        """
        raw = self.drain(self.ask(b''), until_closed)
        self.assertEqual(status, raw.split()[1])

    def test_bound_is_time(self):
        """The drain is limited by a clock even if each sleep takes longer."""
        server = self.served.server
        server.clock = ManualClock()
        server.active += 1

        def nap(seconds):
            server.clock.advance(seconds * 3)

        with mock.patch.object(gevent, 'sleep', nap):
            self.assertFalse(server.drain(4))
        self.assertLess(server.clock.now, 4.2)

    def test_slow_body_of_a_late_request(self):
        """A slow body of a rejected request does not delay the stop."""
        server = self.served.server
        conn = self.ask(b'')
        server.active += 1
        draining = gevent.spawn(server.drain, 5)
        wait_for('it is late', lambda: server.rejects_requests)
        conn.sendall(
            b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\nx'
        )
        wait_for('it is read', lambda: server.active == 2)
        server.active -= 1
        draining.join()
        self.assertTrue(draining.value)

    def test_late_while_others_work(self):
        """A late request is rejected even while another is in flight.

        The process may exit at the end of the drain, before the late
        request has ended.
        """
        server = self.served.server
        conn = self.ask(b'')
        server.active += 1
        draining = gevent.spawn(server.drain, 5)
        gevent.sleep(QUIET_S * 2)
        conn.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        with conn.makefile('rb') as answer:
            raw = answer.read()
        server.active -= 1
        draining.join()
        self.assertEqual(b'503', raw.split()[1])
        self.assertIn(b'Retry-After: 0\r\n', raw)
        self.assertEqual(1, raw.count(b'Retry-After'))

    def ask(self, raw: bytes) -> socket.socket:
        """Send ``raw`` on a new connection and return the connection."""
        conn = socket.create_connection(self.served.address)
        self.addCleanup(conn.close)
        conn.sendall(raw)
        return conn

    @params(
        (b'GET /%b HTTP/1.1\r\n\r\n' % LONG, b'414'),
        (b'GET / HTTP/1.1\r\nX-Long: %b\r\n\r\n' % LONGER, b'400'),
        (b'GET / HTTP/1.1\r\n%b\r\n' % (b'X: y\r\n' * 200), b'400'),
        (b'nonsense\r\n\r\n', b'400'),
    )
    def test_unreadable_request(self, raw, status):
        """A request that cannot be parsed gets a JSON error with not_run."""
        with self.ask(raw).makefile('rb') as answer:
            head, _, body = answer.read().partition(b'\r\n\r\n')
        self.assertEqual(status, head.split()[1])
        error = wire.decode(body)['error']
        self.assertEqual('unreadable_request', error['code'])
        self.assertTrue(error['not_run'])

    def test_slow_reader(self):
        """The request of a caller that stops reading is ended."""
        self.served.server.idle_timeout_s = 0.5
        self.ask(b'GET /blob HTTP/1.1\r\nHost: x\r\n\r\n')
        server = self.served.server
        wait_for('the request', lambda: server.active == 1)
        wait_for('its end', lambda: server.active == 0)
