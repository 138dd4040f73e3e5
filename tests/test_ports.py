"""Ports that are kept for processes to come."""

import socket
import unittest

from standins.ports import Ports


class TestReservedPort(unittest.TestCase):
    """A port belongs to the server it was kept for."""

    def setUp(self):
        """Keep a port."""
        ports = Ports()
        self.addCleanup(ports.close)
        self.address = ports.reserve()

    def test_nobody_else_gets_it(self):
        """What does not reuse addresses cannot have it."""
        with socket.socket() as other, self.assertRaises(OSError):
            other.bind(self.address)

    def test_its_server_serves(self):
        """A server that reuses addresses gets every connection."""
        with socket.create_server(self.address) as server:
            for _ in range(20):
                socket.create_connection(self.address).close()
                server.accept()[0].close()

    def test_nobody_listens_before(self):
        """Until then connections are refused."""
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(self.address)
