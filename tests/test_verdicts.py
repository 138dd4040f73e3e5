"""Tests which responses eject the replica that sent them."""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.dispatch.run import Runner
from cactusridge.dispatch.upstream import (
    Exchange,
    Upstream,
    UpstreamHead,
    UpstreamRequest,
)
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address
from cactusridge.peers.load import WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.rules import ByCrashes
from cactusridge.routing.outliers import OutlierEjector

FAILURES = 2
REQUEST = UpstreamRequest('r', 'POST', '/', [], b'', 'f')
ADDRESS = Address('127.0.0.1', 1)
KEYS = ('a', 'b', 'c')


class Answering(Upstream, Exchange):
    """Responds to every request with one status."""

    def __init__(self, status):
        """Respond with ``status`` and a valid signature."""
        self._head = UpstreamHead(status, [], False, False, True)

    def send(self, replica, req, left_s, new_connection=False):
        """Accept the request."""
        return self

    def is_running(self, replica, connect_s):
        """Return True: the replica is running."""
        return True

    def head(self, wait_s):
        """Return the response head."""
        return self._head

    def read(self, wait_s):
        """Return the end of the body."""
        return b''

    def close(self):
        """Do nothing."""

    def abort(self):
        """Do nothing."""


class TestVerdicts(unittest.TestCase):
    """Responses that eject a replica."""

    @params(
        (500, WorkKind.online, 1, False),
        (500, WorkKind.online, FAILURES, True),
        (500, WorkKind.batch, 10, False),
        (504, WorkKind.online, 10, False),
        (200, WorkKind.online, 10, False),
        (422, WorkKind.batch, 10, False),
    )
    def test_statuses(self, status, kind, times, out):
        """Only consecutive 500 responses to online requests eject a replica."""
        clock = ManualClock()
        health = OutlierEjector(clock, FAILURES)
        loads = LoadTable(clock)
        suspects = CrashEvidence(ByCrashes(), clock)
        runner = Runner(Answering(status), loads, health, suspects, clock)
        replica = Replica('a', 's', ADDRESS, 'z', 8, ReplicaState.ready)
        for _ in range(times):
            run = runner.open(replica, REQUEST, kind, 1)
            run.head(1)
            run.close()
        self.assertEqual(out, 'a' not in health.selectable(KEYS))
