"""The client limits retries to a server that resets connections."""

import socket
import struct
import unittest

from gevent.server import StreamServer
from geventhttpclient.response import HTTPConnectionClosed
from nose2.tools import params

from cactusridge.http.client import Address, Clients

TIMEOUT_S = 1
# The most times that a call without side effects is sent: the first two
# connections may have been closed by the server just before.
MOST = 3
NO_LINGER = struct.pack('ii', 1, 0)


class TestResends(unittest.TestCase):
    """Calls to a server that resets each connection after a request."""

    def setUp(self):
        """Start the server."""
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
        """The call fails after a limited number of attempts."""
        address = Address('127.0.0.1', self.server.server_port)
        with self.assertRaises((OSError, HTTPConnectionClosed)):
            self.clients.send(address, '/', b'', method=method)
        self.assertLessEqual(self.taken, most)
