"""Tests that no process reports ready before callers can connect to it."""

import socket
import unittest

import gevent
from gevent.event import Event

from cactusridge.http.server import Server
from cactusridge.serving import Role, serve
from cactusridge.startup.models import CommonSettings
from standins.ports import Ports


class CuriousRole(Role):
    """Tries to connect when it is told that callers can."""

    def __init__(self, address):
        """Remember where callers will connect."""
        self.address = address
        self.connected = False

    def application(self):
        """Serve nothing."""

    def start(self):
        """Give other greenlets a turn, as a real start may."""
        gevent.sleep(0)

    def listening(self):
        """Connect as a caller would."""
        socket.create_connection(self.address, 1).close()
        self.connected = True

    def begin_drain(self):
        """Nothing to do."""

    def finish(self, bound_s):
        """Nothing to do."""


class TestServing(unittest.TestCase):
    """Start of a role."""

    def test_listening_means_connectable(self):
        """Callers can connect when the role is told so."""
        ports = Ports()
        self.addCleanup(ports.close)
        address = ports.give()
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
        """A server is named by its address; no other greenlet runs."""
        turns = []
        gevent.spawn(turns.append, 1)
        server = Server(('127.0.0.1', 0), None, 5)
        server.start()
        self.addCleanup(server.stop)
        self.assertEqual([], turns)
        self.assertEqual('127.0.0.1', server.environ['SERVER_NAME'])
