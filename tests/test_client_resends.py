"""How often a call is sent where each connection is reset."""

import socket
import struct
import unittest

from gevent.server import StreamServer
from geventhttpclient.response import HTTPConnectionClosed
from nose2.tools import params

from cactusridge.http.client import Address, Clients

TIMEOUT_S = 1
# A call that changes nothing may meet a connection that has just gone, and
# another.
MOST = 3
NO_LINGER = struct.pack('ii', 1, 0)


class TestResends(unittest.TestCase):
    """A server that resets whoever sends it anything."""

    def setUp(self):
        """Start it."""
        self.taken = 0
        self.server = StreamServer(('127.0.0.1', 0), self.reset)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.clients = Clients(TIMEOUT_S, TIMEOUT_S)

    def reset(self, sock, _):
        """Read a request and reset its connection."""
        self.taken += 1
        sock.recv(4096)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        sock.close()

    @params(('GET', MOST), ('POST', 1))
    def test_bounded(self, method, most):
        """The call fails soon; it is not sent on and on."""
        address = Address('127.0.0.1', self.server.server_port)
        with self.assertRaises((OSError, HTTPConnectionClosed)):
            self.clients.send(address, '/', b'', method=method)
        self.assertLessEqual(self.taken, most)
