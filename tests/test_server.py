"""The HTTP server of both roles."""

import socket
import unittest

from cactusridge.http.app import App, route
from cactusridge.http.client import Clients
from cactusridge.http.exchange import SOCKET_KEY, Reply, Req, json_reply
from tests.served import loopback, serve


def no_delay(req: Req) -> Reply:
    """Answer whether Nagle's algorithm is off for this connection."""
    sock = req.environ[SOCKET_KEY]
    found = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
    return json_reply({'no_delay': bool(found)})


class TestServer(unittest.TestCase):
    """A server alone."""

    def setUp(self):
        """Serve one route."""
        app = App([route('GET', '/', no_delay)], 1024, 5)
        self.served = serve(None, app, loopback())
        self.addCleanup(self.served.server.stop, 0)
        self.clients = Clients(1, 5)

    def test_small_writes_are_not_held_back(self):
        """A reply of two writes waits for no delayed acknowledgement."""
        found = self.clients.get_json(self.served.address, '/')
        self.assertEqual((200, {'no_delay': True}), found)

    def test_draining_server_answers_and_closes(self):
        """A request that comes while draining is served whole."""
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
