"""Ports that are reserved for processes that start later."""

import socket
import unittest
from unittest import mock

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


class TestDatagrams(unittest.TestCase):
    """A released port may still receive datagrams of an earlier test."""

    def test_port_in_use(self):
        """A port is not reserved while a process receives datagrams there.

        The system chose such a port again, and an entry could not bind it.
        """
        ports = Ports()
        self.addCleanup(ports.close)
        used, free = ports.reserve(), ports.reserve()
        ports.close()
        with socket.socket(type=socket.SOCK_DGRAM) as other:
            other.bind(used)
            chosen = iter((used, free))
            bind = socket.socket.bind
            with mock.patch.object(
                socket.socket,
                'bind',
                lambda sock, address: bind(
                    sock, address if address[1] else next(chosen)
                ),
            ):
                self.assertEqual(free, ports.reserve())
