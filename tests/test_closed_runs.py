"""A run that has been closed is left alone when its caller disconnects.

The failure: a caller that leaves between two attempts broke the connection of
the first one, which another request was using by then.
"""

import socket
import unittest

import gevent

from cactusridge.clock import ManualClock, SystemClock
from cactusridge.dispatch.crash_watch import ABANDONED_PROBE_DELAY_S
from cactusridge.dispatch.run import NotRun, Runner
from cactusridge.peers.loads import LoadTable
from cactusridge.platform.connections import Connections
from cactusridge.platform.upstream import HttpExchange
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.rules import ByCrashes
from cactusridge.routing.outliers import NoEjection
from tests.test_run_strikes import (
    ONLINE,
    REPLICA,
    REQUEST,
    Breaking,
    Stages,
)

REJECTION = b'\r\n'.join(
    (
        b'HTTP/1.1 503 Service Unavailable',
        b'X-Attempt-Id: r',
        b'X-Not-Executed: 1',
        b'Content-Length: 0',
        b'\r\n',
    ),
)


class OneExchange(Breaking):
    """Sends a request over one connection; its replica ends then."""

    def __init__(self, exchange):
        """Return ``exchange`` for a request."""
        super().__init__(None, headed=False, lives=False)
        self._exchange = exchange

    def send(self, replica, req, left_s, new_connection=False):
        """Return the exchange."""
        return self._exchange


class TestClosedRuns(unittest.TestCase):
    """The caller of a rejected request leaves before the next attempt."""

    def setUp(self):
        """Get a rejection on a connection that is kept."""
        ours, theirs = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        self.theirs = theirs
        self.theirs.settimeout(1)
        self.connections = Connections(SystemClock())
        clock = ManualClock()
        suspects = CrashEvidence(ByCrashes(), clock)
        self.listener = Stages()
        suspects.add_listener(self.listener)
        runner = Runner(
            OneExchange(HttpExchange(REPLICA, REQUEST, ours, self.connections)),
            LoadTable(clock),
            NoEjection(),
            suspects,
            clock,
        )
        self.theirs.sendall(REJECTION)
        self.rejected = runner.open(REPLICA, REQUEST, ONLINE, 1)
        with self.assertRaises(NotRun):
            self.rejected.head(1)
        self.rejected.close()

    def test_connection_of_another_request_is_broken(self):
        """The connection carries the next request."""
        kept = self.connections.acquire(REPLICA.incarnation, REPLICA.address)
        self.rejected.abort()
        kept.sendall(b'next')
        self.assertEqual(b'next', self.theirs.recv(9))

    def test_replica_that_rejected_the_request_has_crashed(self):
        """The end of a replica that did not run it is no strike."""
        self.rejected.abort()
        gevent.sleep(2 * ABANDONED_PROBE_DELAY_S)
        self.assertEqual([], self.listener.stages)
