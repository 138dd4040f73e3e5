"""A long request to a replica that reads nothing for some time."""

import errno
import unittest
from unittest import mock

import gevent
from gevent import socket

from cactusridge.clock import SystemClock
from cactusridge.dispatch.upstream import (
    ConnectFailed,
    UpstreamRequest,
    UpstreamSilent,
)
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address
from cactusridge.platform.connections import Connections
from cactusridge.platform.upstream import HttpExchange

# Far more than the buffers of a connection take.
LENGTH = 8_000_000
WAIT_S = 0.05
RECV_BYTES = 65_536
REPLICA = Replica('i', 's', Address('127.0.0.1', 1), 'z', 8, ReplicaState.ready)


class TestLongRequest(unittest.TestCase):
    """The replica reads on after the entry has waited in vain for a head."""

    def test_request_is_cut_off_by_the_wait_for_its_answer(self):
        """The time limit of a read does not end the send."""
        sock, peer = socket.socketpair()
        self.addCleanup(peer.close)
        exchange = self.exchange(sock)
        exchange.start(bytes(LENGTH))
        for wait_s in (WAIT_S, 0, WAIT_S, 0):
            with self.assertRaises(UpstreamSilent):
                exchange.head(wait_s)
        gevent.sleep(WAIT_S)
        received = 0
        with gevent.Timeout(5, False):
            while received < LENGTH:
                received += len(peer.recv(RECV_BYTES))
        self.assertEqual(LENGTH, received)

    def test_request_that_cannot_be_sent_is_waited_for(self):
        """Without a descriptor for the send, it goes to another replica."""
        sock = mock.Mock()
        sock.dup.side_effect = OSError(errno.EMFILE, 'too many files')
        sock.recv.side_effect = BlockingIOError
        with self.assertRaises(ConnectFailed):
            self.exchange(sock).start(bytes(LENGTH))

    def exchange(self, sock) -> HttpExchange:
        """Return an exchange on ``sock``."""
        req = UpstreamRequest('r', 'POST', '/', [], b'', 'f')
        exchange = HttpExchange(REPLICA, req, sock, Connections(SystemClock()))
        self.addCleanup(exchange.close)
        return exchange
