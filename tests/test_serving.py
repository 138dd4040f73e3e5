"""The order of a start: a role is notified once callers can connect."""

import socket
import unittest

import gevent
from gevent.event import Event

from cactusridge.http.server import Server
from cactusridge.serving import Role, serve
from cactusridge.startup.models import CommonSettings
from standins.ports import Ports


class CuriousRole(Role):
    """Connects to its address when it is notified that it listens."""

    def __init__(self, address):
        """Keep the address at which callers connect."""
        self.address = address
        self.connected = False

    def application(self):
        """Return no application."""

    def start(self):
        """Switch to other greenlets, as a real start may."""
        gevent.sleep(0)

    def on_listening(self):
        """Connect as a caller does."""
        socket.create_connection(self.address, 1).close()
        self.connected = True

    def begin_drain(self):
        """Do nothing."""

    def hand_over(self, bound_s):
        """Do nothing."""


class TestServing(unittest.TestCase):
    """The start of a role."""

    def test_listening_means_connectable(self):
        """Callers can connect when ``on_listening`` is called."""
        ports = Ports()
        self.addCleanup(ports.close)
        address = ports.reserve()
        cfg = CommonSettings(
            listen=str(address),
            zone='z',
            internal_secret='x' * 16,
            readiness_delay_s=0,
        )
        role = CuriousRole(address)
        stop = Event()
        stop.set()
        with gevent.Timeout(10):
            serve(cfg, role, stop)
        self.assertTrue(role.connected)

    def test_no_name_lookup(self):
        """A server starts without a name lookup, so no greenlet runs."""
        turns = []
        gevent.spawn(turns.append, 1)
        server = Server(('127.0.0.1', 0), None, 5)
        server.start()
        self.addCleanup(server.stop)
        self.assertEqual([], turns)
        self.assertEqual('127.0.0.1', server.environ['SERVER_NAME'])
