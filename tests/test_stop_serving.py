"""Requests late in a planned stop are rejected, or counted."""

import unittest

import gevent
from gevent.event import Event

from cactusridge import serving
from cactusridge.clock import SystemClock
from cactusridge.core import SidecarRole
from cactusridge.http import frames
from cactusridge.http.app import App, route
from cactusridge.http.client import Clients
from cactusridge.http.exchange import json_reply
from cactusridge.http.server import Server
from cactusridge.orders import RunOrder, WorkClass
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient
from cactusridge.startup.models import (
    CommonSettings,
    SidecarSettings,
)
from standins.ports import Ports

ADDRESS = '127.0.0.1:1'
SECRET = 'x' * 16
SERVICE = '/teams/a/deployments/b/services/c'
BOUND_S = 5


class Counting(serving.Role):
    """A role that counts requests and stores the count when closed."""

    def __init__(self) -> None:
        """Start with no requests."""
        self.count = 0
        self.stored = None

    def application(self):
        """Return an application that counts requests."""
        return App([route('GET', '/', self.one)], 1024, BOUND_S)

    def one(self, req):
        """Count one request."""
        self.count += 1
        return json_reply({})

    def start(self):
        """Do nothing."""

    def begin_drain(self):
        """Do nothing."""

    def hand_over(self, bound_s):
        """Do nothing: there is no background work."""

    def close(self):
        """Store the count."""
        self.stored = self.count


class TestOrders(unittest.TestCase):
    """Orders to a draining sidecar."""

    def test_late_order(self):
        """A late order is rejected by a frame with ``not_run``."""
        ports = Ports()
        self.addCleanup(ports.close)
        address = ports.reserve()
        cfg = SidecarSettings.from_values(
            listen=str(address),
            zone='z',
            internal_secret=SECRET,
            upstreams=[{'service': SERVICE, 'address': ADDRESS}],
        )
        role = SidecarRole(cfg, SystemClock())
        late = role.late_application()
        server = Server(address, role.application(), BOUND_S, late)
        server.start()
        self.addCleanup(server.stop, 0)
        role.begin_drain()
        server.rejects_requests = True
        order = RunOrder(
            id='late',
            incarnation='any',
            service=SERVICE,
            team='a',
            work=WorkClass.online,
            path='/',
            deadline_s=BOUND_S,
            repeatable=False,
        )
        resp = SidecarClient(cfg).run(address, order, b'1')
        error = frames.read_frame(resp).head['error']
        self.assertEqual(('draining', True), (error['code'], error['not_run']))


class TestCounts(unittest.TestCase):
    """The counts that a process stores at its end."""

    def test_served_while_stopping(self):
        """A request served after the stop signal is in the last counts."""
        ports = Ports()
        self.addCleanup(ports.close)
        address = ports.reserve()
        cfg = CommonSettings(
            listen=str(address),
            zone='z',
            internal_secret=SECRET,
            readiness_delay_s=0.3,
        )
        role, stop = Counting(), Event()
        served = gevent.spawn(serving.serve, cfg, role, stop)
        gevent.sleep(0)
        stop.set()
        gevent.sleep(0)
        self.assertEqual(200, Clients(1, BOUND_S).get_json(address, '/')[0])
        served.join()
        self.assertEqual((1, 1), (role.count, role.stored))
