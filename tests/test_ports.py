"""Ports that are reserved for processes that start later."""

import socket
import unittest

from standins.ports import Ports


class TestReservedPort(unittest.TestCase):
    """A reserved port can be bound only by a server that reuses addresses."""

    def setUp(self):
        """Reserve a port."""
        ports = Ports()
        self.addCleanup(ports.close)
        self.address = ports.reserve()

    def test_nobody_else_gets_it(self):
        """A socket without ``SO_REUSEADDR`` cannot bind a reserved port."""
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind(self.address)

    def test_its_server_serves(self):
        """A server that reuses addresses accepts every connection."""
        with socket.create_server(self.address) as server:
            for _ in range(20):
                socket.create_connection(self.address).close()
                server.accept()[0].close()

    def test_nobody_listens_before(self):
        """A reserved port refuses connections until a server listens on it."""
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(self.address)
