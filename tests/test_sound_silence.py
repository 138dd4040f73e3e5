"""Bounds on waits outlast the silence of a sound server."""

import socket
import unittest

import gevent
from nose2.tools import params

from cactusridge.clock import SystemClock
from cactusridge.dispatch.crash_watch import UNREACHABLE_S
from cactusridge.dispatch.upstream import UpstreamRequest, UpstreamSilent
from cactusridge.errors import OutcomeUnknown
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address, Clients
from cactusridge.orders import RunOrder, WorkClass
from cactusridge.platform.connections import Connections
from cactusridge.platform.upstream import HttpExchange, HttpUpstream
from cactusridge.sidecar.upstream import Upstream
from cactusridge.startup.models import SidecarSettings

RECV_BYTES = 65_536
# More than the buffers of a connection on the loopback take.
LONG_BODY = bytes(8 << 20)
REPLY = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n'
    b'X-Response-Signature: s\r\nContent-Length: 0\r\n\r\n'
)


def replica_at(address: Address) -> Replica:
    """Return a replica that listens at ``address``."""
    return Replica('i-1', 's', address, 'z', 8, ReplicaState.ready)


class TestLongRequest(unittest.TestCase):
    """A replica that reads a long request late."""

    def setUp(self):
        """Listen as a replica."""
        self.listener = gevent.socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)
        self.replica = replica_at(Address(*self.listener.getsockname()))

    def answer(self, silent_s: float) -> int:
        """Read one request after a silence; return its length."""
        sock, _ = self.listener.accept()
        gevent.sleep(silent_s)
        taken = 0
        with sock:
            while taken < len(LONG_BODY):
                taken += len(sock.recv(RECV_BYTES))
            sock.sendall(REPLY)
        return taken

    def test_sending_goes_on_after_a_wait_for_the_head_has_ended(self):
        """The wait for the head may be repeated; it bounds no sending."""
        answering = gevent.spawn(self.answer, 0.5)
        self.addCleanup(answering.kill)
        connections = Connections(SystemClock())
        sock = connections.connect(self.replica.address)
        req = UpstreamRequest('r1', 'POST', '/', [], b'', 'f')
        exchange = HttpExchange(self.replica, req, sock, connections)
        self.addCleanup(exchange.close)
        exchange.start(LONG_BODY)
        with self.assertRaises(UpstreamSilent):
            exchange.head(0.1)
        self.assertEqual(200, exchange.head(5).status)


class TestProbe(unittest.TestCase):
    """The queue of new connections of a silent replica is full."""

    def setUp(self):
        """Listen with a full backlog."""
        self.listener = gevent.socket.socket()
        self.addCleanup(self.listener.close)
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(0)
        self.address = Address(*self.listener.getsockname())
        waiting = socket.create_connection(self.address)
        self.addCleanup(waiting.close)

    def accept_from(self, silent_s: float) -> None:
        """Accept connections after a silence, and answer nothing."""
        gevent.sleep(silent_s)
        while True:
            sock, _ = self.listener.accept()
            self.addCleanup(sock.close)

    @params(0.5, 1.4, 2.0)
    def test_replica_that_accepts_late_has_not_crashed(self, silent_s):
        """A connection that is not established in time is no crash."""
        accepting = gevent.spawn(self.accept_from, silent_s)
        self.addCleanup(accepting.kill)
        upstream = HttpUpstream(SystemClock())
        self.assertTrue(
            upstream.is_running(replica_at(self.address), UNREACHABLE_S)
        )

    def test_replica_that_accepts_and_sends_nothing_has_not_crashed(self):
        """A probe without a response is no crash."""
        accepting = gevent.spawn(self.accept_from, 0)
        self.addCleanup(accepting.kill)
        upstream = HttpUpstream(SystemClock())
        self.assertTrue(
            upstream.is_running(replica_at(self.address), UNREACHABLE_S)
        )

    def test_replica_that_accepts_nothing_has_crashed(self):
        """A host that stays unreachable counts as crashed."""
        upstream = HttpUpstream(SystemClock())
        self.assertFalse(
            upstream.is_running(replica_at(self.address), UNREACHABLE_S)
        )


class TestSidecar(unittest.TestCase):
    """A sidecar falls silent while an order of an entry runs there."""

    def setUp(self):
        """Listen as a sidecar."""
        self.listener = gevent.socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)
        self.address = Address(*self.listener.getsockname())

    def answer(self, gap_s: float) -> None:
        """Begin a reply, and go on after ``gap_s`` seconds."""
        sock, _ = self.listener.accept()
        with sock:
            sock.recv(RECV_BYTES)
            sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{')
            gevent.sleep(gap_s)
            sock.sendall(b'}')

    @params(0.5, 1.4, 2.0)
    def test_silence_between_two_heartbeats_ends_no_order(self, silent_s):
        """A silence that begins just before a heartbeat delays it."""
        cfg = SidecarSettings.from_values(
            listen='127.0.0.1:1',
            zone='a',
            internal_secret='internal-secret-of-tests',
            upstreams=[{'service': '/teams/a', 'address': '127.0.0.1:2'}],
        )
        answering = gevent.spawn(self.answer, cfg.heartbeat_s + silent_s)
        self.addCleanup(answering.kill)
        clients = Clients(cfg.connect_timeout_s, cfg.silence_timeout_s)
        found = clients.get_json(self.address, '/')
        self.assertEqual((200, {}), found)


class TestEngine(unittest.TestCase):
    """A connection of a sidecar to its upstream breaks."""

    def setUp(self):
        """Listen as an upstream with a short queue of new connections."""
        self.listener = gevent.socket.socket()
        self.addCleanup(self.listener.close)
        self.listener.bind(('127.0.0.1', 0))
        self.listener.listen(0)
        self.cfg = SidecarSettings.from_values(
            listen='127.0.0.1:1',
            zone='a',
            internal_secret='internal-secret-of-tests',
            connect_timeout_s=0.2,
            upstreams=[
                {
                    'service': '/teams/a',
                    'address': '127.0.0.1:%d' % self.listener.getsockname()[1],
                }
            ],
        )

    def break_off(self) -> None:
        """Take a request, fill the queue and close the connection."""
        sock, _ = self.listener.accept()
        sock.recv(RECV_BYTES)
        waiting = gevent.socket.create_connection(self.listener.getsockname())
        self.addCleanup(waiting.close)
        sock.close()

    def test_upstream_that_accepts_late_has_not_crashed(self):
        """A connection that is not established in time is no crash."""
        breaking = gevent.spawn(self.break_off)
        self.addCleanup(breaking.kill)
        order = RunOrder(
            id='r1',
            incarnation='any',
            service='/teams/a',
            team='any',
            work=WorkClass.online,
            method='PUT',
            path='/',
            headers=(),
            deadline_s=60,
            repeatable=False,
        )
        upstream = Upstream(self.cfg.upstreams[0], self.cfg)
        with self.assertRaises(OutcomeUnknown):
            upstream.call(order, b'{}', resume=False)
